//! When an instance compares the registry in the store with what is in use.
//!
//! The instance that reads the list for the others compares after each change, and once more a while later: the store may
//! carry out a registration long after the instance that sent it has given it up or was suspended. Any other one does so
//! after a resumption has shown a difference, until nothing is left to be dropped.

use std::time::{Duration, Instant};

use super::{ListVersion, ListedShares, ListedVersions};

/// Time between two comparisons while they differ or fail.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Time between two comparisons while values that have left are only to be dropped.
const DROP_INTERVAL: Duration = Duration::from_secs(10);

/// What may begin streams now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsedOrigins {
    /// The versions of the servers in use.
    pub versions: ListedVersions,
    /// The shares of the routes of the active intent.
    pub shares: ListedShares,
}

/// What a comparison has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Comparison {
    /// Whether the registry was changed.
    pub has_changed: bool,
    /// Whether it now has values that are not in use.
    pub has_unlisted: bool,
}

/// When the registry is compared next.
#[derive(Debug, Default)]
pub struct RegistryMaintenance {
    /// When the next comparison may begin.
    due_at: Option<Instant>,
    /// The list and the version of the intent last looked at.
    known: (Option<ListVersion>, u64),
    /// What the registry agreed with, if it did.
    agreed: Option<UsedOrigins>,
    /// When it is compared although it agreed.
    recheck_at: Option<Instant>,
    /// Whether a read for a resumption has shown a difference that is not settled.
    is_requested: bool,
}

impl RegistryMaintenance {
    /// Notes that a read for a resumption has shown a difference.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Notes that this instance has written values into the registry, or tried to.
    pub fn note_registered(&mut self) {
        self.agreed = None;
    }

    /// Returns whether the registry has to be compared with what is in use by the `known` list and intent, and notes that
    /// it is.
    pub fn begin(
        &mut self,
        now: Instant,
        known: (Option<ListVersion>, u64),
        used: impl FnOnce() -> UsedOrigins,
        is_reader: bool,
    ) -> bool {
        if self.known != known {
            self.known = known;
            if self.agreed.as_ref().is_some_and(|agreed| *agreed != used()) {
                self.agreed = None;
                self.due_at = None;
            }
        }
        let is_agreed = self.agreed.is_some() && self.recheck_at.is_none_or(|at| now < at);
        let is_needed = self.is_requested || (is_reader && !is_agreed);
        if !is_needed || self.due_at.is_some_and(|at| now < at) {
            return false;
        }
        self.due_at = Some(now + RETRY_INTERVAL);
        true
    }

    /// Notes what a comparison with `used` has shown. Values stay registered for `retention` after they were last in use,
    /// which is longer than the store may take to carry out a write.
    pub fn note_compared(
        &mut self,
        now: Instant,
        comparison: Comparison,
        used: UsedOrigins,
        retention: Duration,
    ) {
        if comparison.has_unlisted {
            self.agreed = None;
            self.due_at = Some(now + DROP_INTERVAL);
            return;
        }
        self.is_requested = false;
        if comparison.has_changed || self.agreed.as_ref() != Some(&used) {
            self.recheck_at = Some(now + retention);
        } else if self.recheck_at.is_some_and(|at| now >= at) {
            self.recheck_at = None;
        }
        self.agreed = Some(used);
    }
}
