//! Notices that a backend server sends in its responses: that it is leaving, or that it requests a backoff.
//!
//! The list of servers lags and may be unreadable, so a response is the earliest and sometimes the only source. A
//! notice holds for this incarnation of the server, whatever the list or another instance reports later.

use std::time::{Duration, Instant};

/// Longest backoff that is respected: with a wrong value, a server would otherwise get no requests until it restarts.
const BACKOFF_MAX: Duration = Duration::from_secs(3600);

/// Notices that this instance has received from one incarnation of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    leaving: bool,
    backoff_until: Option<Instant>,
}

impl Notice {
    /// Records that the server is leaving.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Records that the server requests a backoff of `time`. An earlier backoff that ends later still holds, because
    /// responses may overtake each other.
    pub fn extend_backoff(&mut self, now: Instant, time: Duration) {
        let until = now + time.min(BACKOFF_MAX);
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Returns whether the server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the remaining time of the server's backoff.
    pub fn backoff_left(&self, now: Instant) -> Option<Duration> {
        let left = self.backoff_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether no requests may be sent to the server now.
    pub fn forbids_requests(&self, now: Instant) -> bool {
        self.leaving || self.backoff_left(now).is_some()
    }
}
