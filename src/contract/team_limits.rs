//! Limits of teams: requests in flight and requests a second.

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

/// Time to come back for a team with too many requests in flight.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What teams use of their limits.
#[derive(Debug, Default)]
pub struct TeamLimits {
    in_flight: HashMap<Tag, u32>,
    rates: HashMap<Tag, TokenBucket>,
}

impl TeamLimits {
    /// Decides whether a team may send one more request.
    ///
    /// # Errors
    ///
    /// Which limit it has reached, and when to come back.
    pub fn admit(
        &mut self,
        now: Instant,
        team: Tag,
        terms: &TeamPolicy,
    ) -> Result<(), (RefuseReason, Duration)> {
        let in_flight = self.in_flight.get(&team).copied().unwrap_or(0);
        if terms.max_in_flight.is_some_and(|most| in_flight >= most) {
            return Err((RefuseReason::TeamInFlight, RETRY_AFTER));
        }
        let Some(rate) = terms.rate else { return Ok(()) };
        let bucket = self.rates.entry(team).or_insert_with(|| TokenBucket::new(rate, now));
        bucket.set_rate(rate);
        bucket.take(now).map_err(|wait| (RefuseReason::TeamRate, wait))
    }

    /// Counts a request in flight.
    pub fn start_request(&mut self, team: Tag) {
        *self.in_flight.entry(team).or_default() += 1;
    }

    /// Counts a request as ended.
    pub fn finish_request(&mut self, team: Tag) {
        if let Some(count) = self.in_flight.get_mut(&team) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&team);
            }
        }
    }

    /// Forgets rates that say nothing any more.
    pub fn tick(&mut self, now: Instant) {
        self.rates.retain(|_, bucket| !bucket.is_full(now));
    }
}
