//! Log lines about entries of the store's table that describe no usable server.

use std::collections::HashSet;

use crate::adapter::servers::SkippedEntry;

/// Maximum number of lines for one read of the list: a table full of foreign entries must not flood the log.
const LINES_MAX: usize = 8;

/// Logs each entry once, and again only after it has changed.
#[derive(Debug, Default)]
pub struct SkippedLog {
    logged: HashSet<(String, u64)>,
}

impl SkippedLog {
    /// Returns the entries that have not been logged yet, and counts them as logged. `skipped` are all skipped entries
    /// of the list.
    pub fn take_unlogged<'s>(&mut self, skipped: &'s [SkippedEntry]) -> Vec<&'s SkippedEntry> {
        let id = |entry: &SkippedEntry| (entry.key.clone(), entry.version);
        let former = std::mem::take(&mut self.logged);
        self.logged = skipped.iter().map(id).collect();
        skipped.iter().filter(|entry| !former.contains(&id(entry))).collect()
    }

    /// Logs the entries of `skipped` that are new, in a bounded number of lines.
    pub fn log_new(&mut self, skipped: &[SkippedEntry]) {
        let unlogged = self.take_unlogged(skipped);
        for entry in unlogged.iter().take(LINES_MAX) {
            log::warn!("event=server_skipped server={:?} reason={:?}", entry.key, entry.reason);
        }
        if unlogged.len() > LINES_MAX {
            log::warn!("event=servers_skipped more={}", unlogged.len() - LINES_MAX);
        }
    }
}
