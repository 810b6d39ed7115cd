//! Limits of teams: requests in flight and requests per second.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    contract::{
        permit::{RefuseReason, TeamPolicy},
        token_bucket::TokenBucket,
    },
    names::Tag,
};

/// Retry-After for a team that has reached its limit of requests in flight.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Usage of the limits by team.
#[derive(Debug, Default)]
pub struct TeamLimits {
    in_flight: HashMap<Tag, u32>,
    rates: HashMap<Tag, TokenBucket>,
}

impl TeamLimits {
    /// Checks whether a team may send one more request, and counts it against the team's rate.
    ///
    /// # Errors
    ///
    /// The limit that the team has reached, and the time after which a retry may succeed.
    pub fn admit(
        &mut self,
        now: Instant,
        team: Tag,
        policy: &TeamPolicy,
    ) -> Result<(), (RefuseReason, Duration)> {
        let in_flight = self.in_flight.get(&team).copied().unwrap_or(0);
        if policy.max_in_flight.is_some_and(|max| in_flight >= max) {
            return Err((RefuseReason::TeamInFlight, RETRY_AFTER));
        }
        let Some(rate) = policy.rate else { return Ok(()) };
        let bucket = self.rates.entry(team).or_insert_with(|| TokenBucket::new(rate, now));
        bucket.set_rate(rate);
        bucket.take(now).map_err(|wait| (RefuseReason::TeamRate, wait))
    }

    /// Counts a request as in flight.
    pub fn start_request(&mut self, team: Tag) {
        *self.in_flight.entry(team).or_default() += 1;
    }

    /// Counts a request as finished.
    pub fn finish_request(&mut self, team: Tag) {
        if let Some(count) = self.in_flight.get_mut(&team) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&team);
            }
        }
    }

    /// Drops token buckets that are full: a new one would allow the same.
    pub fn prune_rates(&mut self, now: Instant) {
        self.rates.retain(|_, bucket| !bucket.is_full(now));
    }
}
