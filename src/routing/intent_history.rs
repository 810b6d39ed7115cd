//! The newest changes of the intent, for instances that have an earlier version.

use std::{collections::VecDeque, sync::Arc};

use super::{Intent, IntentChange, PackedChange};

/// Number of changes kept: enough for an instance that missed a burst of changes of some seconds.
const CHANGES_MAX: usize = 64;

/// Bytes of changes kept. More would not pay: changes of a few hundred thousand routes amount to a whole intent.
const BYTES_MAX: usize = 512 << 10;

/// The newest changes, each applying to the version before it.
#[derive(Default)]
pub struct IntentHistory {
    changes: VecDeque<Arc<PackedChange>>,
    /// The whole newest version, packed when it is first requested.
    whole: Option<Arc<PackedChange>>,
}

impl IntentHistory {
    /// Adds the change to the newest version.
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

    /// Returns the changes from `version` to `newest`, the active intent, if they are all kept: none for an instance
    /// that has it, nor for one that is too far behind.
    pub fn kept_since(&self, version: u64, newest: &Intent) -> Vec<Arc<PackedChange>> {
        let first = self.changes.iter().position(|change| change.from == version);
        let is_current = self.changes.back().is_some_and(|last| last.to == newest.version);
        match first {
            Some(first) if is_current => self.changes.iter().skip(first).cloned().collect(),
            _ => Vec::new(),
        }
    }

    /// Returns what turns `version` into `newest`, the active intent: the changes, or the whole intent for an instance
    /// that is too far behind; nothing for one that has it.
    pub fn since(&mut self, version: u64, newest: &Intent) -> Vec<Arc<PackedChange>> {
        if version >= newest.version {
            return Vec::new();
        }
        let kept = self.kept_since(version, newest);
        if !kept.is_empty() {
            return kept;
        }
        let packed = self.whole.take().filter(|whole| whole.to == newest.version);
        let whole =
            packed.unwrap_or_else(|| Arc::new(PackedChange::pack(&IntentChange::whole(newest))));
        self.whole = Some(Arc::clone(&whole));
        vec![whole]
    }

    fn bytes(&self) -> usize {
        self.changes.iter().map(|change| change.len()).sum()
    }
}
