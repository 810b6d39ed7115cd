//! Sums of the instances' current reports on one service, which the aggregator keeps.
//!
//! They are updated with each report: to sum up all reports for each reply would take the aggregator of 986 instances
//! over a tenth of a processor core. Integers leave no remainder when a report is replaced.

use indexmap::IndexMap;

use super::team_messages::{CentiRate, ServiceDemand};
use crate::names::Tag;

/// Sum of rates, in hundredths of a request per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct RateSum {
    demand: i64,
    attempts: i64,
}

impl RateSum {
    fn add(&mut self, sign: i64, demand: CentiRate, attempts: CentiRate) {
        self.demand += sign * i64::from(demand.0);
        self.attempts += sign * i64::from(attempts.0);
    }

    /// Returns the demand, in requests per second.
    pub(super) fn demand(self) -> f64 {
        self.demand as f64 / 100.0
    }

    /// Returns all requests, per second.
    pub(super) fn attempts(self) -> f64 {
        self.attempts as f64 / 100.0
    }
}

/// Sums of the current reports on one service.
#[derive(Debug, Default)]
pub(super) struct DemandSums {
    /// Requests of all teams.
    pub(super) total: RateSum,
    /// Requests by team.
    pub(super) teams: IndexMap<Tag, RateSum>,
    /// Sum of the slot times, each weighted by the attempts of its instance, and the sum of the weights.
    slot_time: (i128, i64),
    reports: usize,
}

impl DemandSums {
    /// Adds a report.
    pub(super) fn add(&mut self, report: &ServiceDemand) {
        self.reports += 1;
        self.apply(1, report);
    }

    /// Removes a report that was added before.
    pub(super) fn remove(&mut self, report: &ServiceDemand) {
        self.reports -= 1;
        self.apply(-1, report);
    }

    fn apply(&mut self, sign: i64, report: &ServiceDemand) {
        self.total.add(sign, report.demand, report.attempts);
        for rate in &report.teams {
            let sum = self.teams.entry(rate.team).or_default();
            sum.add(sign, rate.demand, rate.attempts);
            if *sum == RateSum::default() {
                self.teams.swap_remove(&rate.team);
            }
        }
        if report.slot_time_us > 0 {
            let weight = sign * i64::from(report.attempts.0);
            self.slot_time.0 += i128::from(report.slot_time_us) * i128::from(weight);
            self.slot_time.1 += weight;
        }
    }

    /// Returns whether no report is left.
    pub(super) fn is_empty(&self) -> bool {
        self.reports == 0
    }

    /// Returns the mean slot time that the instances have measured, in seconds.
    pub(super) fn slot_time(&self) -> Option<f64> {
        let (sum_us, weights) = self.slot_time;
        (sum_us > 0).then(|| sum_us as f64 / 1e6 / weights as f64)
    }
}
