//! Admission control beyond capacity: which share of a service's requests is admitted, and when the callers of the
//! rejected ones should retry.
//!
//! A queue longer than callers wait makes every response late: the servers serve as many requests as without it, but
//! none in time. Therefore, as the slots of a service's servers fill up, a decreasing share of its requests is
//! admitted, slightly more of those with an urgent priority than of the others.
//!
//! Instances know each other's requests only as of the last exchange. If each decided by the sum, all would fill the
//! same free slots, find them overfull, and stop together. Each instance therefore compares its own requests, which it
//! knows exactly, with its part of the slots, which is derived from what it had in flight at the last exchange.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::moving_mean::MovingMean;
use crate::routing::load::FLEET_COUNT_MAX_AGE;

/// Share of its target latency beyond which a request does not wait for a slot, whatever the admitted share: with the
/// time to process its prompt, a request that waits longer is late.
const MAX_WAIT_SHARE: f64 = 0.6;

/// Share of an instance's part of the slots up to which all requests are admitted. Between this and `ADMIT_NONE_FROM`,
/// the admitted share that balances an overload of any size keeps nearly all slots taken and few requests queued.
const ADMIT_ALL_UP_TO: f64 = 0.85;

/// Share of an instance's part of the slots from which no request is admitted.
const ADMIT_NONE_FROM: f64 = 1.05;

/// Share of all slots that must have been taken at the last exchange for any request to be rejected: below it, the few
/// requests of one instance mean little, and the requests that arrive until the next exchange find free slots.
const NEARLY_FULL_SHARE: f64 = 0.75;

/// Difference between the most and the least urgent priority in the exponent of the admitted share, half of it above
/// and half below one.
const URGENCY: f64 = 0.4;

/// Time after which a priority without requests is ignored: several times the duration of a request.
const PRIORITY_TTL: Duration = Duration::from_secs(10);

/// Number of responses below which no request is rejected, because the means are not reliable yet.
const RESPONSES_MIN: u32 = 8;

/// Time without a rejection after which the next one starts a new period of overload.
const OVERLOAD_GAP: Duration = Duration::from_millis(1000);

/// Admitted share from which a rejected caller is asked to retry while it can still be served in time; below it, the
/// retry would most likely be rejected too.
const SOON_RETRY_FROM: f64 = 0.25;

/// Range of the delay of such an early retry, as a share of the target latency: callers rejected together do not return
/// together, and the last one still has time for its prompt to be processed.
const SOON_RETRY_MIN: f64 = 0.15;
const SOON_RETRY_MAX: f64 = 0.45;

/// Range of the delay of other retries, as a share of the duration of the overload so far, which is likely to last as
/// long again.
const LATER_RETRY_MIN: f64 = 0.5;
const LATER_RETRY_MAX: f64 = 1.5;

/// Shortest delay of other retries.
const LATER_RETRY_FLOOR: Duration = Duration::from_millis(200);

/// Shortest time without a byte that counts as a stall: several round trips within a region, and a pause of the server
/// of a few tenths of a second.
const STALL_TIMEOUT_MIN: Duration = Duration::from_millis(250);

/// Times at which the parts of a response arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimes {
    /// From sending the request to the response head.
    pub head: Duration,
    /// From the head to the end of the body.
    pub body: Duration,
}

/// Requests in flight at all servers of a service at the last exchange.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetTotal {
    /// Requests of all instances.
    pub all: f64,
    /// Requests of this instance among them.
    pub own: f64,
    /// Time of the exchange.
    pub at: Instant,
}

/// Admission control of one service, with the response times that it has observed.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    /// Time to the head, of responses that did not wait for a slot.
    head: MovingMean,
    /// Time from the head to the end.
    body: MovingMean,
    responses: u32,
    /// Recently used priorities, and when the last request of each was received.
    priorities: IndexMap<u8, Instant>,
    /// Requests in flight of all instances at the last exchange.
    fleet: Option<FleetTotal>,
    /// First and last rejection of the current or last period of overload.
    overload_period: Option<(Instant, Instant)>,
}

impl AdmissionControl {
    /// Records a caller's request with its priority (0 is the most urgent).
    pub fn note_request(&mut self, now: Instant, priority: u8) {
        self.priorities.insert(priority, now);
        self.priorities.retain(|_, used| now.saturating_duration_since(*used) < PRIORITY_TTL);
    }

    /// Records the times of a successful response; `waited` tells whether its request was expected to wait for a slot.
    pub fn note_response(&mut self, times: ResponseTimes, waited: bool) {
        if !waited {
            self.head.note(times.head);
        }
        self.body.note(times.body);
        self.responses = self.responses.saturating_add(1);
    }

    /// Returns the mean time for which a request occupies a slot, once enough responses were observed.
    pub fn slot_time(&self) -> Option<Duration> {
        if self.responses < RESPONSES_MIN {
            return None;
        }
        Some(Duration::from_secs_f64(self.head.seconds()? + self.body.seconds()?))
    }

    /// Returns the mean time from the head of a response to its end.
    pub fn body_time(&self) -> Duration {
        self.body.mean().unwrap_or_default()
    }

