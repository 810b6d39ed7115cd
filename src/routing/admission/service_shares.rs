//! Division of the capacity of one service among its teams.

use std::time::Instant;

use indexmap::IndexMap;

use super::{
    demand_sums::{DemandSums, RateSum},
    fair_level,
    smoothed_rate::SmoothedRate,
    team_messages::{CentiRate, PerMille, ServiceLimits},
};
use crate::names::{ServiceName, Tag};

/// Share of a service's capacity that is divided among teams. Admission control keeps slots taken between 0.85 and 1.05,
/// and above this share waits grow without gain.
const DIVIDED_SHARE: f64 = 0.95;

/// Number of standard deviations by which demand must exceed capacity before teams are limited, so that random bursts
/// below capacity limit nobody.
const ONSET_DEVIATIONS: f64 = 5.0;

/// Rate below which a team that is not reported any more is forgotten, in requests per second.
const KEPT_MIN: f64 = 0.05;

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

    /// Returns the limits of the teams where `capacity` is available, in requests per second; `None` if all demand fits.
    pub(super) fn limits(&mut self, service: &ServiceName, capacity: f64) -> Option<ServiceLimits> {
        let divided = capacity * DIVIDED_SHARE;
        let deviation = self.total.demand.deviation();
        let margin = if self.total.is_limited { 0.0 } else { ONSET_DEVIATIONS * deviation };
        self.total.is_limited = self.total.claim() - margin > divided;
        let claims: Vec<f64> = self.teams.values().map(Claimant::claim).collect();
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
