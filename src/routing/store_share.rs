//! This instance's part of the calls that the platform's store takes from all instances together.

use std::time::{Duration, Instant};

use crate::{contract::token_bucket::TokenBucket, units::Rate};

/// Part of the store's rates that all instances use together; the rest is for instances that do
/// not know each other yet.
const USED_SHARE: f64 = 0.8;

/// Part of what they use that is for those which read for others, and how many of these there may be at once: the one that all
/// turn to, one that reads for it, and their successors. Divided among all, a list of many pages would take the longer the
/// larger the fleet is.
const READERS: (f64, f64) = (0.25, 4.0);

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
    instances: usize,
    reads_for_others: bool,
}

impl StoreShare {
    /// Returns the share of an instance that knows no other one.
    pub fn new(rates: StoreRates, now: Instant) -> StoreShare {
        let bucket = |rate| TokenBucket::new(part(rate, 1), now);
        let (reads, writes) = (bucket(rates.reads), bucket(rates.writes));
        StoreShare { rates, reads, writes, instances: 1, reads_for_others: false }
    }

    /// Sets how many instances share the store.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
        self.set_reads();
        self.writes.set_rate(part(self.rates.writes, instances));
    }

    /// Sets whether others have this instance read for them.
    pub fn set_reads_for_others(&mut self, reads_for_others: bool) {
        if self.reads_for_others != reads_for_others {
            self.reads_for_others = reads_for_others;
            self.set_reads();
        }
    }

    fn set_reads(&mut self) {
        let (part_of_readers, readers) = READERS;
        let rate = self.rates.reads.0;
        let own = part(Rate(rate * (1.0 - part_of_readers)), self.instances);
        let for_others = Rate(rate * USED_SHARE * part_of_readers / readers);
        let rate = if self.reads_for_others { for_others.0.max(own.0) } else { own.0 };
        self.reads.set_rate(Rate(rate));
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
