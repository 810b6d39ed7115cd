//! `cartvane show`: the file in force, or an earlier one.

use super::{Command, CommandResult, Options, operator::Operator, options::print_json};
use crate::{context::Context, instance::operators::api::RevisionSource, units::Revision};

pub(super) const COMMAND: Command = Command {
    name: "show",
    summary: "print the file in force, or that of an earlier revision",
    usage: "cartvane show [--revision REV] [OPTIONS]

  --revision REV          this revision's file; to go back to it, apply it again",
    options: &["--revision"],
    operator: true,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let json = options.flag("--json");
    let revision: Option<Revision> = options.value("--revision")?;
    let operator = Operator::open(&mut options, cx)?;
    options.done()?;
    let revision = revision.map(|revision| revision.to_string());
    let query: Vec<(&str, &str)> = revision.iter().map(|r| ("revision", r.as_str())).collect();
    let shown: RevisionSource = operator.get("/v1/show", &query)?;
    if json {
        return print_json(&shown);
    }
    eprintln!("revision {}", shown.revision);
    print!("{}", shown.text);
    Ok(())
}
