//! Measurements beside the load scenarios; docs/MEASUREMENTS.md says how each is run.

pub mod answers;
pub mod capacity;
pub mod choices;
pub mod config;
pub mod decisions;
pub mod latency;
mod slots;

use std::{fs, time::Duration};

use serde::Serialize;

use crate::load::measure::percentile;

/// One measured figure.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// Value.
    pub value: f64,
    /// Unit.
    pub unit: &'static str,
}

/// Returns a figure.
pub fn figure(name: impl Into<String>, value: f64, unit: &'static str) -> Figure {
    Figure { name: name.into(), value, unit }
}

/// Returns the median and 99th percentile of times, in milliseconds.
pub fn spread(name: &str, times: &[Duration]) -> [Figure; 2] {
    let mut millis: Vec<f64> = times.iter().map(|t| t.as_secs_f64() * 1000.0).collect();
    let p50 = percentile(&mut millis, 0.5);
    let p99 = percentile(&mut millis, 0.99);
    [figure(format!("{name}, p50"), p50, "ms"), figure(format!("{name}, p99"), p99, "ms")]
}

/// Prints figures as a table or as JSON.
///
/// # Errors
///
/// The figures cannot be encoded.
pub fn print(figures: &[Figure], json: bool) -> anyhow::Result<()> {
    if json {
        println!("{}", serde_json::to_string_pretty(figures)?);
        return Ok(());
    }
    for Figure { name, value, unit } in figures {
        println!("{name:<60} {value:>12.3} {unit}");
    }
    Ok(())
}

/// Returns the resident memory of a process in MiB; zero where the machine does not tell.
pub fn resident_mib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}

/// Returns the processor time of a process in seconds; zero where the machine does not tell.
pub fn processor_secs(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    // User and system time, in hundredths of a second.
    (ticks(11) + ticks(12)) / 100.0
}
