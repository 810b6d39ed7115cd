//! What a backend server says of itself in its answers: that it leaves, or that it wants no requests for a while.
//!
//! The list of servers lags and may not be readable at all, so a server's own answer is the earliest word on it, and at
//! times the only one. It holds for this start of the server, whatever the list or another instance says later.

use std::time::{Duration, Instant};

/// Longest backoff that is heeded: a server with a wrong figure would get nothing until its next start.
const BACKOFF_MAX: Duration = Duration::from_secs(3600);

/// What one start of a backend server has said of itself to this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    leaving: bool,
    /// Until when it wants no requests.
    backoff_until: Option<Instant>,
}

impl Notice {
    /// Notes that the server said that it leaves.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Notes that the server wants no requests for `time`. What it asked for before holds all the same: answers overtake each
    /// other.
    pub fn extend_backoff(&mut self, now: Instant, time: Duration) {
        let until = now + time.min(BACKOFF_MAX);
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Returns whether the server leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns for how long the server still wants no requests.
    pub fn backoff_left(&self, now: Instant) -> Option<Duration> {
        let left = self.backoff_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether nothing is to be sent to the server now.
    pub fn forbids_requests(&self, now: Instant) -> bool {
        self.leaving || self.backoff_left(now).is_some()
    }
}
