//! `cartvane drain`: takes an instance or a backend server out without cutting a request.

use super::{Command, CommandResult, Options, operator::Operator, options::print_json};
use crate::{context::Context, instance::operators::api::DrainResult};

pub(super) const COMMAND: Command = Command {
    name: "drain",
    summary: "take an instance or a backend server out without cutting a request",
    usage: "cartvane drain INSTANCE|BACKEND_SERVER [OPTIONS]",
    options: &[],
    operator: true,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let json = options.flag("--json");
    let operator = Operator::open(&mut options, cx)?;
    let target = options.free("INSTANCE|BACKEND_SERVER")?;
    options.done()?;
    let drained: DrainResult = operator.post("/v1/drain", &[("target", &target)], "")?;
    if json {
        return print_json(&drained);
    }
    match drained.revision {
        Some(revision) => {
            println!("{} gets nothing new from revision {revision} on", drained.target)
        }
        None => println!("{} is draining", drained.target),
    }
    Ok(())
}
