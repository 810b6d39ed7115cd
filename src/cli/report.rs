//! `cartvane report`: summarizes the logs of any number of instances.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader, Read},
};

use super::{Command, CommandError, CommandResult, Options, options::print_json};
use crate::{
    context::Context,
    report::{RequestTrace, Summary, chart},
};

pub(super) const COMMAND: Command = Command {
    name: "report",
    summary: "summarize the logs of instances, or print the log lines of one request",
    usage: "cartvane report [FILE...] [--request ID] [--json] [--svg FILE]

  FILE            log of one or more instances; standard input if none is given
  --request ID    print the log lines of one request, sorted by time
  --json          print JSON
  --svg FILE      write a chart of requests per second by outcome, with marked events",
    options: &["--request", "--json", "--svg"],
    uses_operator_api: false,
    run,
};

/// Maximum length of a line in bytes. The rest of a longer line is read as another line, which is counted as damaged.
const LINE_MAX: u64 = 64 << 10;

fn run(mut options: Options, _: &Context) -> CommandResult {
    let json = options.flag("--json");
    let request: Option<String> = options.value("--request")?;
    let svg: Option<String> = options.value("--svg")?;
    let files = options.remaining()?;
    if let Some(id) = request {
        return print_request(&id, &files, json);
    }
    let mut summary = Summary::default();
    each_line(&files, |line| summary.add_line(line))?;
    if let Some(path) = svg {
        let picture = chart::svg(&summary).map_err(|e| CommandError::Refused(e.to_string()))?;
        fs::write(&path, picture).map_err(|e| {
            CommandError::Unreachable(format!(
                "cannot write {path}: {e}; check the path and its permissions"
            ))
        })?;
    }
    if json {
        return print_json(&summary.json());
    }
    print!("{}", summary.text());
    Ok(())
}

fn print_request(id: &str, files: &[String], json: bool) -> CommandResult {
    let mut trace = RequestTrace::new(id);
    each_line(files, |line| trace.add_line(line))?;
    let lines = trace.lines();
    if lines.is_empty() {
        return Err(CommandError::Refused(format!(
            "no log line of request {id} found; pass the logs of all instances, and the id as the caller sent it"
        )));
    }
    if json {
        let parsed: Vec<serde_json::Value> =
            lines.iter().filter_map(|line| serde_json::from_str(line).ok()).collect();
        return print_json(&parsed);
    }
    lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn each_line(files: &[String], mut on_line: impl FnMut(&str)) -> CommandResult {
    if files.is_empty() {
        return read_lines("standard input", std::io::stdin().lock(), &mut on_line);
    }
    for path in files {
        let file = File::open(path).map_err(|e| {
            CommandError::Unreachable(format!(
                "cannot read {path}: {e}; check the path and its permissions"
            ))
        })?;
        read_lines(path, BufReader::new(file), &mut on_line)?;
    }
    Ok(())
}

fn read_lines(name: &str, mut from: impl BufRead, on_line: &mut dyn FnMut(&str)) -> CommandResult {
    let mut buf = Vec::new();
    loop {
        buf.clear();
        let read = from.by_ref().take(LINE_MAX).read_until(b'\n', &mut buf);
        let read = read.map_err(|e| {
            CommandError::Unreachable(format!("reading {name} failed: {e}; run the command again"))
        })?;
        if read == 0 {
            return Ok(());
        }
        on_line(&String::from_utf8_lossy(&buf));
    }
}
