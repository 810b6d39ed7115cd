//! Checkpoints of streams in the store: the records of the streams that an instance carries, for the time after all
//! instances were killed at once.
//!
//! Each process of an instance writes one row; in large fleets a few instances write the records of all. The record of a
//! stream never changes, so that an old row may lack streams, but states none wrongly.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{SELF_WRITING_MAX, StreamKey, StreamOrigin, StreamRecord};

/// Minimum time between two calls of an instance.
const INTERVAL_MIN: Duration = Duration::from_millis(50);

/// Time between two calls of an instance, for each instance: all together make at most 100 transactions a second, half
/// of what a part of the store takes.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(10);

/// Time after which an instance that has nothing to write checks whether its row is still needed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of records in a row, of up to 17 bytes each: with [`ROW_ORIGINS_MAX`] they stay below the 65,536 bytes
/// that the store takes.
const ROW_RECORDS_MAX: usize = 3_000;

/// Maximum number of services and versions in a row, of up to 209 bytes each.
const ROW_ORIGINS_MAX: usize = 48;

/// Maximum number of expired rows that are removed at once: each takes a condition and a removal of the 100 entries that
/// a transaction has.
const EXPIRED_ROWS_MAX: usize = 50;

/// Whether checkpoints are needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckpointNeed {
    /// Every service has one version.
    None,
    /// The instance does not know yet whether a service has several.
    Undecided,
    /// A service has several versions.
    SeveralVersions,
}

/// A row of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointRow {
    /// When it was written, in milliseconds on the store's clock.
    written_ms: u64,
    /// Services and versions at which streams began.
    origins: Vec<StreamOrigin>,
    records: Vec<RowRecord>,
}

/// A stream in a [`CheckpointRow`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct RowRecord {
    key: StreamKey,
    /// Index of the service and version.
    origin: u8,
    /// Time to live from when the row was written, in milliseconds.
    ttl_ms: u32,
}

/// A row that does not state where its streams began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a record names origin {index} of {count}; its row is skipped")]
pub struct InvalidRow {
    index: usize,
    count: usize,
}

/// A row whose records have all expired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpiredRow {
    /// Its key.
    pub key: String,
    /// Its version when it was read: a row that was written since stays.
    pub version: u64,
}

/// The store's clock, as of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreClock {
    /// When the reply arrived.
    pub read_at: Instant,
    /// The time that it stated, in milliseconds.
    pub now_ms: u64,
}

/// What an instance is to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckpointStep {
    /// Read the table, for the store's clock.
    Read,
    /// Write the own row.
    Write(CheckpointRow),
    /// Remove the own row.
    Remove,
    /// Remove expired rows of others.
    RemoveExpired(Vec<ExpiredRow>),
    /// Wait this long, or until there is something new.
    Wait(Duration),
    /// Nothing, until there is something new.
    Done,
}

/// A request of another instance to write a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WriteRequest {
    from: SocketAddr,
    /// Number of the record.
    number: u64,
}

/// The checkpoint of an instance.
#[derive(Debug, Default)]
pub struct StreamCheckpoints {
    /// Whether this instance writes for others.
    is_writer: bool,
    /// Streams that may be resumed and when their records expire, the newest last.
    carried: IndexMap<StreamKey, (StreamOrigin, Instant)>,
    /// Records that others wait for.
    requested: IndexMap<StreamKey, WriteRequest>,
    /// When the last record expires that another instance has had written: that instance has seen several versions.
    requested_until: Option<Instant>,
    /// Number of records that were dropped since the last write, as the row was full.
    dropped: usize,
    has_unwritten: bool,
    /// Number of records that were added, and how many of them the last write has, and the last one that was made.
    added: u64,
    writing: u64,
    written: u64,
    /// Whether the last write may not have been made.
    has_failed: bool,
    /// Whether the store may have a row of this process.
    has_row: bool,
    clock: Option<StoreClock>,
    last_call: Option<Instant>,
    expired: Vec<ExpiredRow>,
}

/// Returns the time between two calls of an instance, of `instances` in all, that does not write for others.
fn interval(instances: usize) -> Duration {
    let factor = u32::try_from(instances).unwrap_or(u32::MAX);
    INTERVAL_MIN.max(INTERVAL_PER_INSTANCE.saturating_mul(factor))
}

