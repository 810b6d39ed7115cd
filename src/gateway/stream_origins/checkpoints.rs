//! Writes checkpoints of this instance's streams to the store, and reads those of all instances where nobody remembers a
//! stream that a caller resumes. `routing::stream_checkpoints` decides what is written and when.
//!
//! A thread writes, only while streams of several versions are carried; on other days nothing is written or read. The
//! first event of a stream waits for the write. `checkpoint_writers` has records written by others, in large fleets.

use std::{
    net::SocketAddr,
    sync::{
        Condvar, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexSet;

use super::{StreamVersions, spawn};
use crate::{
    adapter::{
        servers::SkippedEntry,
        store::{Change, Store, StoreError, StoreRow},
        tables::STREAM_TABLE,
    },
    configs::fleet::chunks::{decode, encode},
    gateway::{Gateway, request::Request, skipped_log::SkippedLog},
    routing::{
        CheckpointNeed, CheckpointRequests, CheckpointRow, CheckpointStep, CheckpointWriters,
        EVENT_HOLD_MAX, ExpiredRow, SELF_WRITING_MAX, StoreClock, StreamCheckpoints, StreamKey,
        StreamOrigin, StreamRecord,
    },
    utils::{signal::Signal, sync::lock},
};

/// Minimum time between two reads for resumptions: many callers come back at once after a restart.
const READ_INTERVAL_MIN: Duration = Duration::from_millis(250);

/// Time between two such reads, for each instance: all together make at most 400 reads a second.
const READ_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(2500);

/// Time without a byte after which a read for a resumption has failed: a caller waits for it.
const READ_STALL_TIMEOUT: Duration = Duration::from_millis(650);

/// Time after a failed read in which no other one is made for a resumption, so that callers do not wait one after another
/// for a store that does not reply.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// The checkpoint of this instance, and what it has read of the others.
#[derive(Default)]
pub(super) struct CheckpointLink {
    pub(super) own: Mutex<StreamCheckpoints>,
    /// What other instances write for this one, in large fleets.
    pub(super) requests: Mutex<CheckpointRequests>,
    /// The instances that write, as of the last list of instances.
    pub(super) writers: Mutex<CheckpointWriters>,
    /// Notified when a writer has replied.
    pub(super) requests_written: Condvar,
    /// Notified after each write.
    written: Condvar,
    /// Set when there is something new to write.
    pub(super) changed: Signal,
    is_writing: AtomicBool,
    /// Locked while the store is read, so that waiting resumptions share the read.
    reads: Mutex<CheckpointReads>,
}

#[derive(Default)]
struct CheckpointReads {
    /// When the last read for a resumption ended.
    last: Option<Instant>,
    has_failed: bool,
    skipped: SkippedLog,
}

impl StreamVersions {
    pub(super) fn checkpoint_need(&self, now: Instant) -> CheckpointNeed {
        let sightings = lock(&self.sightings);
        if sightings.has_several_of_any(now) {
            CheckpointNeed::SeveralVersions
        } else if sightings.knows_all(now) {
            CheckpointNeed::None
        } else {
            CheckpointNeed::Undecided
        }
    }
}

impl Gateway {
    /// Has the record of a stream written to the store.
    pub(super) fn checkpoint_record(&self, now: Instant, record: &StreamRecord) {
        if self.instances() > SELF_WRITING_MAX {
            return self.request_write(now, record);
        }
        let checkpoints = &self.stream_versions.checkpoints;
        let is_first = lock(&checkpoints.own).add(now, record);
        self.run_checkpoints();
        if is_first {
            checkpoints.changed.set();
        }
    }

    /// Waits until the record of a stream is written, or a short time has passed.
    pub(in crate::gateway) fn wait_for_checkpoint(&self, request: &Request) {
        let checkpoints = &self.stream_versions.checkpoints;
        let need = self.stream_versions.checkpoint_need(self.clock.now());
        let instances = self.instances();
        if instances > SELF_WRITING_MAX {
            return self.wait_for_writer(stream_key(request), need);
        }
        let own = lock(&checkpoints.own);
        let number = own.added();
        let holds = |own: &mut StreamCheckpoints| own.holds_event(number, need, instances);
        let waited = checkpoints.written.wait_timeout_while(own, EVENT_HOLD_MAX, holds);
        // The event is sent whatever ended the wait, and the next ones do not wait for a late write.
        let (mut own, result) = waited.unwrap_or_else(PoisonError::into_inner);
        if result.timed_out() {
            own.note_late();
        }
    }

    /// Notes that a caller has received a stream completely.
    pub(in crate::gateway) fn note_stream_complete(&self, request: &Request) {
        if !self.stream_versions.may_record() {
            return;
        }
        let key = stream_key(request);
        lock(&self.stream_versions.checkpoints.own).note_complete(key);
        self.note_complete_at_writers(key);
    }

    /// Starts the thread that writes, unless it runs.
    pub(super) fn run_checkpoints(&self) {
        let is_writing = &self.stream_versions.checkpoints.is_writing;
        if is_writing.load(Ordering::SeqCst) {
            return;
        }
        let Some(gateway) = self.stream_versions.link.gateway() else { return };
        if !is_writing.swap(true, Ordering::SeqCst) {
            spawn(&gateway, "checkpoints", write_checkpoints);
        }
    }

    /// Returns where a stream began, by the checkpoints of all instances. The store is read at most once in a while.
    pub(super) fn checkpointed_origin(&self, key: StreamKey) -> Option<StreamOrigin> {
        let mut reads = lock(&self.stream_versions.checkpoints.reads);
        let now = self.clock.now();
        if reads.is_due(now, self.instances()) {
            let store = self.store.with_short_stall_timeout(READ_STALL_TIMEOUT);
            reads.has_failed = !self.read_checkpoints_logged(&store, &mut reads);
            reads.last = Some(self.clock.now());
        }
        drop(reads);
        lock(&self.stream_versions.origins).origin(self.clock.now(), key).cloned()
    }

    /// Reads the table and logs the result; returns whether it was read.
    fn read_checkpoints_logged(&self, store: &Store, reads: &mut CheckpointReads) -> bool {
        match self.read_checkpoints(store, reads) {
            Ok(records) => {
                log::info!("event=checkpoints_read records={records}");
                true
            }
            Err(error) => {
                log::info!("event=checkpoints_unread reason={:?}", error.to_string());
                false
            }
        }
    }

    /// Adds the records of all rows to those that this instance holds; returns their number.
    fn read_checkpoints(
        &self,
        store: &Store,
        reads: &mut CheckpointReads,
    ) -> Result<usize, StoreError> {
        let read = store.rows(STREAM_TABLE)?;
        let now = self.clock.now();
        let (mut records, mut expired, mut skipped) = (Vec::new(), Vec::new(), Vec::new());
        for row in read.rows {
            match decode_row(&row, read.now_ms) {
                Ok(of_row) if of_row.is_empty() => {
                    expired.push(ExpiredRow { key: row.key, version: row.version });
                }
                Ok(of_row) => records.extend(of_row),
                Err(reason) => {
                    skipped.push(SkippedEntry { key: row.key, version: row.version, reason });
                }
            }
        }
        for SkippedEntry { key, reason, .. } in reads.skipped.take_unlogged(&skipped) {
            log::warn!("event=row_skipped key={key} reason={reason:?}");
        }
        let count = records.len();
        let mut origins = lock(&self.stream_versions.origins);
        records.into_iter().for_each(|record| origins.record(now, record));
        drop(origins);
        self.note_checkpoints_read(StoreClock { read_at: now, now_ms: read.now_ms }, expired);
        Ok(count)
    }

    /// Has expired rows removed, except the own one: the instance may have written it since.
    fn note_checkpoints_read(&self, clock: StoreClock, mut expired: Vec<ExpiredRow>) {
        let own = self.checkpoint_key();
        expired.retain(|row| row.key != own);
        let has_expired = !expired.is_empty();
        lock(&self.stream_versions.checkpoints.own).note_read(clock, expired);
        if has_expired {
            self.run_checkpoints();
            self.stream_versions.checkpoints.changed.set();
        }
    }

    /// Returns the key of the row of this process.
    fn checkpoint_key(&self) -> String {
        format!("{}/{:016x}", self.settings.node, self.peers.run.0)
    }

    fn write_checkpoint(&self, row: &CheckpointRow) {
        let (key, value) = (self.checkpoint_key(), encode(row));
        let put = Change::Put { key: &key, value: &value };
        let began = self.clock.now();
        let written = self.store.change(STREAM_TABLE, &[put]);
        let took = self.clock.now().saturating_duration_since(began);
        let checkpoints = &self.stream_versions.checkpoints;
        match written {
            Ok(_) => {
                let written = lock(&checkpoints.own).note_written(took);
                let waited: IndexSet<SocketAddr> = written.iter().map(|(to, _)| *to).collect();
                self.confirm_writes(written);
                if took > EVENT_HOLD_MAX {
                    self.report_late_write(waited);
                }
            }
            Err(error) => {
                log::info!("event=checkpoint_unwritten reason={:?}", error.to_string());
                let waiting = lock(&checkpoints.own).note_write_failed();
                self.report_late_write(waiting);
            }
        }
        let dropped = lock(&checkpoints.own).take_dropped();
        if dropped > 0 {
            log::warn!("event=checkpoint_full dropped={dropped}");
        }
        checkpoints.written.notify_all();
    }

    /// Removes the own row, and has those removed that instances have left behind.
    fn remove_checkpoint(&self) {
        let checkpoints = &self.stream_versions.checkpoints;
        let key = self.checkpoint_key();
        match self.store.change(STREAM_TABLE, &[Change::Remove { key: &key }]) {
            Ok(_) => {
                self.read_checkpoints_logged(&self.store, &mut lock(&checkpoints.reads));
                lock(&checkpoints.own).note_removed();
            }
            Err(error) => log::info!("event=checkpoint_kept reason={:?}", error.to_string()),
        }
    }

    fn remove_expired_checkpoints(&self, rows: &[ExpiredRow]) {
        let unchanged: Vec<(&str, u64)> =
            rows.iter().map(|row| (row.key.as_str(), row.version)).collect();
        if let Err(error) = self.store.remove_unchanged(STREAM_TABLE, &unchanged) {
            log::info!("event=expired_checkpoints_kept reason={:?}", error.to_string());
        }
    }

    /// Does what the checkpoint needs now; returns whether the thread is to go on.
    fn step_checkpoints(&self) -> bool {
        let checkpoints = &self.stream_versions.checkpoints;
        let now = self.clock.now();
        let need = self.stream_versions.checkpoint_need(now);
        let is_writer = self.is_checkpoint_writer();
        let step = {
            let mut own = lock(&checkpoints.own);
            own.set_writer(is_writer);
            own.step(now, need, self.instances())
        };
        match step {
            CheckpointStep::Read => {
                self.read_checkpoints_logged(&self.store, &mut lock(&checkpoints.reads));
            }
            CheckpointStep::Write(row) => self.write_checkpoint(&row),
            CheckpointStep::Remove => self.remove_checkpoint(),
            CheckpointStep::RemoveExpired(rows) => self.remove_expired_checkpoints(&rows),
            CheckpointStep::Wait(time) => checkpoints.changed.wait(time),
            CheckpointStep::Done => return false,
        }
        true
    }
}

impl CheckpointReads {
    fn is_due(&self, now: Instant, instances: usize) -> bool {
        let factor = u32::try_from(instances).unwrap_or(u32::MAX);
        let interval = READ_INTERVAL_MIN.max(READ_INTERVAL_PER_INSTANCE.saturating_mul(factor));
        let interval = if self.has_failed { interval.max(FAILURE_BACKOFF) } else { interval };
        self.last.is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }
}

/// Returns the key of the stream that a request begins or resumes.
fn stream_key(request: &Request) -> StreamKey {
    let metadata = &request.metadata;
    let first = metadata.resumes.as_ref().unwrap_or(&metadata.id);
    StreamKey::of(request.team_name(), first)
}

/// Returns the records of a row that have not expired.
fn decode_row(row: &StoreRow, now_ms: u64) -> Result<Vec<StreamRecord>, String> {
    let decoded: CheckpointRow = decode(&row.value).map_err(|error| error.to_string())?;
    decoded.records(now_ms).map_err(|error| error.to_string())
}

/// Writes checkpoints until there is nothing to write or to remove, or the instance is stopped.
fn write_checkpoints(gateway: &Gateway) {
    let checkpoints = &gateway.stream_versions.checkpoints;
    while gateway.is_running() && gateway.step_checkpoints() {}
    checkpoints.is_writing.store(false, Ordering::SeqCst);
    // A record that was added in the meantime.
    if gateway.is_running() && !lock(&checkpoints.own).is_idle() {
        gateway.run_checkpoints();
    }
}
