//! Rejected requests whose callers may send them again at once, so that retries do not raise the demand of a team.
//!
//! It handles callers that ignore `Retry-After`. Each instance recognises the retries that come to itself.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time after its first rejection within which a request that comes again is the same demand.
const SAME_DEMAND_TIME: Duration = Duration::from_secs(1);

/// Largest number of remembered requests, 24 bytes each.
const REMEMBERED_MAX: usize = 512;

#[derive(Debug, Clone, Copy)]
struct Rejected {
    /// When the first of its rejections was recorded.
    since: Instant,
    /// Rejections after which the request has not come again yet.
    pending: u32,
}

/// Recently rejected requests of a service, by a key that is the same when a caller sends a request again.
///
/// Each rejection accounts for one arrival only: different callers may send requests with the same key, such as polls
/// of one resource, and these are separate demand.
#[derive(Debug, Default)]
pub(super) struct RejectedRequests(IndexMap<u64, Rejected>);

impl RejectedRequests {
    /// Returns whether no request is remembered, so that keys need not be computed.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records a rejection.
    pub(super) fn note_rejection(&mut self, now: Instant, key: u64) {
        if self.0.len() >= REMEMBERED_MAX && !self.0.contains_key(&key) {
            self.prune(now);
            if self.0.len() >= REMEMBERED_MAX {
                self.0.swap_remove_index(0);
            }
        }
        let rejected = self.0.entry(key).or_insert(Rejected { since: now, pending: 0 });
        if is_over(now, rejected) {
            *rejected = Rejected { since: now, pending: 0 };
        }
        rejected.pending += 1;
    }

    /// Records an arrival; returns whether it is a request that comes again after a rejection.
    pub(super) fn note_arrival(&mut self, now: Instant, key: u64) -> bool {
        let Some(rejected) = self.0.get_mut(&key) else { return false };
        if is_over(now, rejected) {
            self.0.swap_remove(&key);
            return false;
        }
        let is_retry = rejected.pending > 0;
        rejected.pending = rejected.pending.saturating_sub(1);
        is_retry
    }

    /// Forgets requests that no longer count as the same demand.
    pub(super) fn prune(&mut self, now: Instant) {
        self.0.retain(|_, rejected| !is_over(now, rejected));
    }
}

fn is_over(now: Instant, rejected: &Rejected) -> bool {
    now.saturating_duration_since(rejected.since) >= SAME_DEMAND_TIME
}
