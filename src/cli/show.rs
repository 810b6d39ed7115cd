//! `cartvane show`: the file in force, or an earlier one.

use super::{Command, CommandResult, Options, operator::OperatorClient, options::print_json};
use crate::{context::Context, instance::operators::api::RevisionSource, units::Revision};

pub(super) const COMMAND: Command = Command {
    name: "show",
    summary: "print the file in force, or that of an earlier revision",
    usage: "cartvane show [--revision REV] [OPTIONS]

  --revision REV          this revision's file; to go back to it, apply it again",
    options: &["--revision"],
    uses_operator_api: true,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let json = options.flag("--json");
    let revision: Option<Revision> = options.value("--revision")?;
    let client = OperatorClient::from_options(&mut options, cx)?;
    options.finish()?;
    let revision = revision.map(|revision| revision.to_string());
    let query: Vec<(&str, &str)> = revision.iter().map(|r| ("revision", r.as_str())).collect();
    let response: RevisionSource = client.get("/v1/show", &query)?;
    if json {
        return print_json(&response);
    }
    eprintln!("revision {}", response.revision);
    print!("{}", response.text);
    Ok(())
}
