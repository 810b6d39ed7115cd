//! A cache of the servers' rows in the store.
//!
//! A list of many pages takes one call after the other to read, some seconds in all. With the cached rows, only the
//! changes since the last read are needed, in one or two calls.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{
    adapter::{
        servers::{self, SkippedEntry},
        store::{StoreRow, StoreRows},
    },
    routing::{BackendServer, ListVersion, StoreVersion},
};

/// Maximum number of rows in one reply of the store.
pub const PAGE_ROWS: usize = 500;

/// Time after which the whole list is read again: half of the history that the users' stores keep. The whole list also
/// corrects anything that a reply with changes has left out.
const WHOLE_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Size of a list above which only its changes are read, as of one with more than [`PAGE_ROWS`] rows of usual length: a few
/// foreign rows of megabytes made each read last longer than its period.
const WHOLE_READ_BYTES_MAX: usize = 128 << 10;

/// What the newest row of a key says.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Entry {
    Server(BackendServer),
    Skipped(SkippedEntry),
    Removed,
}

/// An entry and the version of the row that it was decoded from.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CachedEntry {
    version: u64,
    entry: Entry,
}

/// Entries of the servers by key, as of one version of the store.
///
/// The row with the highest version decides what the list has for its key, also if that row is a removal or cannot be
/// decoded. Replies may repeat rows and overlap, as the pages of a whole list are of different moments.
#[derive(Debug)]
pub struct ServerListCache {
    /// Version of the store.
    pub version: StoreVersion,
    /// When the whole list was last read.
    whole_read_at: Instant,
    /// Bytes of the rows read since, the whole list included.
    bytes: usize,
    /// Whether rows have been read that differ from the list last applied.
    has_changes: bool,
    /// Version of the list last applied, which other instances receive.
    applied: Option<ListVersion>,
    /// Removals stay until the whole list is read again, so that an older row does not undo them.
    entries: IndexMap<String, CachedEntry>,
}

impl Entry {
    fn decode(row: &StoreRow) -> Entry {
        if row.removed {
            return Entry::Removed;
        }
        match servers::decode(row) {
            Ok(server) => Entry::Server(server),
            Err(skipped) => Entry::Skipped(skipped),
        }
    }
}

impl ServerListCache {
    /// Creates an empty cache for a list that is read at `at`.
    pub fn new(at: Instant, version: StoreVersion) -> ServerListCache {
        ServerListCache {
            version,
            whole_read_at: at,
            bytes: 0,
            has_changes: true,
            applied: None,
            entries: IndexMap::new(),
        }
    }

    /// Returns whether reading the changes is cheaper than the whole list, and the store still has their history.
    pub fn can_read_changes(&self, now: Instant) -> bool {
        let is_long = self.entries.len() > PAGE_ROWS || self.bytes > WHOLE_READ_BYTES_MAX;
        is_long && now.saturating_duration_since(self.whole_read_at) < WHOLE_READ_INTERVAL
    }

    /// Applies rows that are new, changed or removed, in any order. Nearly all of them are heartbeats, which change
    /// nothing in the list.
    pub fn apply_rows(&mut self, rows: StoreRows) {
        let bytes: usize = rows.rows.iter().map(|row| row.value.len()).sum();
        self.bytes = self.bytes.saturating_add(bytes);
        rows.rows.iter().for_each(|row| self.apply_row(row));
        self.version = self.version.max(rows.version);
    }

    fn apply_row(&mut self, row: &StoreRow) {
        let cached = self.entries.get(&row.key);
        if cached.is_some_and(|cached| cached.version >= row.version) {
            return;
        }
        let entry = Entry::decode(row);
        let before = cached.map_or(&Entry::Removed, |cached| &cached.entry);
        self.has_changes |= *before != entry;
        self.entries.insert(row.key.clone(), CachedEntry { version: row.version, entry });
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
        let server = |cached: &CachedEntry| match &cached.entry {
            Entry::Server(server) => Some(server.clone()),
            Entry::Skipped(_) | Entry::Removed => None,
        };
        self.entries.values().filter_map(server).collect()
    }

    /// Returns the entries that describe no usable server.
    pub fn skipped(&self) -> impl Iterator<Item = &SkippedEntry> {
        self.entries.values().filter_map(|cached| match &cached.entry {
            Entry::Skipped(skipped) => Some(skipped),
            Entry::Server(_) | Entry::Removed => None,
        })
    }
}
