//! Options of one command; what is left over is refused with the nearest known name.

use std::{fmt::Display, fs, str::FromStr};

use super::{Command, CommandError};
use crate::utils::nearest::nearest;

/// The options given to a command.
pub struct Options {
    args: pico_args::Arguments,
    known: Vec<&'static str>,
    usage: String,
}

impl Options {
    /// Returns the options of `command`.
    pub fn new(args: pico_args::Arguments, command: &Command) -> Options {
        Options { args, known: command.all_options().collect(), usage: command.full_usage() }
    }

    /// Takes a flag.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.args.contains(name)
    }

    /// Takes an option with a value.
    pub fn value<T>(&mut self, name: &'static str) -> Result<Option<T>, CommandError>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.args.opt_value_from_str(name).map_err(|e| CommandError::Usage(format!("{name}: {e}")))
    }

    /// Takes an option that may be given several times.
    pub fn values(&mut self, name: &'static str) -> Result<Vec<String>, CommandError> {
        self.args.values_from_str(name).map_err(|e| CommandError::Usage(format!("{name}: {e}")))
    }

    /// Takes the next free argument.
    ///
    /// Call this after every option has been taken.
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

    /// Takes every free argument that is left, and ends the reading.
    ///
    /// Call this after every option has been taken.
    pub fn remaining(self) -> Result<Vec<String>, CommandError> {
        let (known, usage) = (self.known, self.usage);
        let args = self.args.finish().into_iter().map(|arg| arg.to_string_lossy().into_owned());
        args.map(|arg| match arg.starts_with('-') && arg.len() > 1 {
            true => Err(unknown(&arg, &known, &usage)),
            false => Ok(arg),
        })
        .collect()
    }

    /// Ends the reading: anything left over is refused.
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
    CommandError::Usage(format!("{arg:?} is not known here{hint}\n\nusage: {usage}"))
}

/// Reads a file named on the command line.
pub(super) fn read_file(path: &str) -> Result<String, CommandError> {
    let bytes = fs::read(path).map_err(|e| {
        CommandError::Unreachable(format!(
            "cannot read {path}: {e}; correct the path or its rights"
        ))
    })?;
    String::from_utf8(bytes).map_err(|e| {
        let valid = &e.as_bytes()[..e.utf8_error().valid_up_to()];
        let line = valid.iter().filter(|&&b| b == b'\n').count() + 1;
        let column = valid.iter().rev().take_while(|&&b| b != b'\n').count() + 1;
        CommandError::Refused(format!(
            "1 faults\n{path}:{line}:{column}: not UTF-8; save the file as text in UTF-8"
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
