//! Which instance reads the store on behalf of an aggregator whose own calls the store rejects.
//!
//! A store may serve some instances and reject others, the aggregator among them. Without a fallback reader the lists
//! of all instances become outdated at the same time, and all read the store themselves, again and again: 341
//! instances did so every two seconds, and the fleet made 6,600 calls in a minute instead of 2,000. Moving the whole
//! role of the aggregator instead would split the counts that it collects, again with each new aggregator that is
//! rejected too.

use std::time::Instant;

use super::{Candidates, InstanceInfo};

/// Largest number of instances that are asked one after the other before the store is left alone for a while. If the
/// store rejects a third of the instances, all four are rejected in one of eighty cases.
pub const ATTEMPTS_MAX: usize = 4;

/// The instance that is asked to read.
#[derive(Debug, Default)]
pub struct FallbackReader {
    /// How many of the responsive instances are skipped, the strongest first.
    skip: usize,
}

impl FallbackReader {
    /// Returns the instance to ask now; `None` if no other instance is responsive.
    pub fn pick(&self, now: Instant, candidates: &Candidates) -> Option<InstanceInfo> {
        let responsive = candidates.responsive(now).count();
        candidates.responsive(now).nth(self.skip.checked_rem(responsive)?).cloned()
    }

    /// Notes that the picked instance did not respond or could not read either: the next pick is another one.
    pub fn failed(&mut self) {
        self.skip += 1;
    }
}
