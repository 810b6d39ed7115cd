//! Settings of one instance, read from TOML at start and checked as a whole.

pub mod credentials;
pub mod limits;
pub mod listen;
pub mod logging;
pub mod platform;
pub mod reference;
pub mod timeouts;

use crate::{
    configs::reader::{ConfigErrors, Reader, TableReader},
    context::Context,
    names::{InstanceId, RegionId, ZoneId},
};

pub use credentials::Credentials;
pub use limits::Limits;
pub use listen::Listen;
pub use logging::{LogFormat, Logging};
pub use platform::Platform;
pub use timeouts::Timeouts;

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance; unique in the fleet.
    pub id: InstanceId,
    /// Region it runs in.
    pub region: RegionId,
    /// Availability zone it runs in.
    pub zone: ZoneId,
    /// Addresses.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Credentials.
    pub credentials: Credentials,
    /// Time-outs.
    pub timeouts: Timeouts,
    /// Limits.
    pub limits: Limits,
    /// Logs.
    pub logging: Logging,
}

impl Settings {
    /// Reads settings; `context` supplies the credentials kept in the environment.
    ///
    /// # Errors
    ///
    /// Every fault of the text, with line, column and remedy.
    pub fn parse(text: &str, context: &Context) -> Result<Settings, ConfigErrors> {
        let reader = Reader::new(text);
        let parsed = reader.parse();
        let settings = parsed.as_ref().and_then(|table| {
            let root = TableReader::root(&reader, table);
            let settings = Settings::read(&root, context);
            root.finish();
            settings
        });
        match (reader.finish(()), settings) {
            (Ok(()), Some(settings)) => Ok(settings),
            (Err(errors), _) => Err(errors),
            (Ok(()), None) => Err(ConfigErrors(Vec::new())),
        }
    }

    fn read(root: &TableReader<'_, '_>, context: &Context) -> Option<Settings> {
        let id = root.required("id");
        let region = root.required("region");
        let zone = root.required("zone");
        let listen = Listen::read(root);
        let platform = Platform::read(root);
        let credentials = Credentials::read(root, context);
        let timeouts = Timeouts::read(root);
        let limits = Limits::read(root);
        let logging = Logging::read(root);
        Some(Settings {
            id: id?,
            region: region?,
            zone: zone?,
            listen: listen?,
            platform,
            credentials: credentials?,
            timeouts,
            limits,
            logging,
        })
    }
}

/// Sets `key` (dotted) to `value` in a settings text.
///
/// `value` is read as TOML when it is a TOML value, else taken as a text.
///
/// # Errors
///
/// The text is not TOML, or a part of the key is not a table.
pub fn set(text: &str, key: &str, value: &str) -> Result<String, SetError> {
    let mut root: toml::Table = text.parse().map_err(|_| SetError::Text)?;
    let parsed = format!("v = {value}").parse::<toml::Table>().ok();
    let value = parsed.and_then(|mut t| t.remove("v")).unwrap_or_else(|| value.into());
    let mut table = &mut root;
    let mut parts = key.split('.').peekable();
    while let Some(part) = parts.next() {
        if parts.peek().is_none() {
            table.insert(part.to_owned(), value);
            break;
        }
        let next = table.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        table = next.as_table_mut().ok_or_else(|| SetError::Key(key.to_owned()))?;
    }
    Ok(root.to_string())
}

/// Why a setting given on the command line cannot be taken.
#[derive(Debug, thiserror::Error)]
pub enum SetError {
    /// The settings are not TOML.
    #[error("the settings file is not TOML; run `cartvane router` without --set to see where")]
    Text,
    /// A part of the key is a value.
    #[error("--set {0}: a part of the key is not a table; see docs/SETTINGS.md for the keys")]
    Key(String),
}
