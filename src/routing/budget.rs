//! The retry budget: a bound on repeated arrivals over a window, which all instances share without
//! talking to each other.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Part of the fleet's bound that the instances use together; the rest is for windows that lie otherwise than
/// theirs.
const USED_SHARE: f64 = 0.8;

/// Part of the requests of a window that counts where the window before had none. Such requests may be another
/// instance's that is gone, or this one's before a restart, and its repeats for them may have been spent: with
/// them and these it is one whole budget.
const UNBACKED_SHARE: f64 = 0.2;

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
}

impl RetryBudget {
    /// Returns the budget of an instance that started at `restarted`, or of one that surely never ran before.
    pub fn new(restarted: Option<Instant>) -> RetryBudget {
        RetryBudget { restarted, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Notes a caller's request.
    pub fn request(&mut self, now: Instant, terms: &BudgetTerms) {
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
        let granted = self.has(now, terms, instances, reserve);
        if granted {
            self.repeats.push_back(now);
        }
        granted
    }

    /// Returns whether [`RetryBudget::take`] would grant a repeat.
    pub fn has(
        &mut self,
        now: Instant,
        terms: &BudgetTerms,
        instances: usize,
        reserve: f64,
    ) -> bool {
        let whole = USED_SHARE
            * (terms.ratio * self.backed_requests(now, terms) + self.slack(now, terms, instances));
        forget(&mut self.repeats, now, terms.window);
        self.repeats.len() as f64 + 1.0 <= whole * (1.0 - reserve)
    }

    /// Returns the repeats spent in the window that ends at `now`.
    pub fn spent(&mut self, now: Instant, terms: &BudgetTerms) -> usize {
        forget(&mut self.repeats, now, terms.window);
        self.repeats.len()
    }

    /// Returns the requests of the last window, as far as the window before had as many.
    fn backed_requests(&mut self, now: Instant, terms: &BudgetTerms) -> f64 {
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

fn forget(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|&at| now.saturating_duration_since(at) > window) {
        times.pop_front();
    }
}
