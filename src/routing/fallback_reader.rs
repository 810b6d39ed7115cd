//! Which instance reads the store for one that others turn to, and that the store turns away.
//!
//! Answers a store that serves some instances and turns others away, the one that all turn to among them. All would
//! find their news old at the same time and read for themselves, again and again: 341 instances did so every two
//! seconds, with 6,600 calls of the fleet in a minute where a calm one takes 2,000. Handing the whole role on
//! instead would split the counts that it collects, each time that the next one is turned away too.

use std::time::Instant;

use super::{Candidates, InstanceInfo};

/// Instances asked one after the other before the store is left alone for a while: of a store that turns away a
/// third of them, all four are turned away once in eighty times.
pub const ATTEMPTS_MAX: usize = 4;

/// The instance that is asked to read.
#[derive(Debug, Default)]
pub struct FallbackReader {
    /// How many of the instances that answer are passed over, the strongest first.
    skip: usize,
}

impl FallbackReader {
    /// Returns the instance to ask now; `None` where no other answers.
    pub fn pick(&self, now: Instant, candidates: &Candidates) -> Option<InstanceInfo> {
        let answering = candidates.responsive(now).count();
        candidates.responsive(now).nth(self.skip.checked_rem(answering)?).cloned()
    }

    /// Notes that the one that was asked did not answer or could not read either: another one is asked from now on.
    pub fn failed(&mut self) {
        self.skip += 1;
    }
}
