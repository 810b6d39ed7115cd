//! Log lines about rows of the store's tables that cannot be decoded. [`SkippedLog`](super::skipped_log::SkippedLog) has
//! those about servers, whose whole list is known at each read.

use indexmap::IndexMap;

use crate::adapter::servers::SkippedEntry;

/// Maximum number of lines for one read: a table full of foreign rows must not flood the log.
const LINES_MAX: usize = 8;

/// Maximum number of rows that are remembered; beyond it the earliest are forgotten, and are logged again.
const ROWS_MAX: usize = 4096;

/// Logs each row once, and again only after it has changed, however often its table is read.
#[derive(Debug, Default)]
pub struct SkippedRows {
    /// Version that was logged last, by table and key.
    logged: IndexMap<(&'static str, String), u64>,
}

impl SkippedRows {
    /// Returns the rows among `skipped` that have not been logged yet, and counts them as logged.
    pub fn take_unlogged<'s>(
        &mut self,
        table: &'static str,
        skipped: &'s [SkippedEntry],
    ) -> Vec<&'s SkippedEntry> {
        let mut is_new = |row: &&SkippedEntry| {
            let before = self.logged.insert((table, row.key.clone()), row.version);
            before != Some(row.version)
        };
        let unlogged = skipped.iter().filter(|row| is_new(row)).collect();
        let surplus = self.logged.len().saturating_sub(ROWS_MAX);
        self.logged.drain(..surplus);
        unlogged
    }

    /// Logs the rows among `skipped` that are new, in a bounded number of lines.
    pub fn log_new(&mut self, table: &'static str, skipped: &[SkippedEntry]) {
        let unlogged = self.take_unlogged(table, skipped);
        for SkippedEntry { key, reason, .. } in unlogged.iter().take(LINES_MAX) {
            log::warn!("event=row_skipped table={table} key={key:?} reason={reason:?}");
        }
        if unlogged.len() > LINES_MAX {
            log::warn!("event=rows_skipped table={table} more={}", unlogged.len() - LINES_MAX);
        }
    }
}
