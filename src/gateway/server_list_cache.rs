//! A cache of the servers' rows in the store.
//!
//! A list of many pages takes one call after the other to read, some seconds in all. With the cached rows, only the
//! changes since the last read are needed, in one or two calls.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use crate::{
    adapter::{
        servers::{self, SkippedEntry},
        store::StoreRows,
    },
    routing::{BackendServer, ListVersion, StoreVersion},
};

/// Maximum number of rows in one reply of the store.
pub const PAGE_ROWS: usize = 500;

/// Time after which the whole list is read again: half of the history that the users' stores keep. The whole list also
/// corrects anything that a reply with changes has left out.
const WHOLE_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Entries of the servers by key, as of one version of the store.
#[derive(Debug)]
pub struct ServerListCache {
    /// Version of the store.
    pub version: StoreVersion,
    /// When the whole list was last read.
    whole_read_at: Instant,
    /// Whether rows have been read that differ from the list last applied.
    has_changes: bool,
    /// Version of the list last applied, which other instances receive.
    applied: Option<ListVersion>,
    servers: IndexMap<String, BackendServer>,
    skipped: IndexMap<String, SkippedEntry>,
}

impl ServerListCache {
    /// Creates an empty cache for a list that is read at `at`.
    pub fn new(at: Instant, version: StoreVersion) -> ServerListCache {
        let (servers, skipped) = (IndexMap::new(), IndexMap::new());
        ServerListCache {
            version,
            whole_read_at: at,
            has_changes: true,
            applied: None,
            servers,
            skipped,
        }
    }

    /// Returns whether reading the changes is cheaper than the whole list, and the store still has their history.
    pub fn can_read_changes(&self, now: Instant) -> bool {
        let is_long = self.servers.len() + self.skipped.len() > PAGE_ROWS;
        is_long && now.saturating_duration_since(self.whole_read_at) < WHOLE_READ_INTERVAL
    }

    /// Applies rows that are new, changed or removed. Nearly all of them are heartbeats, which change nothing in the
    /// list.
    pub fn apply_rows(&mut self, rows: StoreRows) {
        let entry = |list: &ServerListCache, key: &str| {
            (list.servers.get(key).cloned(), list.skipped.get(key).cloned())
        };
        let keys: IndexSet<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
        let before: Vec<_> = keys.iter().map(|key| entry(self, key)).collect();
        for key in &keys {
            self.servers.swap_remove(*key);
            self.skipped.swap_remove(*key);
        }
        let entries = servers::decode_all(&rows.rows);
        let servers = entries.servers.into_iter();
        self.servers.extend(servers.map(|server| (server.id.server.as_str().to_owned(), server)));
        let skipped = entries.skipped.into_iter();
        self.skipped.extend(skipped.map(|entry| (entry.key.clone(), entry)));
        self.version = rows.version;
        self.has_changes |= keys.iter().zip(before).any(|(key, before)| entry(self, key) != before);
    }

    /// Notes that the list has been applied, as the version `applied`.
    pub fn mark_applied(&mut self, applied: Option<ListVersion>) {
        self.applied = applied;
        self.has_changes = false;
    }

    /// Returns the version of the list last applied, if no row read since then changes it.
    pub fn unchanged_version(&self) -> Option<ListVersion> {
        self.applied.filter(|_| !self.has_changes)
    }

    /// Returns the servers.
    pub fn servers(&self) -> Vec<BackendServer> {
        self.servers.values().cloned().collect()
    }

    /// Returns the entries that describe no usable server.
    pub fn skipped(&self) -> impl Iterator<Item = &SkippedEntry> {
        self.skipped.values()
    }
}
