//! Options of a command; an unknown one is an error that suggests the most similar known name.

use std::{fmt::Display, fs, str::FromStr};

use super::{Command, CommandError};
use crate::utils::nearest::nearest;

/// Options and arguments passed to a command.
pub struct Options {
    args: pico_args::Arguments,
    known: Vec<&'static str>,
    usage: String,
}

impl Options {
    /// Returns the options that `command` accepts, to be read from `args`.
    pub fn new(args: pico_args::Arguments, command: &Command) -> Options {
        Options { args, known: command.all_options().collect(), usage: command.full_usage() }
    }

    /// Removes a flag and returns whether it was present.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.args.contains(name)
    }

    /// Removes an option with a value and returns the parsed value, if the option was present.
    pub fn value<T>(&mut self, name: &'static str) -> Result<Option<T>, CommandError>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.args.opt_value_from_str(name).map_err(|e| CommandError::Usage(format!("{name}: {e}")))
    }

    /// Removes an option that may occur several times and returns its values.
    pub fn values(&mut self, name: &'static str) -> Result<Vec<String>, CommandError> {
        self.args.values_from_str(name).map_err(|e| CommandError::Usage(format!("{name}: {e}")))
    }

    /// Removes the next positional argument and returns it; `name` stands for it in the error if it is missing.
    ///
    /// Must be called after all options are read, since values of options look like positional arguments.
    pub fn positional(&mut self, name: &str) -> Result<String, CommandError> {
        let missing = || CommandError::Usage(format!("{name} is missing\n\nusage: {}", self.usage));
        let text: Option<String> =
            self.args.opt_free_from_str().map_err(|e| CommandError::Usage(e.to_string()))?;
        let text = text.ok_or_else(missing)?;
        if text.starts_with('-') && text.len() > 1 {
            return Err(self.unknown(&text));
        }
        Ok(text)
    }

    /// Returns all remaining positional arguments.
    ///
    /// Must be called after all options are read, since values of options look like positional arguments.
    pub fn remaining(self) -> Result<Vec<String>, CommandError> {
        let (known, usage) = (self.known, self.usage);
        let args = self.args.finish().into_iter().map(|arg| arg.to_string_lossy().into_owned());
        args.map(|arg| match arg.starts_with('-') && arg.len() > 1 {
            true => Err(unknown(&arg, &known, &usage)),
            false => Ok(arg),
        })
        .collect()
    }

    /// Rejects any argument that was not read.
    pub fn finish(self) -> Result<(), CommandError> {
        let known = self.known;
        let usage = self.usage;
        match self.args.finish().first() {
            None => Ok(()),
            Some(arg) => Err(unknown(&arg.to_string_lossy(), &known, &usage)),
        }
    }

    fn unknown(&self, arg: &str) -> CommandError {
        unknown(arg, &self.known, &self.usage)
    }
}

fn unknown(arg: &str, known: &[&'static str], usage: &str) -> CommandError {
    let near = nearest(arg, known.iter().copied());
    let hint = near.map_or_else(String::new, |near| format!("; did you mean {near}?"));
    CommandError::Usage(format!("unknown argument {arg:?}{hint}\n\nusage: {usage}"))
}

/// Reads a UTF-8 file whose path was passed on the command line.
pub(super) fn read_file(path: &str) -> Result<String, CommandError> {
    let bytes = fs::read(path).map_err(|e| {
        CommandError::Unreachable(format!(
            "cannot read {path}: {e}; check the path and its permissions"
        ))
    })?;
    String::from_utf8(bytes).map_err(|e| {
        let valid = &e.as_bytes()[..e.utf8_error().valid_up_to()];
        let line = valid.iter().filter(|&&b| b == b'\n').count() + 1;
        let column = valid.iter().rev().take_while(|&&b| b != b'\n').count() + 1;
        CommandError::Refused(format!(
            "1 error(s)\n{path}:{line}:{column}: not UTF-8; save the file in UTF-8"
        ))
    })
}

/// Prints a value as JSON.
pub(super) fn print_json(value: &impl serde::Serialize) -> Result<(), CommandError> {
    let text =
        serde_json::to_string_pretty(value).map_err(|e| CommandError::Refused(e.to_string()))?;
    println!("{text}");
    Ok(())
}
