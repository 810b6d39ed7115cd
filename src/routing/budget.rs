//! The retry budget: a bound on the retries of a service over a window, shared by all instances.
//!
//! An instance draws on what remains of the fleet's budget while it receives sums of what all have spent
//! (`fleet_budget`), and on a fixed share of its own otherwise.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{BudgetSum, FleetSpentReport, RetrySpending};
use crate::names::ServiceName;

/// Share of the fleet's bound that the instances spend together; the rest covers windows that do not coincide
/// with theirs.
const USED_SHARE: f64 = 0.8;

/// Share of the requests of a window that counts if the window before had none. Such requests may have moved here
/// from an instance that stopped, or may follow a restart of this one, and the retries for them may already have been
/// spent; together with the former requests they are worth one whole budget.
const UNSUSTAINED_SHARE: f64 = 0.2;

/// Age up to which a fleet sum is used: a few exchanges.
const SUM_MAX_AGE: Duration = Duration::from_millis(2000);

/// Age up to which an instance reports a fleet sum to the next aggregator. A failed aggregator is detected and the next
/// one contacted within two exchanges and some calls that time out.
const RELAYED_SUM_MAX_AGE: Duration = Duration::from_millis(4000);

/// Share of the fleet's remaining budget that all instances together may spend until they receive the next sum.
/// Sums are up to three exchanges old, and each of these may have spent as much.
const REMAINING_SHARE: f64 = 0.25;

/// The same for the first retry of each instance, since few instances need one at the same time. With half of it, 32 %
/// of the retries are denied although the fleet has budget left (simulated: 295 instances, a seventh of the
/// requests fails, many instances restart).
const REMAINING_SHARE_FIRST: f64 = 1.0;

/// The operator's limits on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Retries for each request in the window.
    pub ratio: f64,
    /// Further retries, for the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts the requests and retries of one service at this instance.
#[derive(Debug)]
pub struct RetryBudget {
    /// When the instance started, if it may have run before: what it had spent by then is unknown.
    restarted: Option<Instant>,
    /// Requests of the last two windows.
    requests: VecDeque<Instant>,
    /// Retries of the last window.
    retries: VecDeque<Instant>,
    /// Retries since the start.
    total: u64,
    sum: Option<FleetSum>,
}

/// What the fleet had spent, as received from the aggregator.
#[derive(Debug, Clone)]
struct FleetSum {
    sum: BudgetSum,
    received_at: Instant,
    /// Random number in [0, 1), drawn for each sum: a fraction of a retry is a whole one at that fraction of the
    /// instances.
    phase: f64,
    /// Retries since then.
    since: u32,
}

impl RetryBudget {
    /// Returns the budget of an instance that started at `restarted`; `None` if it certainly never ran before.
    pub fn new(restarted: Option<Instant>) -> RetryBudget {
        RetryBudget {
            restarted,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            total: 0,
            sum: None,
        }
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Instant, terms: &BudgetTerms) {
        self.requests.push_back(now);
        expire(&mut self.requests, now, terms.window * 2);
    }

    /// Takes one retry if this instance's part of the budget allows it.
    ///
    /// `instances` is how many share the slack; `reserve` is the fraction of the budget, from 0 to 1, that is kept
    /// for more important retries.
    pub fn take(
        &mut self,
        now: Instant,
        terms: &BudgetTerms,
        instances: usize,
        reserve: f64,
    ) -> bool {
        let granted = self.allows(now, terms, instances, reserve);
        if granted {
            self.retries.push_back(now);
            self.total += 1;
            if let Some(fleet) = &mut self.sum {
                fleet.since += 1;
            }
        }
        granted
    }

    /// Returns whether [`RetryBudget::take`] would grant a retry.
    pub fn allows(
        &mut self,
        now: Instant,
        terms: &BudgetTerms,
        instances: usize,
        reserve: f64,
    ) -> bool {
        if let Some(fleet) = &self.sum
            && now.saturating_duration_since(fleet.received_at) < SUM_MAX_AGE
        {
            return fleet.allows(terms, instances, reserve);
        }
        let share = USED_SHARE
            * (terms.ratio * self.sustained_requests(now, terms)
                + self.slack(now, terms, instances));
        expire(&mut self.retries, now, terms.window);
        self.retries.len() as f64 + 1.0 <= share * (1.0 - reserve)
    }

    /// Sets what all instances have spent; `phase` is a random number in [0, 1), drawn for each sum.
    pub fn set_fleet_sum(&mut self, now: Instant, sum: BudgetSum, phase: f64) {
        self.sum = Some(FleetSum { sum, received_at: now, phase, since: 0 });
    }

    /// Returns what this instance has spent at `service`, as reported to the aggregator.
    pub fn spending(
        &mut self,
        now: Instant,
        terms: &BudgetTerms,
        service: &ServiceName,
    ) -> RetrySpending {
        let recent = u32::try_from(self.spent(now, terms)).unwrap_or(u32::MAX);
        let is_recent = |fleet: &&FleetSum| {
            now.saturating_duration_since(fleet.received_at) < RELAYED_SUM_MAX_AGE
        };
        let fleet = self.sum.as_ref().filter(is_recent).cloned();
        RetrySpending {
            service: service.clone(),
            total: self.total,
            uncounted: fleet.as_ref().map_or(recent, |fleet| fleet.since),
            fleet_spent: fleet.map(|fleet| FleetSpentReport {
                aggregator: fleet.sum.aggregator,
                spent: fleet.sum.spent,
            }),
            sustained: self.sustained_requests(now, terms),
        }
    }

    /// Returns the number of retries in the window that ends at `now`.
    pub fn spent(&mut self, now: Instant, terms: &BudgetTerms) -> usize {
        expire(&mut self.retries, now, terms.window);
        self.retries.len()
    }

    /// Returns the requests of the last window, capped at those of the window before.
    fn sustained_requests(&mut self, now: Instant, terms: &BudgetTerms) -> f64 {
        expire(&mut self.requests, now, terms.window * 2);
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > terms.window;
        let before = self.requests.partition_point(is_old);
        let recent = self.requests.len() - before;
        (before as f64).clamp(UNSUSTAINED_SHARE * recent as f64, recent as f64)
    }

    /// Returns this instance's part of the slack. For one window after a restart it is zero: what was spent before is
    /// unknown, and the number of instances may be too.
    fn slack(&self, now: Instant, terms: &BudgetTerms, instances: usize) -> f64 {
        let within_window = |at: Instant| now.saturating_duration_since(at) < terms.window;
        if self.restarted.is_some_and(within_window) {
            return 0.0;
        }
        terms.slack / instances.max(1) as f64
    }
}

impl FleetSum {
    /// Returns whether the fleet's remaining budget allows this instance one more retry.
    fn allows(&self, terms: &BudgetTerms, instances: usize, reserve: f64) -> bool {
        let reporters = self.sum.reporters.max(1) as f64;
        // If some instances report to another aggregator, those in this sum share only a part of the slack.
        let slack = terms.slack * (reporters / instances.max(1) as f64).min(1.0);
        let budget = USED_SHARE * (terms.ratio * self.sum.sustained + slack) * (1.0 - reserve);
        let remaining = (budget - f64::from(self.sum.spent)).max(0.0);
        let each = remaining / reporters;
        let allotted = (each * REMAINING_SHARE).max((each * REMAINING_SHARE_FIRST).min(1.0));
        f64::from(self.since + 1) <= allotted + self.phase
    }
}

fn expire(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|&at| now.saturating_duration_since(at) > window) {
        times.pop_front();
    }
}
