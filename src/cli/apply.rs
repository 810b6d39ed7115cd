//! `cartvane apply`: puts an operators' file in force.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{
    Command, CommandError, CommandResult, Options,
    operator::Operator,
    options::{print_json, read_file},
};
use crate::{
    context::Context,
    instance::{knowledge::apply::Applied, operators::status::FleetStatus},
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
    operator: true,
    run,
};

/// Pause between two looks at the instances.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let base: Option<Revision> = options.value("--base")?;
    let wait = options.flag("--wait");
    let wait_time: Span = options.value("--wait-time")?.unwrap_or(Span::secs(30));
    let json = options.flag("--json");
    let operator = Operator::open(&mut options, cx)?;
    let path = options.free("FILE")?;
    options.done()?;
    let text = read_file(&path)?;
    let base = base.map(|base| base.to_string());
    let query: Vec<(&str, &str)> = base.iter().map(|base| ("base", base.as_str())).collect();
    let applied: Applied = operator.post("/v1/apply", &query, &text)?;
    if wait {
        wait_everywhere(&operator, applied.revision, wait_time.0, cx)?;
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

fn wait_everywhere(
    operator: &Operator,
    revision: Revision,
    most: Duration,
    cx: &Context,
) -> CommandResult {
    let until: Instant = cx.clock.now() + most;
    loop {
        let status: FleetStatus = operator.get("/v1/status", &[])?;
        let behind = status.instances.iter().filter(|i| i.revision < revision).map(|i| &i.id);
        let missing: Vec<&InstanceId> = behind.chain(&status.silent).collect();
        if missing.is_empty() {
            return Ok(());
        }
        if cx.clock.now() >= until {
            let names: Vec<String> = missing.iter().map(ToString::to_string).collect();
            return Err(CommandError::Unreachable(format!(
                "revision {revision} is accepted; not yet in force at {}; see `cartvane status`",
                names.join(", ")
            )));
        }
        thread::sleep(LOOK_PERIOD);
    }
}
