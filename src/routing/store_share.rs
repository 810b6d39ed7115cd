//! This instance's part of the calls that the platform's store takes from all instances together.

use std::time::{Duration, Instant};

use crate::{contract::token_bucket::TokenBucket, units::Rate};

/// Part of the store's rates that all instances use together; the rest is for instances that do
/// not know each other yet.
const USED_SHARE: f64 = 0.8;

/// Least calls a second of one instance, however many there are: it reads the servers' list and the
/// intent within the operator's bounds, in a few pages each.
const LEAST: f64 = 4.0;

/// Calls that the store limits separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Changes nothing.
    Read,
    /// May change rows.
    Write,
}

/// Calls a second that the store takes from all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreRates {
    /// Reads.
    pub reads: Rate,
    /// Writes.
    pub writes: Rate,
}

/// What one instance may call.
#[derive(Debug)]
pub struct StoreShare {
    rates: StoreRates,
    reads: TokenBucket,
    writes: TokenBucket,
}

impl StoreShare {
    /// Returns the share of an instance that knows no other one.
    pub fn new(rates: StoreRates, now: Instant) -> StoreShare {
        let bucket = |rate| TokenBucket::new(part(rate, 1), now);
        StoreShare { rates, reads: bucket(rates.reads), writes: bucket(rates.writes) }
    }

    /// Sets how many instances share the store.
    pub fn set_instances(&mut self, instances: usize) {
        self.reads.set_rate(part(self.rates.reads, instances));
        self.writes.set_rate(part(self.rates.writes, instances));
    }

    /// Takes one call, or says how long until there is one.
    ///
    /// # Errors
    ///
    /// The time to wait.
    pub fn take(&mut self, now: Instant, kind: CallKind) -> Result<(), Duration> {
        match kind {
            CallKind::Read => self.reads.take(now),
            CallKind::Write => self.writes.take(now),
        }
    }
}

fn part(rate: Rate, instances: usize) -> Rate {
    Rate((rate.0 * USED_SHARE / instances.max(1) as f64).max(LEAST))
}