    /// Returns the time without a response head after which a request that was expected to wait `wait` for a slot
    /// counts as stalled; `None` until enough responses were observed.
    pub fn stall_timeout(&self, wait: Duration) -> Option<Duration> {
        let mean = self.head.seconds()?;
        if self.responses < RESPONSES_MIN {
            return None;
        }
        let nearly_all = Duration::from_secs_f64(mean + self.head.excess_seconds());
        // The queue may be a few requests longer than this instance knows.
        Some(nearly_all.max(STALL_TIMEOUT_MIN) + wait * 2)
    }

    /// Returns how long a request waits behind `queued` others at a server with `slots` slots.
    pub fn wait(&self, queued: f64, slots: u32) -> Duration {
        let Some(slot_time) = self.slot_time() else { return Duration::ZERO };
        slot_time.mul_f64(queued.max(0.0) / f64::from(slots.max(1)))
    }

    /// Sets the requests in flight of all instances at the last exchange.
    pub fn set_fleet_total(&mut self, total: FleetTotal) {
        self.fleet = Some(total);
    }

    /// Returns the requests in flight of all instances, unless the count is older than the duration of a request: by
    /// then other requests have replaced them.
    fn fleet(&self, now: Instant) -> Option<FleetTotal> {
        let max_age = self.slot_time()?.min(FLEET_COUNT_MAX_AGE);
        self.fleet.filter(|f| now.saturating_duration_since(f.at) < max_age)
    }

    /// Returns whether the count of the other instances' requests is recent enough to decide by.
    pub fn has_recent_counts(&self, now: Instant) -> bool {
        self.fleet(now).is_some()
    }

    /// Returns whether few of a service's `slots` were free at the last exchange.
    pub fn is_nearly_full(&self, now: Instant, slots: f64) -> bool {
        slots > 0.0 && self.fleet(now).is_some_and(|fleet| fleet.all >= NEARLY_FULL_SHARE * slots)
    }

    /// Returns this instance's part of the service's `slots`, which `instances` share; `None` while many are free.
    ///
    /// The part is what the instance had in flight, scaled by the factor by which all instances must grow or shrink. An
    /// instance with few requests gets at least an equal part of the free slots.
    fn own_slots(&self, now: Instant, slots: f64, instances: usize) -> Option<f64> {
        if !self.is_nearly_full(now, slots) {
            return None;
        }
        let fleet = self.fleet(now)?;
        let in_proportion = fleet.own * slots / fleet.all.max(1.0);
        let equal = fleet.own + (slots - fleet.all).max(0.0) / instances.max(1) as f64;
        Some(if fleet.all > slots { in_proportion } else { in_proportion.max(equal) }.max(1.0))
    }

    /// Returns the share of the requests of a priority that is admitted by an instance that has `own` requests in
    /// flight at servers with `slots` slots in total, shared by `instances`.
    pub fn admitted_share(
        &self,
        now: Instant,
        priority: u8,
        own: f64,
        slots: f64,
        instances: usize,
    ) -> f64 {
        let Some(own_slots) = self.own_slots(now, slots, instances) else { return 1.0 };
        let share = ((ADMIT_NONE_FROM - own / own_slots) / (ADMIT_NONE_FROM - ADMIT_ALL_UP_TO))
            .clamp(0.0, 1.0);
        let others = self.recent_priorities(now).count().saturating_sub(1).max(1) as f64;
        let more_urgent =
            self.recent_priorities(now).filter(|other| *other < priority).count() as f64;
        share.powf(1.0 + URGENCY * (more_urgent / others - 0.5))
    }

    /// Returns the longest expected wait for a slot with which a request of that target latency is still sent.
    pub fn max_wait(target: Duration) -> Duration {
        target.mul_f64(MAX_WAIT_SHARE)
    }

    fn recent_priorities(&self, now: Instant) -> impl Iterator<Item = u8> {
        let is_recent = move |used: &Instant| now.saturating_duration_since(*used) < PRIORITY_TTL;
        self.priorities.iter().filter(move |(_, used)| is_recent(used)).map(|(other, _)| *other)
    }

    /// Records a rejection and returns the delay after which its caller should retry.
    ///
    /// `admitted` is the admitted share of the requests of its priority, `draw` a random number in [0, 1) of this
    /// caller, and `max_delay` the longest delay that is useful to it.
    pub fn note_refusal(
        &mut self,
        now: Instant,
        admitted: f64,
        draw: f64,
        target: Duration,
        max_delay: Duration,
    ) -> Duration {
        let since = match self.overload_period {
            Some((since, last)) if now.saturating_duration_since(last) < OVERLOAD_GAP => since,
            _ => now,
        };
        self.overload_period = Some((since, now));
        // Only requests whose draw is at or above the admitted share are rejected.
        let draw = ((draw - admitted) / (1.0 - admitted).max(f64::EPSILON)).clamp(0.0, 1.0);
        let between = |min: f64, max: f64| min + draw * (max - min);
        let delay = if admitted >= SOON_RETRY_FROM {
            target.mul_f64(between(SOON_RETRY_MIN, SOON_RETRY_MAX))
        } else {
            let duration = now.saturating_duration_since(since);
            let delay = duration.mul_f64(between(LATER_RETRY_MIN, LATER_RETRY_MAX));
            delay.max(LATER_RETRY_FLOOR.mul_f64(1.0 + draw))
        };
        delay.min(max_delay)
    }
}
