//! Soak test with fault injection: runs instances as separate processes, injects faults from outside, and checks
//! invariants against what callers and backend servers observe.

mod callers;
mod checks;
mod departures;
mod fleet;
mod intent_changes;
mod load;
mod notices;
mod odd_rows;
mod options;
mod plan;
mod processes;
mod report;
mod resumptions;
mod rollouts;
mod run;
mod small_service;
mod stream_caller;
mod streams;
mod two_versions;
mod version_event;

use std::{
    process::ExitCode,
    sync::{Arc, atomic::AtomicBool},
};

use crate::options::Options;

fn main() -> ExitCode {
    let options = match Options::parse(std::env::args_os().skip(1).collect()) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("soak: {error}\n\n{}", options::USAGE);
            return ExitCode::from(2);
        }
    };
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        if let Err(error) = signal_hook::flag::register(signal, Arc::clone(&interrupted)) {
            eprintln!("soak: cannot register a signal handler: {error}");
            return ExitCode::from(2);
        }
    }
    let mut failed = Vec::new();
    for seed in options.seeds.clone() {
        match run::run(seed, &options, &interrupted) {
            Ok(report) => {
                println!("seed {seed}: {report}");
                if !report.violations.is_empty() {
                    failed.push(seed);
                }
            }
            Err(error) => {
                println!("seed {seed}: not run: {error:#}");
                failed.push(seed);
            }
        }
        if interrupted.load(std::sync::atomic::Ordering::SeqCst) {
            println!("interrupted after seed {seed}");
            return ExitCode::from(2);
        }
    }
    println!("{} seeds failed: {failed:?}", failed.len());
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
