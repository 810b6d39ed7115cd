//! How long everything is kept that says where streams began: for as long as their callers may resume them.

use std::time::{Duration, Instant};

use super::{RouteKind, RouteTable};

/// Shortest time for which a version or the shares of a route stay registered after they were last in use.
pub const RETENTION_MIN: Duration = Duration::from_secs(30);

/// Longest time for which anything is kept, whatever the routes say: it bounds memory.
pub const RETENTION_MAX: Duration = Duration::from_secs(600);

/// Time beyond the longest wait of callers: instances use a list for up to 10 s, and begin streams by it.
const LIST_MARGIN: Duration = Duration::from_secs(10);

/// Time for which versions and shares are in sight beyond the time that they stay registered, so that all streams are
/// recorded whose resumption the registry leaves open.
const SIGHT_MARGIN: Duration = Duration::from_secs(20);

/// Time for which a record is held beyond the time that its caller waits, as messages and callers may be late.
const RECORD_MARGIN: Duration = Duration::from_secs(5);

/// Returns how long the record of a stream is held whose caller waits for this long.
pub fn record_ttl(wait: Duration) -> Duration {
    wait.saturating_add(RECORD_MARGIN).min(RETENTION_MAX)
}

/// How long versions and shares of routes are kept after they were last in use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamRetention {
    /// By the active intent; `None` while there is none, so that nothing is dropped early.
    current: Option<Duration>,
    /// A longer one by a former intent, and until when it counts: its streams may still run.
    former: Option<(Duration, Instant)>,
}

impl StreamRetention {
    /// Notes the routes of the active intent.
    pub fn note_routes(&mut self, now: Instant, routes: &RouteTable) {
        let resumable = routes.iter().filter(|route| route.kind == RouteKind::ResumableStream);
        let longest = resumable.map(|route| route.timeout).max().unwrap_or_default();
        let retention = longest.saturating_add(LIST_MARGIN).clamp(RETENTION_MIN, RETENTION_MAX);
        if let Some(former) = self.current
            && former > retention
        {
            let former = former.max(self.registered(now));
            self.former = Some((former, now + former));
        }
        self.current = Some(retention);
    }

    /// Returns how long versions and shares stay registered.
    pub fn registered(&self, now: Instant) -> Duration {
        let current = self.current.unwrap_or(RETENTION_MAX);
        let former = self.former.filter(|(_, until)| now < *until);
        former.map_or(current, |(former, _)| former.max(current))
    }

    /// Returns how long versions and shares are in sight.
    pub fn in_sight(&self, now: Instant) -> Duration {
        self.registered(now).saturating_add(SIGHT_MARGIN)
    }
}
