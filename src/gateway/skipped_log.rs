//! Log lines of entries that name no server to use.

use std::collections::HashSet;

use crate::adapter::servers::SkippedEntry;

/// Most lines for one reading of the list: a table full of what others wrote must not fill the log.
const LINES_MAX: usize = 8;

/// Tells of each entry once, until it changes.
#[derive(Debug, Default)]
pub struct SkippedLog {
    logged: HashSet<(String, u64)>,
}

impl SkippedLog {
    /// Returns those of `skipped`, all that the list now holds, of which nothing has been told.
    pub fn take_unlogged<'s>(&mut self, skipped: &'s [SkippedEntry]) -> Vec<&'s SkippedEntry> {
        let id = |entry: &SkippedEntry| (entry.key.clone(), entry.version);
        let former = std::mem::take(&mut self.logged);
        self.logged = skipped.iter().map(id).collect();
        skipped.iter().filter(|entry| !former.contains(&id(entry))).collect()
    }

    /// Logs what is new among `skipped`, a bounded number of lines.
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
