//! Invariants of the fleet, checked against what callers and backend servers observed.

use std::{fmt, sync::Mutex, time::Instant};

use cartvane::utils::sync::lock;
use standins::listed::Listed;

use crate::small_service::TEAMS;

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation {
    /// The invariant.
    pub(crate) invariant: &'static str,
    /// The request, instance or part of the soak that violated it.
    pub(crate) subject: String,
    /// What was observed instead.
    pub(crate) observed: String,
    /// Milliseconds since the start of the run.
    pub(crate) at_ms: u128,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} ms: {}: {}: {}", self.at_ms, self.invariant, self.subject, self.observed)
    }
}

/// The response to a request that may run at most once.
#[derive(Debug, Clone)]
struct OnceResponse {
    id: String,
    status: u16,
}

/// Collects what callers observed.
pub(crate) struct Checks {
    started_at: Instant,
    violations: Mutex<Vec<Violation>>,
    once: Mutex<Vec<OnceResponse>>,
    request_counts: Mutex<(u64, u64)>,
    team_counts: Mutex<[(u64, u64); TEAMS]>,
}

impl Checks {
    /// Returns the checks of a run that starts now.
    pub(crate) fn new() -> Checks {
        Checks {
            started_at: Instant::now(),
            violations: Mutex::default(),
            once: Mutex::default(),
            request_counts: Mutex::default(),
            team_counts: Mutex::default(),
        }
    }

    /// Records a violated invariant.
    pub(crate) fn report_violation(
        &self,
        invariant: &'static str,
        subject: &str,
        observed: impl Into<String>,
    ) {
        let at_ms = self.started_at.elapsed().as_millis();
        let (subject, observed) = (subject.to_owned(), observed.into());
        lock(&self.violations).push(Violation { invariant, subject, observed, at_ms });
    }

    /// Records the response to a request that may run at most once.
    pub(crate) fn note_once(&self, id: &str, status: u16) {
        lock(&self.once).push(OnceResponse { id: id.to_owned(), status });
    }

    /// Counts a request and whether it was served with a complete response.
    pub(crate) fn count_request(&self, served: bool) {
        let mut counts = lock(&self.request_counts);
        counts.0 += 1;
        counts.1 += u64::from(served);
    }

    /// Returns the number of requests and how many of them were served.
    pub(crate) fn request_counts(&self) -> (u64, u64) {
        *lock(&self.request_counts)
    }

    /// Counts a request of a team to the small service and whether it was served.
    pub(crate) fn count_team_request(&self, team: usize, served: bool) {
        let counts = &mut lock(&self.team_counts)[team];
        counts.0 += 1;
        counts.1 += u64::from(served);
    }

    /// Returns the number of each team's requests to the small service and how many of them were served.
    pub(crate) fn team_counts(&self) -> [(u64, u64); TEAMS] {
        *lock(&self.team_counts)
    }

    /// Checks how often the servers ran each request that may run at most once; called after the last response.
    pub(crate) fn check_runs(&self, servers: &[Listed]) {
        for response in lock(&self.once).iter() {
            let runs: u32 = servers.iter().map(|server| server.runs(&response.id)).sum();
            if runs > 1 {
                self.report_violation(
                    "a non-idempotent request runs at most once",
                    &response.id,
                    format!("{runs} runs"),
                );
            }
            if matches!(response.status, 408 | 421 | 429 | 503) && runs > 0 {
                let observed = format!("status {} and {runs} runs", response.status);
                self.report_violation(
                    "a request rejected as not run has not run",
                    &response.id,
                    observed,
                );
            }
            if response.status == 200 && runs == 0 {
                self.report_violation(
                    "a successful response comes from a backend server",
                    &response.id,
                    "status 200 and no run",
                );
            }
        }
    }

    /// Returns the violations and clears them.
    pub(crate) fn take_violations(&self) -> Vec<Violation> {
        std::mem::take(&mut lock(&self.violations))
    }
}
