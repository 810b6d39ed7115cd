//! `cartvane hash-key`: makes the hash of a team's key for the operators' file.

use std::io::Read as _;

use super::{Command, CommandError, CommandResult, Options, options::print_json};
use crate::{configs::fleet::team::KeyHash, context::Context};

pub(super) const COMMAND: Command = Command {
    name: "hash-key",
    summary: "hash a team's key, read from standard input, for the operators' file",
    usage: "cartvane hash-key --salt SALT [--json] < KEY

  --salt SALT    key_salt of the operators' file
  --json         print JSON",
    options: &["--salt", "--json"],
    uses_operator_api: false,
    run,
};

fn run(mut options: Options, _: &Context) -> CommandResult {
    let json = options.flag("--json");
    let salt: Option<String> = options.value("--salt")?;
    options.finish()?;
    let salt = salt.ok_or_else(|| CommandError::Usage("--salt SALT is missing".to_owned()))?;
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key).map_err(|e| CommandError::Refused(e.to_string()))?;
    let hash = KeyHash::of(&salt, key.trim());
    if json {
        return print_json(&serde_json::json!({ "hash": hash.as_str() }));
    }
    println!("{hash}");
    Ok(())
}
