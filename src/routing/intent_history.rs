//! The newest changes of the intent, for instances that have an earlier version.

use std::{collections::VecDeque, sync::Arc};

use super::{Intent, IntentChange, PackedChange};

/// Changes kept: a storm of some seconds, and the instances that missed all of it.
const CHANGES_MAX: usize = 64;

/// Bytes of changes kept: a few hundred thousand routes' worth would be a whole intent.
const BYTES_MAX: usize = 512 << 10;

/// The newest changes, each of the version before it.
#[derive(Default)]
pub struct IntentHistory {
    changes: VecDeque<Arc<PackedChange>>,
    /// The newest version whole, packed when it is first asked for.
    whole: Option<Arc<PackedChange>>,
}

impl IntentHistory {
    /// Takes the change to the newest version.
    pub fn push(&mut self, change: Arc<PackedChange>) {
        self.whole = None;
        if change.from == 0 {
            self.changes.clear();
            self.whole = Some(change);
            return;
        }
        if self.changes.back().is_some_and(|last| last.to != change.from) {
            self.changes.clear();
        }
        self.changes.push_back(change);
        while self.changes.len() > CHANGES_MAX || self.bytes() > BYTES_MAX {
            self.changes.pop_front();
        }
    }

    /// Returns the last change.
    pub fn last(&self) -> Option<&Arc<PackedChange>> {
        self.changes.back()
    }

    /// Returns the changes that turn `version` into `newest`, the intent in force, as far as they are kept:
    /// none for an instance that has it, nor for one that is too far behind.
    pub fn kept_since(&self, version: u64, newest: &Intent) -> Vec<Arc<PackedChange>> {
        let first = self.changes.iter().position(|change| change.from == version);
        let current = self.changes.back().is_some_and(|last| last.to == newest.version);
        match first {
            Some(first) if current => self.changes.iter().skip(first).cloned().collect(),
            _ => Vec::new(),
        }
    }

    /// Returns what turns `version` into `newest`, the intent in force: the changes, or all of it for an instance
    /// that is too far behind; nothing for one that has it.
    pub fn since(&mut self, version: u64, newest: &Intent) -> Vec<Arc<PackedChange>> {
        if version >= newest.version {
            return Vec::new();
        }
        let kept = self.kept_since(version, newest);
        if !kept.is_empty() {
            return kept;
        }
        let known = self.whole.take().filter(|whole| whole.to == newest.version);
        let whole =
            known.unwrap_or_else(|| Arc::new(PackedChange::pack(&IntentChange::whole(newest))));
        self.whole = Some(Arc::clone(&whole));
        vec![whole]
    }

    fn bytes(&self) -> usize {
        self.changes.iter().map(|change| change.len()).sum()
    }
}
