//! The result of a run, as it is printed.

use std::{collections::BTreeMap, fmt};

use crate::checks::Violation;

/// Violations of one invariant that are printed; the others are counted.
const PRINTED_MAX: usize = 5;

/// Result of a run.
pub(crate) struct Report {
    /// Violated invariants.
    pub(crate) violations: Vec<Violation>,
    /// Requests of callers, and those that were served.
    pub(crate) requests: u64,
    pub(crate) served: u64,
    /// Number of events that were applied.
    pub(crate) events: usize,
    /// Folder of the processes' logs.
    pub(crate) logs: String,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} events, {} of {} requests served", self.events, self.served, self.requests)?;
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for violation in &self.violations {
            let count = counts.entry(violation.invariant).or_default();
            *count += 1;
            if *count <= PRINTED_MAX {
                write!(f, "\n  VIOLATED {violation}")?;
            }
        }
        for (invariant, count) in counts.into_iter().filter(|(_, count)| *count > PRINTED_MAX) {
            write!(f, "\n  VIOLATED {count} times: {invariant}")?;
        }
        if !self.violations.is_empty() {
            write!(f, "\n  logs: {}", self.logs)?;
        }
        Ok(())
    }
}
