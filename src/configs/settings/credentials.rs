//! Credentials by environment variable or file; two at once while one is being replaced.

use std::fs;

use crate::{configs::reader::TableReader, context::Context, utils::secret::Secret};

/// Credentials of an instance.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// Accepted from and shown to other instances; the first is shown.
    pub peers: Vec<Secret>,
    /// Accepted from operators who may read and apply.
    pub operators: Vec<Secret>,
    /// Accepted from operators who may only read.
    pub readers: Vec<Secret>,
    /// Shown to the platform; none: nothing is shown.
    pub platform: Option<Secret>,
    /// Key of the placement hints handed to callers; the same on every instance.
    pub placement: Secret,
}

/// Shortest credential accepted, in bytes.
const CREDENTIAL_MIN: usize = 16;

impl Credentials {
    /// Reads `[credentials]`; each entry is `env:NAME` or `file:PATH`.
    pub fn read(root: &TableReader<'_, '_>, context: &Context) -> Option<Credentials> {
        let Some(table) = root.table("credentials") else {
            root.add_error(
                "credentials",
                "is missing; name the credentials as \"env:NAME\" or \"file:PATH\"",
            );
            return None;
        };
        let peers = read_list(&table, "peers", context, true);
        let operators = read_list(&table, "operators", context, true);
        let readers = read_list(&table, "readers", context, false);
        let platform = read_list(&table, "platform", context, false).into_iter().next();
        let placement = read_list(&table, "placement", context, false).into_iter().next();
        table.finish();
        let placement = placement.or_else(|| peers.first().cloned())?;
        Some(Credentials { peers, operators, readers, platform, placement })
    }
}

fn read_list(
    table: &TableReader<'_, '_>,
    key: &'static str,
    context: &Context,
    required: bool,
) -> Vec<Secret> {
    let sources: Vec<String> = table.texts(key);
    if sources.is_empty() && required {
        table.add_error(key, "needs at least one credential, as \"env:NAME\" or \"file:PATH\"");
    }
    let mut secrets = Vec::new();
    for source in sources {
        match resolve(&source, context) {
            Ok(secret) => secrets.push(secret),
            Err(message) => table.add_error(key, message),
        }
    }
    secrets
}

fn resolve(source: &str, context: &Context) -> Result<Secret, String> {
    let text = match source.split_once(':') {
        Some(("env", name)) => context
            .variable(name)
            .ok_or_else(|| format!("environment variable {name} is not set; set it"))?,
        Some(("file", path)) => fs::read_to_string(path)
            .map_err(|e| format!("cannot read {path}: {e}; correct the path or its rights"))?,
        _ => {
            return Err(format!(
                "{source:?} names no credential; write \"env:NAME\" or \"file:PATH\""
            ));
        }
    };
    let text = text.trim();
    if text.len() < CREDENTIAL_MIN {
        return Err(format!("{source} is shorter than {CREDENTIAL_MIN} bytes; use a longer one"));
    }
    if !text.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(format!(
            "{source} holds spaces or characters beyond ASCII; use printable ASCII"
        ));
    }
    Ok(Secret::new(text))
}
