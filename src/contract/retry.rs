//! Limits retries: a budget and the backoff between them.

use std::time::Duration;

/// Most retries that a budget accumulates.
const TOKENS_MAX: f64 = 10.0;

/// Retries that a new budget allows.
const TOKENS_FIRST: f64 = 1.0;

/// Longest pause before the first retry; doubles with each further retry.
const BACKOFF_FIRST: Duration = Duration::from_millis(20);

/// Longest pause before any retry.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Limits retries to a share of the requests, so that retries don't make an outage worse.
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

    /// Sets the retries allowed for each request.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Notes a request's first attempt.
    pub fn note_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(TOKENS_MAX);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the pause before retry number `retry` (from 0); `random` is a random number from 0 to 1.
///
/// Full jitter over an exponential range, so that entries whose requests failed at the same time don't retry at the
/// same time.
pub fn backoff(retry: u32, random: f64) -> Duration {
    let range = BACKOFF_FIRST.saturating_mul(1 << retry.min(10)).min(BACKOFF_MAX);
    range.mul_f64(random.clamp(0.0, 1.0))
}
