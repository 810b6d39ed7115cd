//! Whether an instance that starts reads the store, or waits for updates from other instances.
//!
//! Without the wait, hundreds of instances that start together would each read a whole list of thousands of servers
//! from the store. With it, only the few seeds named in everyone's settings read, and the others copy from them.

use std::time::{Duration, Instant};

/// Shortest wait for other instances. By then the seeds should have read the store.
const WAIT_MIN: Duration = Duration::from_millis(900);

/// Longest wait: callers are to be served 1.5 s after a start. The wait is drawn between the two, so that instances
/// that reach no seed do not all read at the same time.
const WAIT_MAX: Duration = Duration::from_millis(1400);

/// Interval at which a starting instance asks others, and checks whether a reply has come.
pub const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// The wait of an instance that starts.
#[derive(Debug, Clone, Copy)]
pub struct StartupWait {
    /// When the wait ends; `None` for an instance that does not wait.
    until: Option<Instant>,
}

impl StartupWait {
    /// Returns the wait of an instance that starts now; `draw` is a random number in [0, 1).
    ///
    /// `is_seed` is set if other instances rely on it, or if it has none to ask: it does not wait.
    pub fn new(now: Instant, is_seed: bool, draw: f64) -> StartupWait {
        let until = (!is_seed).then(|| now + WAIT_MIN + (WAIT_MAX - WAIT_MIN).mul_f64(draw));
        StartupWait { until }
    }

    /// Returns whether the instance still waits for updates from others.
    pub fn is_waiting(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
