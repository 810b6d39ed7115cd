//! The retry budget: a bound on repeated arrivals over a window, which all instances share. Each draws on what
//! the fleet has left where it is told so (`fleet_budget`), else on a part of its own.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{BudgetSum, FleetSpentReport, RetrySpending};
use crate::names::ServiceName;

/// Part of the fleet's bound that the instances use together; the rest is for windows that lie otherwise than
/// theirs.
const USED_SHARE: f64 = 0.8;

/// Part of the requests of a window that counts where the window before had none. Such requests may be another
/// instance's that is gone, or this one's before a restart, and its repeats for them may have been spent: with
/// them and these it is one whole budget.
const UNBACKED_SHARE: f64 = 0.2;

/// Age up to which what the fleet has spent is believed: a few exchanges.
const SUM_LIFE: Duration = Duration::from_millis(2000);

/// Age up to which an instance passes on what it was told: the one that collected is found to be gone, and the next
/// one asked, within two exchanges and some calls that nobody answers.
const TOLD_LIFE: Duration = Duration::from_millis(4000);

/// Part of what the fleet has left that all instances together may spend until they are told again: sums are up to
/// three exchanges old, in which as much may have been spent each time.
const LEFT_SHARE: f64 = 0.25;

/// The same for the first repeat of each instance: few ask at the same time. With half of it 32 in 100 repeats are
/// denied where less than all is spent (simulated, 295 instances, a seventh of the requests fails, many restart).
const LEFT_SHARE_FIRST: f64 = 1.0;

/// What a budget allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Repeats for each request in the window.
    pub ratio: f64,
    /// Repeats beyond that for the whole fleet.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Counts requests and repeats of one service at this instance.
#[derive(Debug)]
pub struct RetryBudget {
    /// When the instance started, if it may have run before: what it spent then is not known.
    restarted: Option<Instant>,
    /// Requests of the last two windows.
    requests: VecDeque<Instant>,
    /// Repeats of the last window.
    repeats: VecDeque<Instant>,
    /// Repeats since the start.
    total: u64,
    sum: Option<ToldSum>,
}

/// What the fleet had spent when it was told.
#[derive(Debug, Clone)]
struct ToldSum {
    sum: BudgetSum,
    at: Instant,
    /// Another number in [0, 1) each time, so that a part of a repeat is a whole one at that part of the instances.
    phase: f64,
    /// Repeats since then.
    since: u32,
}

impl RetryBudget {
    /// Returns the budget of an instance that started at `restarted`, or of one that surely never ran before.
    pub fn new(restarted: Option<Instant>) -> RetryBudget {
        RetryBudget {
            restarted,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
            total: 0,
            sum: None,
        }
    }

    /// Notes a caller's request.
    pub fn record_request(&mut self, now: Instant, terms: &BudgetTerms) {
        self.requests.push_back(now);
        forget(&mut self.requests, now, terms.window * 2);
    }

    /// Takes one repeat if this instance's part of the budget has it.
    ///
    /// `instances` is how many share the slack; `reserve` is the part of the budget, from 0 to 1,
    /// that must stay for more important repeats.
    pub fn take(
        &mut self,
        now: Instant,
        terms: &BudgetTerms,
        instances: usize,
        reserve: f64,
    ) -> bool {
        let granted = self.allows(now, terms, instances, reserve);
        if granted {
            self.repeats.push_back(now);
            self.total += 1;
            if let Some(told) = &mut self.sum {
                told.since += 1;
            }
        }
        granted
    }

    /// Returns whether [`RetryBudget::take`] would grant a repeat.
    pub fn allows(
        &mut self,
        now: Instant,
        terms: &BudgetTerms,
        instances: usize,
        reserve: f64,
    ) -> bool {
        if let Some(told) = &self.sum
            && now.saturating_duration_since(told.at) < SUM_LIFE
        {
            return told.allows(terms, instances, reserve);
        }
        let whole = USED_SHARE
            * (terms.ratio * self.sustained_requests(now, terms)
                + self.slack(now, terms, instances));
        forget(&mut self.repeats, now, terms.window);
        self.repeats.len() as f64 + 1.0 <= whole * (1.0 - reserve)
    }

    /// Takes what all instances have spent; `phase` in [0, 1) is another number each time.
    pub fn set_fleet_sum(&mut self, now: Instant, sum: BudgetSum, phase: f64) {
        self.sum = Some(ToldSum { sum, at: now, phase, since: 0 });
    }

    /// Returns what this instance has spent at `service`, for the sums.
    pub fn spending(
        &mut self,
        now: Instant,
        terms: &BudgetTerms,
        service: &ServiceName,
    ) -> RetrySpending {
        let recent = u32::try_from(self.spent(now, terms)).unwrap_or(u32::MAX);
        let lately = |told: &&ToldSum| now.saturating_duration_since(told.at) < TOLD_LIFE;
        let told = self.sum.as_ref().filter(lately).cloned();
        RetrySpending {
            service: service.clone(),
            total: self.total,
            uncounted: told.as_ref().map_or(recent, |told| told.since),
            fleet_spent: told.map(|told| FleetSpentReport {
                aggregator: told.sum.aggregator,
                spent: told.sum.spent,
            }),
            sustained: self.sustained_requests(now, terms),
        }
    }

    /// Returns the repeats spent in the window that ends at `now`.
    pub fn spent(&mut self, now: Instant, terms: &BudgetTerms) -> usize {
        forget(&mut self.repeats, now, terms.window);
        self.repeats.len()
    }

    /// Returns the requests of the last window, as far as the window before had as many.
    fn sustained_requests(&mut self, now: Instant, terms: &BudgetTerms) -> f64 {
        forget(&mut self.requests, now, terms.window * 2);
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > terms.window;
        let before = self.requests.partition_point(is_old);
        let recent = self.requests.len() - before;
        (before as f64).clamp(UNBACKED_SHARE * recent as f64, recent as f64)
    }

    /// Returns this instance's part of the slack. After a restart it has none for a window: what was spent before
    /// is not known, nor may be how many instances there are.
    fn slack(&self, now: Instant, terms: &BudgetTerms, instances: usize) -> f64 {
        let unknown = |at: Instant| now.saturating_duration_since(at) < terms.window;
        if self.restarted.is_some_and(unknown) {
            return 0.0;
        }
        terms.slack / instances.max(1) as f64
    }
}

impl ToldSum {
    /// Returns whether what the fleet has left has one more repeat for this instance.
    fn allows(&self, terms: &BudgetTerms, instances: usize, reserve: f64) -> bool {
        let reporters = self.sum.reporters.max(1) as f64;
        // Where some turn to another instance, these have a part of the slack only.
        let slack = terms.slack * (reporters / instances.max(1) as f64).min(1.0);
        let whole = USED_SHARE * (terms.ratio * self.sum.sustained + slack) * (1.0 - reserve);
        let left = (whole - f64::from(self.sum.spent)).max(0.0);
        let each = left / reporters;
        let part = (each * LEFT_SHARE).max((each * LEFT_SHARE_FIRST).min(1.0));
        f64::from(self.since + 1) <= part + self.phase
    }
}

fn forget(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|&at| now.saturating_duration_since(at) > window) {
        times.pop_front();
    }
}
