//! Whether an instance that starts reads the store, or waits for others to tell it what there is.
//!
//! Answers the load of all instances that start together: hundreds of whole lists of thousands of servers at the store,
//! where a few that the settings name to all read them and tell the rest.

use std::time::{Duration, Instant};

/// How long an instance waits for others, at the least and at the most; drawn, so that those whom nobody tells do not
/// all read together. The ones that are asked are to have read by then, and callers to be served 1.5 s after a start.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(900), Duration::from_millis(1400));

/// Pause between two questions, and between two looks at whether there is an answer.
pub const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// The start of an instance.
#[derive(Debug, Clone, Copy)]
pub struct StartupWait {
    /// When it no longer waits; `None` for one that has nobody to wait for.
    until: Option<Instant>,
}

impl StartupWait {
    /// Returns the watch of an instance that starts now; `draw` is a number in [0, 1).
    ///
    /// `has_dependents` says that others turn to it, or that it has nobody to ask.
    pub fn new(now: Instant, has_dependents: bool, draw: f64) -> StartupWait {
        let (least, most) = PATIENCE;
        let until = (!has_dependents).then(|| now + least + (most - least).mul_f64(draw));
        StartupWait { until }
    }

    /// Returns whether what is not known yet is waited for.
    pub fn is_waiting(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
