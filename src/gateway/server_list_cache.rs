//! The list of backend servers as this instance has read it in the store.
//!
//! Answers a list of many pages: read whole at each look, it takes one call after the other, seconds in all. One that has been
//! read is followed by what has changed, in a call or two.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use crate::{
    adapter::{
        servers::{self, SkippedEntry},
        store::StoreRows,
    },
    routing::{BackendServer, ListVersion, StoreVersion},
};

/// Rows of one reply of the store at most.
pub const PAGE_ROWS: usize = 500;

/// How long a list is followed before it is read whole again: half of the history that the users' stores keep, and whatever a
/// reply should have left out is set right.
const WHOLE_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Entries of servers, by key, as of one version of the store.
#[derive(Debug)]
pub struct ServerListCache {
    /// Version of the store.
    pub version: StoreVersion,
    /// When it was read whole.
    whole_at: Instant,
    /// Whether something new of servers was read that has not been taken over yet.
    has_changes: bool,
    /// The list that other instances were told of after the last news.
    applied: Option<ListVersion>,
    servers: IndexMap<String, BackendServer>,
    skipped: IndexMap<String, SkippedEntry>,
}

impl ServerListCache {
    /// Returns an empty list that is read at `at`.
    pub fn new(at: Instant, version: StoreVersion) -> ServerListCache {
        let (servers, skipped) = (IndexMap::new(), IndexMap::new());
        ServerListCache {
            version,
            whole_at: at,
            has_changes: true,
            applied: None,
            servers,
            skipped,
        }
    }

    /// Returns whether what has changed costs less than the whole, and is still told.
    pub fn can_read_changes(&self, now: Instant) -> bool {
        let is_long = self.servers.len() + self.skipped.len() > PAGE_ROWS;
        is_long && now.saturating_duration_since(self.whole_at) < WHOLE_READ_INTERVAL
    }

    /// Takes rows that are new, changed or removed: nearly all say only that a server is still there, which is no news.
    pub fn take(&mut self, rows: StoreRows) {
        let known = |list: &ServerListCache, key: &str| {
            (list.servers.get(key).cloned(), list.skipped.get(key).cloned())
        };
        let keys: IndexSet<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
        let before: Vec<_> = keys.iter().map(|key| known(self, key)).collect();
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
        self.has_changes |= keys.iter().zip(before).any(|(key, before)| known(self, key) != before);
    }

    /// Notes that the list has been taken over, and which one other instances are told of now.
    pub fn mark_applied(&mut self, applied: Option<ListVersion>) {
        self.applied = applied;
        self.has_changes = false;
    }

    /// Returns the list that other instances were told of, if nothing new was read since.
    pub fn unchanged_version(&self) -> Option<ListVersion> {
        self.applied.filter(|_| !self.has_changes)
    }

    /// Returns the servers.
    pub fn servers(&self) -> Vec<BackendServer> {
        self.servers.values().cloned().collect()
    }

    /// Returns the entries that name no server to use.
    pub fn skipped(&self) -> impl Iterator<Item = &SkippedEntry> {
        self.skipped.values()
    }
}
