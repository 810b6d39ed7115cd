//! This instance's share of the calls that the platform's store accepts from all instances together.

use std::time::{Duration, Instant};

use crate::{contract::token_bucket::TokenBucket, units::Rate};

/// Share of the store's rate limits that all instances use together; the rest is for instances that do not know each
/// other yet.
const USED_SHARE: f64 = 0.8;

/// Fraction of the used share that is for instances that read on behalf of others. If all instances shared it, reading
/// a list of many pages would take longer the larger the fleet is.
const READERS_FRACTION: f64 = 0.25;

/// Largest number of instances that read on behalf of others at once: the aggregator, its fallback reader, and the
/// successors of both.
const READERS_MAX: f64 = 4.0;

/// Lowest rate of one instance, in calls a second, however many instances there are: it suffices to read the server
/// list and the intent, a few pages each, within the operator's bounds.
const RATE_MIN: f64 = 4.0;

/// Kinds of calls that the store limits separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Changes nothing.
    Read,
    /// May change rows.
    Write,
}

/// Calls a second that the store accepts from all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreRates {
    /// Reads.
    pub reads: Rate,
    /// Writes.
    pub writes: Rate,
}

/// Rate limits of one instance.
#[derive(Debug)]
pub struct StoreShare {
    rates: StoreRates,
    reads: TokenBucket,
    writes: TokenBucket,
    instances: usize,
    reads_for_others: bool,
}

impl StoreShare {
    /// Returns the share of an instance that knows no other instance.
    pub fn new(rates: StoreRates, now: Instant) -> StoreShare {
        let bucket = |rate| TokenBucket::new(share_of(rate, 1), now);
        let (reads, writes) = (bucket(rates.reads), bucket(rates.writes));
        StoreShare { rates, reads, writes, instances: 1, reads_for_others: false }
    }

    /// Sets how many instances share the store.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
        self.set_reads();
        self.writes.set_rate(share_of(self.rates.writes, instances));
    }

    /// Sets whether this instance reads on behalf of others.
    pub fn set_reads_for_others(&mut self, reads_for_others: bool) {
        if self.reads_for_others != reads_for_others {
            self.reads_for_others = reads_for_others;
            self.set_reads();
        }
    }

    fn set_reads(&mut self) {
        let rate = self.rates.reads.0;
        let own = share_of(Rate(rate * (1.0 - READERS_FRACTION)), self.instances);
        let for_others = Rate(rate * USED_SHARE * READERS_FRACTION / READERS_MAX);
        let rate = if self.reads_for_others { for_others.0.max(own.0) } else { own.0 };
        self.reads.set_rate(Rate(rate));
    }

    /// Takes one call from the rate limit.
    ///
    /// # Errors
    ///
    /// The time until the next call is allowed.
    pub fn take(&mut self, now: Instant, kind: CallKind) -> Result<(), Duration> {
        match kind {
            CallKind::Read => self.reads.take(now),
            CallKind::Write => self.writes.take(now),
        }
    }
}

fn share_of(rate: Rate, instances: usize) -> Rate {
    Rate((rate.0 * USED_SHARE / instances.max(1) as f64).max(RATE_MIN))
}
