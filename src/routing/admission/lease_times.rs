//! How long an instance may use a slot lease.
//!
//! An instance that was suspended, or whose messages were delayed, must not use a slot that the broker may have leased
//! to another request meanwhile. The instance that holds the lease decides by its own clock.

use std::time::{Duration, Instant};

/// Time after the grant within which the request must be sent: many round trips and scheduling delays. A broker that has
/// received no message by then may count the holder as lost.
const UNUSED_MAX: Duration = Duration::from_millis(500);

/// Times of a granted lease, by the clock of the instance that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Earliest time at which the broker can have granted the lease.
    granted_at: Instant,
    expires_at: Instant,
}

impl LeaseTimes {
    /// Returns the times of a lease that was requested at `sent_at` for `time_left` and that the broker granted `waited`
    /// after it had received the request. The time for which the grant was under way or unread counts as its age.
    pub fn new(sent_at: Instant, waited: Duration, time_left: Duration) -> LeaseTimes {
        LeaseTimes { granted_at: sent_at + waited, expires_at: sent_at + time_left }
    }

    /// Returns whether the request may be sent now.
    pub fn is_usable(&self, now: Instant) -> bool {
        now < self.expires_at && self.age(now) <= UNUSED_MAX
    }

    /// Returns the time since the grant.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.granted_at)
    }

    /// Returns the time until the lease expires.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.expires_at.saturating_duration_since(now)
    }
}
