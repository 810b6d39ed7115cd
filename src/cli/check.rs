//! `cartvane check`: checks an operators' file without an instance.

use super::{
    Command, CommandError, CommandResult, Options,
    options::{print_json, read_file},
};
use crate::{configs::fleet::Fleet, context::Context};

pub(super) const COMMAND: Command = Command {
    name: "check",
    summary: "check an operators' file offline",
    usage: "cartvane check FILE [--json]

  --json    print JSON",
    options: &["--json"],
    uses_operator_api: false,
    run,
};

fn run(mut options: Options, _: &Context) -> CommandResult {
    let json = options.flag("--json");
    let path = options.positional("FILE")?;
    options.finish()?;
    match Fleet::parse(&read_file(&path)?) {
        Ok(fleet) => {
            let summary = serde_json::json!({
                "teams": fleet.teams.len(),
                "services": fleet.services.len(),
                "backend_servers": fleet.backend_servers.len(),
                "zones": fleet.zones.len(),
            });
            if json {
                return print_json(&summary);
            }
            println!(
                "{path}: sound; {} teams, {} services, {} backend servers, {} zones",
                fleet.teams.len(),
                fleet.services.len(),
                fleet.backend_servers.len(),
                fleet.zones.len()
            );
            Ok(())
        }
        Err(errors) => {
            if json {
                print_json(&errors)?;
            }
            let count = errors.0.len();
            let lines: Vec<String> =
                errors.0.iter().map(|error| format!("{path}:{error}")).collect();
            Err(CommandError::Refused(format!("{count} faults\n{}", lines.join("\n"))))
        }
    }
}
