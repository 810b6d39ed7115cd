//! Retries within a budget and a deadline.

use std::time::Duration;

/// Most retries saved up by a budget.
const TOKENS_MAX: f64 = 10.0;

/// Retries that a budget holds at the start.
const TOKENS_FIRST: f64 = 1.0;

/// Longest first pause before a retry.
const BACKOFF_FIRST: Duration = Duration::from_millis(20);

/// Longest pause before any retry.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Allows retries as a share of requests, so that an outage is not made worse by them.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Returns a budget of `share` retries for each request.
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget { share, tokens: TOKENS_FIRST }
    }

    /// Sets the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Notes a first attempt.
    pub fn note_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(TOKENS_MAX);
    }

    /// Takes one retry, if the budget has it.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the pause before retry number `retry` (from 0); `unit` is drawn from 0 to 1.
///
/// Full jitter over an exponential range, so that entries that failed together do not try again
/// together.
pub fn backoff(retry: u32, unit: f64) -> Duration {
    let range = BACKOFF_FIRST.saturating_mul(1 << retry.min(10)).min(BACKOFF_MAX);
    range.mul_f64(unit.clamp(0.0, 1.0))
}
