//! `cartvane drain`: takes an instance or a backend server out without cutting a request.

use super::{Command, CommandResult, Options, operator::OperatorClient, options::print_json};
use crate::{context::Context, instance::operators::api::DrainResult};

pub(super) const COMMAND: Command = Command {
    name: "drain",
    summary: "take an instance or a backend server out without cutting a request",
    usage: "cartvane drain INSTANCE|BACKEND_SERVER [OPTIONS]",
    options: &[],
    uses_operator_api: true,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let json = options.flag("--json");
    let client = OperatorClient::from_options(&mut options, cx)?;
    let target = options.positional("INSTANCE|BACKEND_SERVER")?;
    options.finish()?;
    let drained: DrainResult = client.post("/v1/drain", &[("target", &target)], "")?;
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