impl CheckpointRow {
    fn new(
        written_ms: u64,
        now: Instant,
        newest_first: impl Iterator<Item = (StreamKey, StreamOrigin, Instant)>,
    ) -> CheckpointRow {
        let mut origins: IndexSet<StreamOrigin> = IndexSet::new();
        let mut records = Vec::new();
        for (key, origin, expires_at) in newest_first.take(ROW_RECORDS_MAX) {
            if origins.len() == ROW_ORIGINS_MAX && !origins.contains(&origin) {
                continue;
            }
            let (index, _) = origins.insert_full(origin);
            let ttl = expires_at.saturating_duration_since(now).as_millis();
            let ttl_ms = u32::try_from(ttl).unwrap_or(u32::MAX);
            records.extend(u8::try_from(index).map(|origin| RowRecord { key, origin, ttl_ms }));
        }
        CheckpointRow { written_ms, origins: origins.into_iter().collect(), records }
    }

    /// Returns the records that have not expired at `now_ms` on the store's clock.
    ///
    /// # Errors
    ///
    /// The row does not state where one of its streams began.
    pub fn records(&self, now_ms: u64) -> Result<Vec<StreamRecord>, InvalidRow> {
        let age_ms = now_ms.saturating_sub(self.written_ms);
        let mut records = Vec::new();
        for RowRecord { key, origin, ttl_ms } in &self.records {
            let (index, count) = (usize::from(*origin), self.origins.len());
            let origin = self.origins.get(index).ok_or(InvalidRow { index, count })?;
            let ttl = Duration::from_millis(u64::from(*ttl_ms).saturating_sub(age_ms));
            if !ttl.is_zero() {
                records.push(StreamRecord { key: *key, origin: origin.clone(), ttl });
            }
        }
        Ok(records)
    }
}

impl StoreClock {
    fn at(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.read_at).as_millis();
        self.now_ms.saturating_add(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}

impl StreamCheckpoints {
    /// Adds the record of a stream that this instance carries; returns whether it is the first one that is not written.
    pub fn add(&mut self, now: Instant, record: &StreamRecord) -> bool {
        if self.carried.len() >= ROW_RECORDS_MAX
            && let Some((oldest, _)) = self.carried.shift_remove_index(0)
        {
            self.requested.swap_remove(&oldest);
            self.dropped += 1;
        }
        self.carried.insert(record.key, (record.origin.clone(), now + record.ttl));
        self.added += 1;
        !std::mem::replace(&mut self.has_unwritten, true)
    }

    /// Adds the record of a stream that the instance at `from` carries; returns whether it is the first one that is not
    /// written.
    pub fn add_requested(&mut self, now: Instant, record: &StreamRecord, from: SocketAddr) -> bool {
        if let Some(request) = self.requested.get_mut(&record.key) {
            // Sent again before its write was made.
            request.from = from;
            return false;
        }
        let is_first = self.add(now, record);
        self.requested.insert(record.key, WriteRequest { from, number: self.added });
        self.requested_until = self.requested_until.max(Some(now + record.ttl));
        is_first
    }

    /// Sets whether this instance writes for others, and may write more often.
    pub fn set_writer(&mut self, is_writer: bool) {
        self.is_writer = is_writer;
    }

    /// Notes that a caller has received a stream completely. The row loses its record with the next write.
    pub fn note_complete(&mut self, key: StreamKey) {
        self.carried.shift_remove(&key);
    }

    /// Returns what is to be done now, which counts as being done. `instances` is the number of instances.
    pub fn step(&mut self, now: Instant, need: CheckpointNeed, instances: usize) -> CheckpointStep {
        self.carried.retain(|_, (_, expires_at)| now < *expires_at);
        self.requested.retain(|key, _| self.carried.contains_key(key));
        let is_requested = self.requested_until.is_some_and(|until| now < until);
        let need = if is_requested { CheckpointNeed::SeveralVersions } else { need };
        if need == CheckpointNeed::None {
            self.carried.clear();
            self.has_unwritten = false;
        }
        if self.is_idle() {
            // The streams that were not written are complete or have expired.
            self.has_unwritten = false;
            return CheckpointStep::Done;
        }
        if !self.has_call(need) {
            return CheckpointStep::Wait(CHECK_INTERVAL);
        }
        let wait = self.wait(now, need, instances);
        if !wait.is_zero() {
            return CheckpointStep::Wait(wait);
        }
        self.last_call = Some(now);
        self.take_call(now, need)
    }

