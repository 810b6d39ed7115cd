//! `cartvane apply`: puts an operators' file in force.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{
    Command, CommandError, CommandResult, Options,
    operator::OperatorClient,
    options::{print_json, read_file},
};
use crate::{
    context::Context,
    instance::{cluster_state::apply::Applied, operators::status::FleetStatus},
    names::InstanceId,
    units::{Revision, Span},
};

pub(super) const COMMAND: Command = Command {
    name: "apply",
    summary: "put an operators' file in force, whole or not at all",
    usage: "cartvane apply FILE [--base REV] [--wait] [--wait-time TIME] [OPTIONS]

  --base REV              only if this revision is in force
  --wait                  return when every live instance has it in force
  --wait-time TIME        longest wait, default 30s",
    options: &["--base", "--wait", "--wait-time"],
    uses_operator_api: true,
    run,
};

/// Pause between two looks at the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let base: Option<Revision> = options.value("--base")?;
    let wait = options.flag("--wait");
    let wait_time: Span = options.value("--wait-time")?.unwrap_or(Span::secs(30));
    let json = options.flag("--json");
    let client = OperatorClient::from_options(&mut options, cx)?;
    let path = options.positional("FILE")?;
    options.finish()?;
    let text = read_file(&path)?;
    let base = base.map(|base| base.to_string());
    let query: Vec<(&str, &str)> = base.iter().map(|base| ("base", base.as_str())).collect();
    let applied: Applied = client.post("/v1/apply", &query, &text)?;
    if wait {
        wait_until_active(&client, applied.revision, wait_time.0, cx)?;
    }
    if json {
        return print_json(&applied);
    }
    if applied.changes.is_empty() {
        println!("revision {} is in force already; nothing changed", applied.revision);
    } else {
        println!("revision {} in force", applied.revision);
        applied.changes.iter().for_each(|change| println!("  {change}"));
    }
    Ok(())
}

fn wait_until_active(
    client: &OperatorClient,
    revision: Revision,
    timeout: Duration,
    cx: &Context,
) -> CommandResult {
    let deadline: Instant = cx.clock.now() + timeout;
    loop {
        let status: FleetStatus = client.get("/v1/status", &[])?;
        let outdated = status.instances.iter().filter(|i| i.revision < revision).map(|i| &i.id);
        let missing: Vec<&InstanceId> = outdated.chain(&status.silent).collect();
        if missing.is_empty() {
            return Ok(());
        }
        if cx.clock.now() >= deadline {
            let names: Vec<String> = missing.iter().map(ToString::to_string).collect();
            return Err(CommandError::Unreachable(format!(
                "revision {revision} is accepted; not yet in force at {}; see `cartvane status`",
                names.join(", ")
            )));
        }
        thread::sleep(POLL_INTERVAL);
    }
}
