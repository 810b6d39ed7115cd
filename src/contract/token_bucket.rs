//! A token bucket whose time is passed in by the caller.

use std::time::{Duration, Instant};

use crate::units::{BoundedTime, Rate};

/// Tokens that accumulate at a rate, up to a capacity.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: Rate,
    capacity: f64,
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Returns a full bucket that holds one second's tokens, at least one.
    pub fn new(rate: Rate, now: Instant) -> TokenBucket {
        let capacity = rate.0.max(1.0);
        TokenBucket { rate, capacity, tokens: capacity, updated_at: now }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// The bucket is empty; the value is the time until the next token.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate.0).min(self.capacity);
        self.updated_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(BoundedTime::from_secs((1.0 - self.tokens) / self.rate.0).get())
    }

    /// Changes the rate; tokens in the bucket stay, up to the new capacity.
    pub fn set_rate(&mut self, rate: Rate) {
        self.rate = rate;
        self.capacity = rate.0.max(1.0);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Returns whether the bucket would be full at `now`.
    pub fn is_full(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.tokens + elapsed * self.rate.0 >= self.capacity
    }
}
