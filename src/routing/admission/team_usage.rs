//! Demand of teams at this instance, for each service.
//!
//! It handles loads in which a few of up to 33,000 teams send many times their usual rate, and callers that send a
//! rejected request again at once.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{
    decayed_rate::DecayedRate,
    rejected_requests::RejectedRequests,
    team_messages::{CentiRate, ServiceDemand, TeamRate},
};
use crate::names::{ServiceName, Tag};

/// Largest number of teams that are tracked for a service, 48 bytes each.
const TRACKED_MAX: usize = 256;

/// Largest number of teams in the report on one service.
const REPORTED_MAX: usize = 32;

/// Smallest number of teams in the report on one service with more teams.
const REPORTED_MIN: usize = 4;

/// Number of teams in the report on all services; a team takes 10 to 12 bytes.
const REPORTED_TOTAL: usize = 64;

/// Rate below which a service or a team counts as unused, in requests per second: 2.7 s after a single request.
const USED_MIN: f64 = 0.01;

#[derive(Debug, Clone, Copy)]
struct Rates {
    demand: DecayedRate,
    attempts: DecayedRate,
}

impl Rates {
    fn new(now: Instant) -> Rates {
        Rates { demand: DecayedRate::new(now), attempts: DecayedRate::new(now) }
    }

    fn note(&mut self, now: Instant, is_retry: bool) {
        self.attempts.note(now);
        if !is_retry {
            self.demand.note(now);
        }
    }

    fn is_used(&self, now: Instant) -> bool {
        self.attempts.rate(now) >= USED_MIN
    }
}

#[derive(Debug)]
struct ServiceUsage {
    total: Rates,
    /// Tracked teams. A new team takes the place and the rates of the one with the lowest rate (Space-Saving), so that
    /// the sum over all tracked teams stays exact and a heavy team is always among them.
    teams: IndexMap<Tag, Rates>,
    rejected: RejectedRequests,
}

impl ServiceUsage {
    fn new(now: Instant) -> ServiceUsage {
        ServiceUsage {
            total: Rates::new(now),
            teams: IndexMap::new(),
            rejected: RejectedRequests::default(),
        }
    }

    fn note(&mut self, now: Instant, team: Tag, is_retry: bool) {
        self.total.note(now, is_retry);
        if !self.teams.contains_key(&team) {
            let inherited = self.make_room(now);
            self.teams.insert(team, inherited.unwrap_or_else(|| Rates::new(now)));
        }
        if let Some(rates) = self.teams.get_mut(&team) {
            rates.note(now, is_retry);
        }
    }

    /// Removes a team if there are as many as are tracked; returns its rates.
    fn make_room(&mut self, now: Instant) -> Option<Rates> {
        if self.teams.len() < TRACKED_MAX {
            return None;
        }
        let rate = |rates: &Rates| rates.attempts.rate(now);
        let by_rate = |a: &(usize, &Rates), b: &(usize, &Rates)| rate(a.1).total_cmp(&rate(b.1));
        let (least, _) = self.teams.values().enumerate().min_by(by_rate)?;
        self.teams.swap_remove_index(least).map(|(_, rates)| rates)
    }
}

/// Demand of teams at this instance.
#[derive(Debug, Default)]
pub struct TeamUsage {
    services: IndexMap<ServiceName, ServiceUsage>,
}

impl TeamUsage {
    /// Records a caller's request. `key` is the same when the caller sends the request again.
    pub fn note_request(
        &mut self,
        now: Instant,
        service: &ServiceName,
        team: Tag,
        key: impl FnOnce() -> u64,
    ) {
        let usage = self.services.entry(service.clone()).or_insert_with(|| ServiceUsage::new(now));
        let is_retry = !usage.rejected.is_empty() && usage.rejected.note_arrival(now, key());
        usage.note(now, team, is_retry);
    }

    /// Records that a request was rejected, so that its caller may send it again.
    pub fn note_rejection(&mut self, now: Instant, service: &ServiceName, key: u64) {
        if let Some(usage) = self.services.get_mut(service) {
            usage.rejected.note_rejection(now, key);
        }
    }

    /// Returns the demand of each service in use. `draw` is a random number in [0, 1) and `slot_time` returns the mean
    /// time that a request of a service occupies a slot.
    ///
    /// If there are more teams than a report may have, the heaviest are reported as they are, and of the others a
    /// sample with the same sum. Over many reports each team is thus reported with its own rate on average, also where
    /// all teams are about equal.
    pub fn report(
        &mut self,
        now: Instant,
        draw: f64,
        slot_time: impl Fn(&ServiceName) -> Option<Duration>,
    ) -> Vec<ServiceDemand> {
        for usage in self.services.values_mut() {
            usage.rejected.prune(now);
            usage.teams.retain(|_, rates| rates.is_used(now));
        }
        self.services.retain(|_, usage| usage.total.is_used(now));
        let size = (REPORTED_TOTAL / self.services.len().max(1)).clamp(REPORTED_MIN, REPORTED_MAX);
        let report = |(service, usage): (&ServiceName, &ServiceUsage)| ServiceDemand {
            service: service.clone(),
            demand: CentiRate::of(usage.total.demand.rate(now)),
            attempts: CentiRate::of(usage.total.attempts.rate(now)),
            slot_time_us: slot_time(service).map_or(0, |time| time.as_micros() as u32),
            teams: sample(now, draw, &usage.teams, size),
        };
        self.services.iter().map(report).collect()
    }
}

/// Returns `size` of the teams: the heaviest, and of the others a systematic sample in which each has a chance in
/// proportion to its rate, and is reported with the rate that it then stands for.
fn sample(now: Instant, draw: f64, teams: &IndexMap<Tag, Rates>, size: usize) -> Vec<TeamRate> {
    let mut rates: Vec<(Tag, f64, f64)> = teams
        .iter()
        .map(|(tag, rates)| (*tag, rates.demand.rate(now), rates.attempts.rate(now)))
        .collect();
    rates.sort_by(|a, b| b.2.total_cmp(&a.2));
    let mut rest: f64 = rates.iter().map(|(_, _, attempts)| attempts).sum();
    let mut whole = 0;
    // The threshold at or above which teams are reported as they are.
    let mut threshold = 0.0;
    if rates.len() > size {
        threshold = rest / size as f64;
        while rates[whole].2 >= threshold && whole + 1 < size {
            rest -= rates[whole].2;
            whole += 1;
            threshold = rest / (size - whole) as f64;
        }
    }
    let mut position = draw * threshold;
    let mut sampled = Vec::with_capacity(size.min(rates.len()));
    for (at, (team, demand, attempts)) in rates.into_iter().enumerate() {
        let is_whole = at < whole || threshold == 0.0;
        let scale = if is_whole { 1.0 } else { threshold / attempts };
        if !is_whole {
            position += attempts;
            if position < threshold {
                continue;
            }
            position -= threshold;
        }
        sampled.push(TeamRate {
            team,
            demand: CentiRate::of(demand * scale),
            attempts: CentiRate::of(attempts * scale),
        });
    }
    sampled
}
