//! The history of a stand-in store: each change of a row, in order, for as long as the platform's store keeps it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time for which a change is kept, as the users' sheets state it (`history_s`).
const HISTORY: Duration = Duration::from_secs(20);

/// One change of a row.
#[derive(Debug, Clone)]
pub(crate) struct RowChange {
    pub(crate) table: String,
    pub(crate) key: String,
    /// The new value; `None` if the row was removed.
    pub(crate) value: Option<Vec<u8>>,
    pub(crate) version: u64,
    at: Instant,
}

/// The changes that are still kept.
#[derive(Debug, Default)]
pub(crate) struct StoreHistory {
    changes: VecDeque<RowChange>,
    /// Feeds from before this version cannot be continued.
    forgotten: u64,
}

impl StoreHistory {
    /// Adds a change.
    pub(crate) fn push(&mut self, table: &str, key: &str, value: Option<Vec<u8>>, version: u64) {
        let at = Instant::now();
        self.prune(at);
        let (table, key) = (table.to_owned(), key.to_owned());
        self.changes.push_back(RowChange { table, key, value, version, at });
    }

    /// Returns the changes of a table after a version, in order; `None` if they are no longer all kept.
    pub(crate) fn since(
        &mut self,
        table: &str,
        after: u64,
    ) -> Option<impl Iterator<Item = &RowChange>> {
        self.prune(Instant::now());
        let first = self.changes.partition_point(|change| change.version <= after);
        let later = self.changes.range(first..);
        (after >= self.forgotten).then(|| later.filter(move |change| change.table == table))
    }

    /// Forgets all changes up to a version.
    pub(crate) fn forget(&mut self, version: u64) {
        self.changes.retain(|change| change.version > version);
        self.forgotten = version;
    }

    /// Forgets the changes after a version: they never happened in the copy that the store is restored from.
    pub(crate) fn restore(&mut self, version: u64) {
        self.changes.retain(|change| change.version <= version);
        self.forgotten = self.forgotten.min(version);
    }

    fn prune(&mut self, now: Instant) {
        let is_old = |change: &RowChange| now.saturating_duration_since(change.at) > HISTORY;
        while let Some(change) = self.changes.pop_front_if(|change| is_old(change)) {
            self.forgotten = self.forgotten.max(change.version);
        }
    }
}
