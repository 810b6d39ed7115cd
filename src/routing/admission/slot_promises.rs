//! Promises of a retry time: the times that rejected callers got in `Retry-After`, with capacity reserved for them.
//!
//! The broker of a service makes them while its slots serve only some of the requests. Without them, callers that retry
//! would compete with new requests once more, and most would be rejected again.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::slot_queue::TeamKey;

/// Promises that are kept at most; with more, callers get a time later than they wait, without a promise.
pub(super) const PROMISES_MAX: usize = 1024;

/// Time after the promised moment for which a promise holds: a new connection to another instance, and a pause of the
/// caller.
const PROMISE_WINDOW: Duration = Duration::from_millis(200);

/// Resolution of `Retry-After`: a caller may return early by as much, and promises to a team are not closer together.
const RESOLUTION: Duration = Duration::from_millis(1);

/// Priority from which callers are promised the same, so that the latest moment does not fall below the interval.
const PRIORITY_MAX: u8 = 3;

/// Ratio of the latest moments that are promised to one priority and to the next less urgent one. If all were promised
/// the same, promises would go to whoever was rejected first, whatever the priority.
const HORIZON_RATIO: u32 = 4;

#[derive(Debug, Clone, Copy)]
struct Promise {
    digest: u64,
    at: Instant,
}

impl Promise {
    fn is_due(&self, now: Instant) -> bool {
        self.at <= now + RESOLUTION && !self.is_over(now)
    }

    fn is_over(&self, now: Instant) -> bool {
        self.at + PROMISE_WINDOW < now
    }
}

/// Promised retry times, by team.
#[derive(Debug, Default)]
pub(super) struct SlotPromises {
    /// Promises by team, those of a team by time.
    teams: IndexMap<TeamKey, VecDeque<Promise>>,
    len: usize,
}

impl SlotPromises {
    /// Returns the number of promises.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of teams with promises.
    pub(super) fn teams(&self) -> usize {
        self.teams.len()
    }

    /// Returns how many promises of a team fall due until `until`.
    pub(super) fn due_until(&self, team: TeamKey, until: Instant) -> usize {
        self.teams.get(&team).map_or(0, |list| list.partition_point(|promise| promise.at <= until))
    }

    /// Returns whether the caller with this digest returns at its promised time; its promise is then used up.
    pub(super) fn redeem(&mut self, now: Instant, team: TeamKey, digest: u64) -> bool {
        let is_due = self.find(team, digest).is_some_and(|promise| promise.is_due(now));
        if is_due {
            self.remove(team, digest);
        }
        is_due
    }

    /// Ends the promise to a caller, if it has one.
    pub(super) fn remove(&mut self, team: TeamKey, digest: u64) {
        let Some(list) = self.teams.get_mut(&team) else { return };
        let Some(at) = list.iter().position(|promise| promise.digest == digest) else { return };
        list.remove(at);
        self.len -= 1;
        if list.is_empty() {
            self.teams.swap_remove(&team);
        }
    }

    /// Returns the delay after which a rejected caller should return. Capacity is reserved for it then if the delay is at
    /// most `max_delay`, the longest that the caller waits; `interval` is the time between two promises to its team.
    ///
    /// The less urgent the priority, the nearer the latest moment that is promised. While the more urgent callers of a
    /// team take all promises, the next one is later than that, so that the others get none.
    pub(super) fn promise(
        &mut self,
        now: Instant,
        team: TeamKey,
        digest: u64,
        priority: u8,
        interval: Duration,
        max_delay: Duration,
    ) -> Duration {
        self.expire(now);
        if let Some(promise) = self.find(team, digest) {
            if promise.at > now {
                return promise.at - now;
            }
            self.remove(team, digest);
        }
        let last = self.teams.get(&team).and_then(|list| list.back()).map(|promise| promise.at);
        let at = last.map_or(now, |last| last.max(now)) + interval.max(RESOLUTION);
        let delay = at - now;
        if delay > max_delay {
            return delay;
        }
        let horizon = max_delay / HORIZON_RATIO.pow(priority.min(PRIORITY_MAX).into());
        if delay > horizon || self.len == PROMISES_MAX {
            return max_delay + interval;
        }
        self.teams.entry(team).or_default().push_back(Promise { digest, at });
        self.len += 1;
        delay
    }

    /// Ends the promises that were not taken up.
    pub(super) fn expire(&mut self, now: Instant) {
        for list in self.teams.values_mut() {
            while list.front().is_some_and(|promise| promise.is_over(now)) {
                list.pop_front();
                self.len -= 1;
            }
        }
        self.teams.retain(|_, list| !list.is_empty());
    }

    fn find(&self, team: TeamKey, digest: u64) -> Option<Promise> {
        self.teams.get(&team)?.iter().find(|promise| promise.digest == digest).copied()
    }
}