    /// Returns whether there is nothing to write or to remove, now or later.
    pub fn is_idle(&self) -> bool {
        self.carried.is_empty() && !self.has_row && self.expired.is_empty()
    }

    fn has_call(&self, need: CheckpointNeed) -> bool {
        let may_call = match need {
            CheckpointNeed::None => self.has_row,
            CheckpointNeed::Undecided => false,
            CheckpointNeed::SeveralVersions => self.has_unwritten,
        };
        may_call || !self.expired.is_empty()
    }

    fn wait(&self, now: Instant, need: CheckpointNeed, instances: usize) -> Duration {
        let interval = match self.is_writer && self.writes(need) {
            true => INTERVAL_MIN,
            false => interval(instances),
        };
        let next = |at: Instant| (at + interval).saturating_duration_since(now);
        self.last_call.map_or(Duration::ZERO, next)
    }

    fn writes(&self, need: CheckpointNeed) -> bool {
        need == CheckpointNeed::SeveralVersions && self.has_unwritten
    }

    fn take_call(&mut self, now: Instant, need: CheckpointNeed) -> CheckpointStep {
        let writes = self.writes(need);
        match self.clock {
            None if writes => CheckpointStep::Read,
            Some(clock) if writes => {
                self.has_unwritten = false;
                self.has_row = true;
                self.writing = self.added;
                CheckpointStep::Write(self.row(now, clock))
            }
            _ if need == CheckpointNeed::None && self.has_row => CheckpointStep::Remove,
            _ => CheckpointStep::RemoveExpired(std::mem::take(&mut self.expired)),
        }
    }

    fn row(&self, now: Instant, clock: StoreClock) -> CheckpointRow {
        let newest_first = self.carried.iter().rev();
        let records = newest_first.map(|(key, (origin, until))| (*key, origin.clone(), *until));
        CheckpointRow::new(clock.at(now), now, records)
    }

    /// Notes that the last write was made; returns the streams in it that others wait for, with their addresses.
    pub fn note_written(&mut self) -> Vec<(SocketAddr, StreamKey)> {
        self.written = self.writing;
        self.has_failed = false;
        let written = self.requested.extract_if(.., |_, request| request.number <= self.writing);
        written.map(|(key, request)| (request.from, key)).collect()
    }

    /// Notes that the last write may not have been made; returns the instances that wait for it.
    pub fn note_write_failed(&mut self) -> IndexSet<SocketAddr> {
        self.has_unwritten = true;
        self.has_failed = true;
        self.requested.values().map(|request| request.from).collect()
    }

    /// Returns the number of records that were dropped since this was last called, as the row was full.
    pub fn take_dropped(&mut self) -> usize {
        std::mem::take(&mut self.dropped)
    }

    /// Returns the number of records that were added so far.
    pub fn added(&self) -> u64 {
        self.added
    }

    /// Returns whether the first event of a stream waits for the write of its record, the `number`th one, so that a caller
    /// that has received an event can resume its stream after a restart of all instances. It does not while the store
    /// takes no writes, and in large fleets, where others write the record.
    pub fn holds_event(&self, number: u64, need: CheckpointNeed, instances: usize) -> bool {
        need == CheckpointNeed::SeveralVersions
            && self.written < number
            && !self.has_failed
            && instances <= SELF_WRITING_MAX
    }

    /// Notes that the own row was removed. The clock is read again before the next one is written.
    pub fn note_removed(&mut self) {
        self.has_row = false;
        self.clock = None;
    }

    /// Notes a read of the table, with the expired rows that it found; the first ones are to be removed.
    pub fn note_read(&mut self, clock: StoreClock, mut expired: Vec<ExpiredRow>) {
        expired.truncate(EXPIRED_ROWS_MAX);
        if self.clock.replace(clock).is_none() {
            // The first write follows the read without a pause.
            self.last_call = None;
        }
        self.expired = expired;
    }
}
