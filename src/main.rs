//! The `cartvane` command.

use std::process::ExitCode;

use cartvane::{cli, context::Context};

fn main() -> ExitCode {
    cli::run(std::env::args_os().skip(1).collect(), &Context::of_process())
}
