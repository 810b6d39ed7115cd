//! The retry budget of the whole fleet, as the aggregator sums it up.
//!
//! In a fleet in which each instance serves few requests, fixed shares of the budget are useless: after a start, 295
//! instances with 1.5 requests a second each have a share of less than one retry and spend none, while the fleet
//! requests a fifth of what it may spend. Where sums are received, an instance draws on what remains of the fleet's
//! budget instead. A sum survives the instances that spent, since reported retries count for a whole window even if
//! the instance is killed meanwhile. It also survives the aggregator, since the other instances report the sum that
//! they received last to the next aggregator.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{NodeName, ServiceName};

/// Age at which the report of an instance expires: the instance has missed several exchanges.
const REPORT_MAX_AGE: Duration = Duration::from_millis(2500);

/// One run of an instance's process; counters start at zero in each run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(pub u64);

/// What an instance has spent of the budget of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RetrySpending {
    /// The service.
    pub service: ServiceName,
    /// Retries since the start of the instance.
    pub total: u64,
    /// Retries that no fleet sum counts yet: those since the last sum was received, or, without a recent sum, those of
    /// the last window.
    pub uncounted: u32,
    /// The last fleet sum that the instance received, if that is recent.
    pub fleet_spent: Option<FleetSpentReport>,
    /// Requests of the last window, capped at those of the window before.
    pub sustained: f64,
}

/// What the whole fleet had spent, as an instance received it from an aggregator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSpentReport {
    /// Run of the aggregator that sent it.
    pub aggregator: RunId,
    /// Retries in the window of that aggregator.
    pub spent: u32,
}

/// What all instances have spent of the budget of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BudgetSum {
    /// The service.
    pub service: ServiceName,
    /// Retries of the last window.
    pub spent: u32,
    /// Requests of the last window, capped at those of the window before.
    pub sustained: f64,
    /// Number of instances whose reports it includes.
    pub reporters: usize,
    /// Run of the aggregator that summed the reports up.
    pub aggregator: RunId,
}

#[derive(Debug)]
struct Reporter {
    at: Instant,
    run: RunId,
    services: IndexMap<ServiceName, RetrySpending>,
}

/// The reports of all instances for which this one is the aggregator.
#[derive(Debug)]
pub struct FleetBudget {
    own: RunId,
    window: Duration,
    /// Start of the current uninterrupted sequence of reports; earlier retries are unknown.
    since: Option<Instant>,
    last: Option<Instant>,
    reporters: IndexMap<NodeName, Reporter>,
    spent: IndexMap<ServiceName, VecDeque<(Instant, u32)>>,
    /// What all instances had spent before they reported here, according to the sums that they received from the
    /// former aggregator, and when this was reported.
    spent_before: IndexMap<ServiceName, (Instant, u32)>,
}

impl FleetBudget {
    /// Returns the sums of an instance without reports, for a budget with windows of that length.
    pub fn new(own: RunId, window: Duration) -> FleetBudget {
        FleetBudget {
            own,
            window,
            since: None,
            last: None,
            reporters: IndexMap::new(),
            spent: IndexMap::new(),
            spent_before: IndexMap::new(),
        }
    }

    /// Records the report of an instance.
    pub fn record_report(
        &mut self,
        now: Instant,
        node: &NodeName,
        run: RunId,
        spending: Vec<RetrySpending>,
    ) {
        let pause = self.last.map(|last| now.saturating_duration_since(last));
        if pause.is_none_or(|pause| pause > REPORT_MAX_AGE) {
            self.since = Some(now);
            self.spent_before.clear();
        }
        self.last = Some(now);
        let is_new = self.reporters.get(node).is_none_or(|known| known.run != run);
        if is_new {
            spending.iter().for_each(|report| self.record_fleet_spent(now, report));
        }
        let known = self.reporters.get(node).filter(|known| known.run == run);
        for report in &spending {
            let before = known.and_then(|known| known.services.get(&report.service));
            let added = match before {
                Some(before) => report.total.saturating_sub(before.total),
                // Retries before its first report here count unless another aggregator's sum includes them.
                None => u64::from(report.uncounted),
            };
            if added > 0 {
                let count = u32::try_from(added).unwrap_or(u32::MAX);
                self.spent.entry(report.service.clone()).or_default().push_back((now, count));
            }
        }
        let services =
            spending.into_iter().map(|report| (report.service.clone(), report)).collect();
        self.reporters.insert(node.clone(), Reporter { at: now, run, services });
    }

    /// Records the fleet sum that an instance received from the former aggregator; the largest such sum counts.
    fn record_fleet_spent(&mut self, now: Instant, report: &RetrySpending) {
        // Sums of this aggregator itself contain nothing new.
        let Some(received) = report.fleet_spent.filter(|received| received.aggregator != self.own)
        else {
            return;
        };
        let former = self.spent_before.get(&report.service).copied();
        let in_window =
            |(at, _): &(Instant, u32)| now.saturating_duration_since(*at) <= self.window;
        let known = former.filter(in_window).map_or(0, |(_, spent)| spent);
        let added = received.spent.saturating_sub(known);
        self.spent_before.insert(report.service.clone(), (now, received.spent.max(known)));
        if added > 0 {
            self.spent.entry(report.service.clone()).or_default().push_back((now, added));
        }
    }

    /// Returns whether reports have arrived for a whole window.
    fn covers_window(&self, now: Instant) -> bool {
        self.since.is_some_and(|since| now.saturating_duration_since(since) > self.window)
    }

    /// Returns what all instances have spent. A service is left out until reports cover a whole window, or an instance
    /// has reported what was spent before.
    pub fn sums(&mut self, now: Instant) -> Vec<BudgetSum> {
        let window = self.window;
        let is_old = |at: Instant, max_age: Duration| now.saturating_duration_since(at) > max_age;
        self.reporters.retain(|_, reporter| !is_old(reporter.at, window));
        for spent in self.spent.values_mut() {
            while spent.front().is_some_and(|(at, _)| is_old(*at, window)) {
                spent.pop_front();
            }
        }
        let recent =
            || self.reporters.values().filter(|reporter| !is_old(reporter.at, REPORT_MAX_AGE));
        let reporters = recent().count();
        let mut sustained: IndexMap<&ServiceName, f64> = IndexMap::new();
        for report in recent().flat_map(|reporter| reporter.services.values()) {
            *sustained.entry(&report.service).or_default() += report.sustained;
        }
        let spent = |service: &ServiceName| {
            let spent = self.spent.get(service).into_iter().flatten();
            spent.fold(0, |sum: u32, (_, count)| sum.saturating_add(*count))
        };
        let sum = |(service, sustained): (&ServiceName, f64)| BudgetSum {
            service: service.clone(),
            spent: spent(service),
            sustained,
            reporters,
            aggregator: self.own,
        };
        let is_known = |service: &ServiceName| {
            self.covers_window(now) || self.spent_before.contains_key(service)
        };
        sustained.into_iter().filter(|(service, _)| is_known(service)).map(sum).collect()
    }
}
