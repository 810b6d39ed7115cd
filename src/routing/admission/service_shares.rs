//! Division of the capacity of one service among its teams.
//!
//! It handles loads in which some teams use more than their share of a service. The aggregator divides, by the
//! sums of all reports; the instances apply the limits that follow (`team_limits`).

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{
    demand_sums::{DemandSums, RateSum},
    fair_level,
    smoothed_rate::SmoothedRate,
    team_messages::{CentiRate, PerMille, ServiceLimits},
};
use crate::names::{ServiceName, Tag};

/// Largest share of the slots that is divided among teams.
const DIVIDED_MAX: f64 = 0.95;

/// Number of standard deviations by which demand must exceed capacity before teams are limited, so that random bursts
/// below capacity limit nobody.
const ONSET_DEVIATIONS: f64 = 5.0;

/// The same where many requests are queued, which a random burst hardly causes.
const QUEUED_ONSET_DEVIATIONS: f64 = 3.0;

/// Share of the slots from which a queue is long.
const LONG_QUEUE_SHARE: f64 = 1.0;

/// Rate below which a team that is not reported any more is forgotten, in requests per second.
const KEPT_MIN: f64 = 0.05;

/// Time in which queued requests are to be served, in seconds. While a queue that an onset has left drains by the free
/// slots only, all requests behind it are late.
const DRAIN_TIME_S: f64 = 0.5;

/// Smallest share of the capacity that is divided while a queue is served.
const DRAIN_SHARE_MIN: f64 = 0.5;

/// Slots of a service and their use, from which the aggregator derives the capacity that is divided among teams.
///
/// [`ServiceSlots`](super::ServiceSlots) has what decides whether a service is small instead, and
/// [`ServerSlots`](super::ServerSlots) one server of a small service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotUsage {
    /// Slots of all of its servers.
    pub total: f64,
    /// Number of its servers.
    pub servers: usize,
    /// Requests in flight of all instances.
    pub in_flight: f64,
    /// Mean time from the head of a response to its end, which includes no wait for a slot.
    pub body_time: Duration,
}

impl SlotUsage {
    /// Returns the requests per second that are divided among teams if each occupies a slot for `slot_time` seconds.
    ///
    /// One slot of each server is left free: a request that finds all slots of its server taken then waits for about
    /// one slot time. With less, waits soon exceed the usual targets, since instances spread requests by old counts.
    pub(super) fn capacity(self, slot_time: f64) -> f64 {
        let divided = (self.total - self.servers as f64).max(self.total / 2.0);
        divided.min(self.total * DIVIDED_MAX) / slot_time
    }

    fn has_long_queue(self) -> bool {
        self.in_flight >= self.total * (1.0 + LONG_QUEUE_SHARE)
    }

    /// Returns the part of `capacity` that is divided while queued requests are served.
    fn beside_queue(self, capacity: f64) -> f64 {
        let queued = (self.in_flight - self.total).max(0.0);
        (capacity - queued / DRAIN_TIME_S).max(capacity * DRAIN_SHARE_MIN)
    }
}

/// Rates of a service or of a team.
#[derive(Debug, Clone, Copy)]
struct Claimant {
    demand: SmoothedRate,
    attempts: SmoothedRate,
    is_limited: bool,
}

impl Claimant {
    fn new(now: Instant, sum: RateSum) -> Claimant {
        Claimant {
            demand: SmoothedRate::new(now, sum.demand()),
            attempts: SmoothedRate::new(now, sum.attempts()),
            is_limited: false,
        }
    }

    fn note(&mut self, now: Instant, sum: RateSum) {
        self.demand.note(now, sum.demand());
        self.attempts.note(now, sum.attempts());
    }

    /// Returns the rate that is compared with the level or the capacity.
    ///
    /// Requests that come again after a rejection do not count before a limit begins, so that they do not start one.
    /// While there is a limit they count: otherwise the demand would seem to have ended because of its rejections.
    fn claim(&self) -> f64 {
        if self.is_limited { self.attempts.rate() } else { self.demand.rate() }
    }
}

/// Smoothed rates of the teams of one service, and which of them are limited.
#[derive(Debug)]
pub(super) struct ServiceShares {
    total: Claimant,
    teams: IndexMap<Tag, Claimant>,
}

impl ServiceShares {
    /// Starts with the current sums.
    pub(super) fn new(now: Instant, sums: &DemandSums) -> ServiceShares {
        let teams = sums.teams.iter().map(|(team, sum)| (*team, Claimant::new(now, *sum)));
        ServiceShares { total: Claimant::new(now, sums.total), teams: teams.collect() }
    }

    /// Records the current sums.
    pub(super) fn note(&mut self, now: Instant, sums: &DemandSums) {
        self.total.note(now, sums.total);
        for team in sums.teams.keys() {
            // A team that is reported now and then only, as one of a sample, would otherwise be overrated.
            let zero = || Claimant::new(now, RateSum::default());
            self.teams.entry(*team).or_insert_with(zero);
        }
        self.teams.retain(|team, claimant| {
            let sum = sums.teams.get(team);
            claimant.note(now, sum.copied().unwrap_or_default());
            sum.is_some() || claimant.attempts.rate() >= KEPT_MIN
        });
    }

    /// Returns the limits of the teams among which `capacity` requests per second are divided; `None` if all fit.
    pub(super) fn limits(
        &mut self,
        service: &ServiceName,
        slots: SlotUsage,
        capacity: f64,
    ) -> Option<ServiceLimits> {
        let deviation = self.total.demand.deviation();
        let margin = match (self.total.is_limited, slots.has_long_queue()) {
            (true, _) => 0.0,
            (false, true) => QUEUED_ONSET_DEVIATIONS * deviation,
            (false, false) => ONSET_DEVIATIONS * deviation,
        };
        self.total.is_limited = self.total.claim() - margin > capacity;
        let claims: Vec<f64> = self.teams.values().map(Claimant::claim).collect();
        let divided = slots.beside_queue(capacity);
        let Some(level) = fair_level(divided, &claims).filter(|_| self.total.is_limited) else {
            self.total.is_limited = false;
            self.teams.values_mut().for_each(|team| team.is_limited = false);
            return None;
        };
        let mut teams = Vec::new();
        for (team, claimant) in &mut self.teams {
            claimant.is_limited = claimant.claim() > level;
            if claimant.is_limited {
                let share = level / claimant.attempts.rate().max(level);
                teams.push((*team, PerMille::of(share)));
            }
        }
        Some(ServiceLimits { service: service.clone(), level: CentiRate::of(level), teams })
    }
}
