//! `cartvane diff`: what a file would change.

use super::{
    Command, CommandResult, Options,
    operator::OperatorClient,
    options::{print_json, read_file},
};
use crate::{context::Context, instance::cluster_state::apply::Applied};

pub(super) const COMMAND: Command = Command {
    name: "diff",
    summary: "show what a file would change",
    usage: "cartvane diff FILE [OPTIONS]",
    options: &[],
    uses_operator_api: true,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let json = options.flag("--json");
    let client = OperatorClient::from_options(&mut options, cx)?;
    let path = options.positional("FILE")?;
    options.finish()?;
    let proposed: Applied = client.post("/v1/diff", &[], &read_file(&path)?)?;
    if json {
        return print_json(&proposed);
    }
    println!("against revision {}: {} changes", proposed.revision, proposed.changes.len());
    proposed.changes.iter().for_each(|change| println!("  {change}"));
    Ok(())
}
