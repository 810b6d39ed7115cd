//! `cartvane diff`: what a file would change.

use super::{
    Command, CommandResult, Options,
    operator::Operator,
    options::{print_json, read_file},
};
use crate::{context::Context, instance::cluster_state::apply::Applied};

pub(super) const COMMAND: Command = Command {
    name: "diff",
    summary: "show what a file would change",
    usage: "cartvane diff FILE [OPTIONS]",
    options: &[],
    operator: true,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let json = options.flag("--json");
    let operator = Operator::open(&mut options, cx)?;
    let path = options.free("FILE")?;
    options.done()?;
    let answer: Applied = operator.post("/v1/diff", &[], &read_file(&path)?)?;
    if json {
        return print_json(&answer);
    }
    println!("against revision {}: {} changes", answer.revision, answer.changes.len());
    answer.changes.iter().for_each(|change| println!("  {change}"));
    Ok(())
}
