//! The promises, checked from what callers and backend servers saw.

use std::{fmt, sync::Mutex, time::Instant};

use cartvane::utils::sync::lock;
use standins::listed::Listed;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Broken {
    /// The promise.
    pub(crate) promise: &'static str,
    /// The request, or what else it is about.
    pub(crate) about: String,
    /// What was seen.
    pub(crate) seen: String,
    /// Milliseconds since the run began.
    pub(crate) at_ms: u128,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} ms: {}: {}: {}", self.at_ms, self.promise, self.about, self.seen)
    }
}

/// What a caller was told of a request that may run only once.
#[derive(Debug, Clone)]
struct Told {
    id: String,
    status: u16,
}

/// Collects what callers saw.
pub(crate) struct Checks {
    began: Instant,
    broken: Mutex<Vec<Broken>>,
    once: Mutex<Vec<Told>>,
    served: Mutex<(u64, u64)>,
}

impl Checks {
    /// Returns the checks of a run that begins now.
    pub(crate) fn new() -> Checks {
        Checks {
            began: Instant::now(),
            broken: Mutex::default(),
            once: Mutex::default(),
            served: Mutex::default(),
        }
    }

    /// Notes a broken promise.
    pub(crate) fn broken(&self, promise: &'static str, about: &str, seen: impl Into<String>) {
        let at_ms = self.began.elapsed().as_millis();
        let (about, seen) = (about.to_owned(), seen.into());
        lock(&self.broken).push(Broken { promise, about, seen, at_ms });
    }

    /// Notes the answer to a request that may run only once.
    pub(crate) fn told_once(&self, id: &str, status: u16) {
        lock(&self.once).push(Told { id: id.to_owned(), status });
    }

    /// Counts a request, and whether it was served.
    pub(crate) fn count(&self, served: bool) {
        let mut counts = lock(&self.served);
        counts.0 += 1;
        counts.1 += u64::from(served);
    }

    /// Returns the requests and how many of them were served.
    pub(crate) fn counts(&self) -> (u64, u64) {
        *lock(&self.served)
    }

    /// Checks the runs of requests that may run only once, when all is over.
    pub(crate) fn check_runs(&self, servers: &[Listed]) {
        for told in lock(&self.once).iter() {
            let runs: u32 = servers.iter().map(|server| server.runs(&told.id)).sum();
            if runs > 1 {
                self.broken("it runs at most once", &told.id, format!("{runs} runs"));
            }
            if matches!(told.status, 408 | 421 | 429 | 503) && runs > 0 {
                let seen = format!("status {} and {runs} runs", told.status);
                self.broken("a refusal that says not-run is true", &told.id, seen);
            }
            if told.status == 200 && runs == 0 {
                self.broken("an answer is a server's", &told.id, "status 200 and no run");
            }
        }
    }

    /// Returns the broken promises.
    pub(crate) fn take(&self) -> Vec<Broken> {
        std::mem::take(&mut lock(&self.broken))
    }
}
