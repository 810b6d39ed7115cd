//! The promises, checked from what callers and backend servers saw.

use std::{fmt, sync::Mutex, time::Instant};

use cartvane::utils::sync::lock;
use standins::listed::Listed;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation {
    /// The promise.
    pub(crate) invariant: &'static str,
    /// The request, or what else it is about.
    pub(crate) subject: String,
    /// What was seen.
    pub(crate) observed: String,
    /// Milliseconds since the run began.
    pub(crate) at_ms: u128,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} ms: {}: {}: {}", self.at_ms, self.invariant, self.subject, self.observed)
    }
}

/// What a caller was told of a request that may run only once.
#[derive(Debug, Clone)]
struct OnceResponse {
    id: String,
    status: u16,
}

/// Collects what callers saw.
pub(crate) struct Checks {
    started_at: Instant,
    violations: Mutex<Vec<Violation>>,
    once: Mutex<Vec<OnceResponse>>,
    request_counts: Mutex<(u64, u64)>,
}

impl Checks {
    /// Returns the checks of a run that begins now.
    pub(crate) fn new() -> Checks {
        Checks {
            started_at: Instant::now(),
            violations: Mutex::default(),
            once: Mutex::default(),
            request_counts: Mutex::default(),
        }
    }

    /// Notes a broken promise.
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

    /// Notes the answer to a request that may run only once.
    pub(crate) fn note_once(&self, id: &str, status: u16) {
        lock(&self.once).push(OnceResponse { id: id.to_owned(), status });
    }

    /// Counts a request, and whether it was served.
    pub(crate) fn count_request(&self, served: bool) {
        let mut counts = lock(&self.request_counts);
        counts.0 += 1;
        counts.1 += u64::from(served);
    }

    /// Returns the requests and how many of them were served.
    pub(crate) fn request_counts(&self) -> (u64, u64) {
        *lock(&self.request_counts)
    }

    /// Checks the runs of requests that may run only once, when all is over.
    pub(crate) fn check_runs(&self, servers: &[Listed]) {
        for response in lock(&self.once).iter() {
            let runs: u32 = servers.iter().map(|server| server.runs(&response.id)).sum();
            if runs > 1 {
                self.report_violation("it runs at most once", &response.id, format!("{runs} runs"));
            }
            if matches!(response.status, 408 | 421 | 429 | 503) && runs > 0 {
                let observed = format!("status {} and {runs} runs", response.status);
                self.report_violation(
                    "a refusal that says not-run is true",
                    &response.id,
                    observed,
                );
            }
            if response.status == 200 && runs == 0 {
                self.report_violation(
                    "an answer is a server's",
                    &response.id,
                    "status 200 and no run",
                );
            }
        }
    }

    /// Returns the broken promises.
    pub(crate) fn take_violations(&self) -> Vec<Violation> {
        std::mem::take(&mut lock(&self.violations))
    }
}
