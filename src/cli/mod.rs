//! The command line: a list of commands and what they share.

mod apply;
mod audit;
mod check;
mod completions;
mod diff;
mod drain;
mod explain;
mod gateway;
mod hash_key;
mod operator;
mod options;
mod report;
mod router;
mod show;
mod status;

use std::{ffi::OsString, process::ExitCode};

use crate::{context::Context, utils::nearest::nearest};

pub use options::Options;

/// How a command ended.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// What was asked was refused, or found faulty.
    #[error("{0}")]
    Refused(String),
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// An instance, file or service could not be reached.
    #[error("{0}")]
    Unreachable(String),
}

impl CommandError {
    /// Returns the process's exit code.
    pub fn code(&self) -> u8 {
        match self {
            CommandError::Refused(_) => 1,
            CommandError::Usage(_) => 2,
            CommandError::Unreachable(_) => 3,
        }
    }
}

/// What a command returns.
pub type CommandResult = Result<(), CommandError>;

/// One command.
pub struct Command {
    /// Name.
    pub name: &'static str,
    /// What it does, in a line.
    pub summary: &'static str,
    /// Its use, with its own options.
    pub usage: &'static str,
    /// Names of its own options, for completions and for the nearest name.
    pub options: &'static [&'static str],
    /// Whether it speaks to an instance, and so has [`OPERATOR_OPTIONS`] too.
    pub uses_operator_api: bool,
    run: fn(Options, &Context) -> CommandResult,
}

/// Options of every command that speaks to an instance.
pub const OPERATOR_OPTIONS: [&str; 4] = ["--at", "--credential-file", "--as", "--json"];

/// What [`OPERATOR_OPTIONS`] mean.
const OPERATOR_USAGE: &str = "
  --at ADDRESS            an instance's operator address (or CARTVANE_AT)
  --credential-file FILE  file with the credential (or CARTVANE_CREDENTIAL)
  --as NAME               who you are, for the audit trail (or USER)
  --json                  print JSON";

impl Command {
    /// Returns the names of all its options.
    pub fn all_options(&self) -> impl Iterator<Item = &'static str> {
        let shared = if self.uses_operator_api { &OPERATOR_OPTIONS[..] } else { &[] };
        self.options.iter().chain(shared).copied()
    }

    /// Returns its use, with every option.
    pub fn full_usage(&self) -> String {
        let shared = if self.uses_operator_api { OPERATOR_USAGE } else { "" };
        // A command without options of its own has no list for the shared ones to follow.
        let gap = if self.uses_operator_api && self.options.is_empty() { "\n" } else { "" };
        format!("{}{gap}{shared}", self.usage)
    }
}

/// Every command.
pub const COMMANDS: [Command; 13] = [
    router::COMMAND,
    gateway::COMMAND,
    check::COMMAND,
    apply::COMMAND,
    diff::COMMAND,
    show::COMMAND,
    status::COMMAND,
    audit::COMMAND,
    explain::COMMAND,
    drain::COMMAND,
    report::COMMAND,
    hash_key::COMMAND,
    completions::COMMAND,
];

/// Runs the command line and returns the exit code: 0 done, 1 refused, 2 usage, 3 unreachable.
pub fn run(args: Vec<OsString>, cx: &Context) -> ExitCode {
    match dispatch(args, cx) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cartvane: {error}");
            ExitCode::from(error.code())
        }
    }
}

fn dispatch(args: Vec<OsString>, cx: &Context) -> CommandResult {
    let mut args = pico_args::Arguments::from_vec(args);
    let name = match args.subcommand() {
        Ok(name) => name,
        Err(e) => return Err(CommandError::Usage(e.to_string())),
    };
    let Some(name) = name else {
        if args.contains("--version") {
            println!("cartvane {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        if args.contains(["-h", "--help"]) {
            print!("{}", overview());
            return Ok(());
        }
        return Err(CommandError::Usage(format!("no command given\n\n{}", overview())));
    };
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        let near = nearest(&name, COMMANDS.iter().map(|c| c.name));
        let hint = near.map_or_else(String::new, |near| format!("; did you mean {near:?}?"));
        return Err(CommandError::Usage(format!(
            "{name:?} is no command{hint} See cartvane --help"
        )));
    };
    if args.contains(["-h", "--help"]) {
        println!("{}\n\nusage: {}", command.summary, command.full_usage());
        return Ok(());
    }
    (command.run)(Options::new(args, command), cx)
}

fn overview() -> String {
    let mut text = String::from(
        "cartvane: a router fleet for returning chats\n\nusage: cartvane COMMAND [OPTIONS]\n\n",
    );
    for command in &COMMANDS {
        text.push_str(&format!("  {:<12} {}\n", command.name, command.summary));
    }
    text.push_str(
        "\n  --help       with a command: its options\n  --version    print the version\n",
    );
    text.push_str("\nexit codes: 0 done, 1 refused, 2 usage, 3 unreachable\n");
    text
}
