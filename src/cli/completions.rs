//! `cartvane completions`: completions for a shell.

use super::{COMMANDS, Command, CommandError, CommandResult, Options};
use crate::context::Context;

pub(super) const COMMAND: Command = Command {
    name: "completions",
    summary: "print completions for bash, zsh or fish",
    usage: "cartvane completions bash|zsh|fish",
    options: &[],
    uses_operator_api: false,
    run,
};

fn run(mut options: Options, _: &Context) -> CommandResult {
    let shell = options.positional("SHELL")?;
    options.finish()?;
    let script = match shell.as_str() {
        "bash" => bash(),
        "zsh" => {
            format!("#compdef cartvane\nautoload -U +X bashcompinit && bashcompinit\n{}", bash())
        }
        "fish" => fish(),
        other => {
            return Err(CommandError::Usage(format!(
                "{other:?} is no shell known here; use bash, zsh or fish"
            )));
        }
    };
    print!("{script}");
    Ok(())
}

fn bash() -> String {
    let mut cases = String::new();
    for command in &COMMANDS {
        cases.push_str(&format!(
            "    {}) words=\"{} --help\" ;;\n",
            command.name,
            command.all_options().collect::<Vec<_>>().join(" ")
        ));
    }
    format!(
        "_cartvane() {{\n  local words\n  case \"${{COMP_WORDS[1]}}\" in\n{cases}    *) words=\"{} --help --version\" ;;\n  esac\n  COMPREPLY=($(compgen -W \"$words\" -f -- \"${{COMP_WORDS[COMP_CWORD]}}\"))\n}}\ncomplete -F _cartvane cartvane\n",
        command_names().join(" ")
    )
}

fn fish() -> String {
    let mut script = String::new();
    for command in &COMMANDS {
        script.push_str(&format!(
            "complete -c cartvane -n __fish_use_subcommand -a {} -d '{}'\n",
            command.name,
            command.summary.replace('\'', "\\'")
        ));
        for option in command.all_options() {
            script.push_str(&format!(
                "complete -c cartvane -n '__fish_seen_subcommand_from {}' -l {}\n",
                command.name,
                option.trim_start_matches("--")
            ));
        }
    }
    script
}

fn command_names() -> Vec<&'static str> {
    COMMANDS.iter().map(|command| command.name).collect()
}
