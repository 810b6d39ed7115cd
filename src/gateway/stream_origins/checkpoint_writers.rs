//! Has records of streams written by the few instances that write the checkpoints of a large fleet, and writes for others
//! if this instance is one of them. `routing::checkpoint_requests` decides who writes a record and when it is sent again.

use std::{net::SocketAddr, sync::PoisonError, time::Instant};

use indexmap::{IndexMap, IndexSet};

use super::{messages::StreamDatagram, records::batches};
use crate::{
    gateway::Gateway,
    routing::{
        CheckpointNeed, CheckpointRequests, CheckpointWriters, EVENT_HOLD_MAX, SELF_WRITING_MAX,
        StreamKey, StreamRecord,
    },
    utils::sync::lock,
};

/// Keys in one datagram, which fit into one packet.
const KEYS_PER_DATAGRAM: usize = 100;

impl Gateway {
    /// Has the record of a stream written by a writer of the fleet.
    pub(super) fn request_write(&self, now: Instant, record: &StreamRecord) {
        lock(&self.stream_versions.checkpoints.requests).add(now, record.clone());
        self.request_due_writes();
        self.stream_versions.link.resend();
    }

    /// Sends the records that writers have not confirmed in time.
    pub(super) fn request_due_writes(&self) {
        let now = self.clock.now();
        let requests = &self.stream_versions.checkpoints.requests;
        if lock(requests).is_empty() {
            return;
        }
        let need = self.stream_versions.checkpoint_need(now);
        let (writers, own) = (self.checkpoint_writers(), self.own_address());
        let due = lock(requests).take_due(now, need, &writers);
        for (to, records) in batches(due) {
            if to == own {
                self.write_requested(now, &records, own);
            } else {
                self.send_to_instance(to, &StreamDatagram::Write(records));
            }
        }
    }

    fn send_to_instance(&self, to: SocketAddr, message: &StreamDatagram) {
        if let Some(socket) = self.stream_versions.link.socket() {
            socket.send(to, message);
        }
    }

    fn own_address(&self) -> SocketAddr {
        lock(&self.peers.candidates).own().address
    }

    /// Returns whether this instance is a writer, by its own list of instances. A list that is not complete yet does not
    /// show who is.
    pub(super) fn is_checkpoint_writer(&self) -> bool {
        self.peers.instances() > SELF_WRITING_MAX
            && self.checkpoint_writers().contains(self.own_address())
    }

    fn checkpoint_writers(&self) -> CheckpointWriters {
        let mut writers = lock(&self.stream_versions.checkpoints.writers);
        writers.update(&lock(&self.peers.candidates));
        writers.clone()
    }

    /// Waits until the record of a stream is written, or a short time has passed.
    pub(super) fn wait_for_writer(&self, key: StreamKey, need: CheckpointNeed) {
        let checkpoints = &self.stream_versions.checkpoints;
        let requests = lock(&checkpoints.requests);
        let holds = |requests: &mut CheckpointRequests| requests.holds_event(key, need);
        let waited =
            checkpoints.requests_written.wait_timeout_while(requests, EVENT_HOLD_MAX, holds);
        // The event is sent whatever ended the wait, and the next ones do not wait for a late writer.
        let (mut requests, result) = waited.unwrap_or_else(PoisonError::into_inner);
        if result.timed_out() {
            requests.note_late_writers_of(key);
        }
    }

    /// Tells the writers that the record of a stream need not be written any more.
    pub(super) fn note_complete_at_writers(&self, key: StreamKey) {
        let asked = lock(&self.stream_versions.checkpoints.requests).note_complete(key);
        let own = self.own_address();
        for writer in asked.into_iter().filter(|writer| *writer != own) {
            self.send_to_instance(writer, &StreamDatagram::Complete(key));
        }
    }

    /// Has records written to the own row that the instance at `from` asks for.
    pub(super) fn write_requested(&self, now: Instant, records: &[StreamRecord], from: SocketAddr) {
        let checkpoints = &self.stream_versions.checkpoints;
        let is_first = {
            let mut own = lock(&checkpoints.own);
            let is_first = |record: &&StreamRecord| own.add_requested(now, record, from);
            records.iter().filter(is_first).count() > 0
        };
        self.run_checkpoints();
        if is_first {
            checkpoints.changed.set();
        }
    }

    /// Confirms the streams in the last write to the instances that wait for it.
    pub(super) fn confirm_writes(&self, written: Vec<(SocketAddr, StreamKey)>) {
        let own = self.own_address();
        let mut by_instance: IndexMap<SocketAddr, Vec<StreamKey>> = IndexMap::new();
        for (to, key) in written {
            by_instance.entry(to).or_default().push(key);
        }
        for (to, keys) in by_instance {
            if to == own {
                self.note_written_by(own, &keys);
                continue;
            }
            for keys in keys.chunks(KEYS_PER_DATAGRAM) {
                self.send_to_instance(to, &StreamDatagram::Written(keys.to_vec()));
            }
        }
    }

    /// Tells the instances that wait for the last write that it may not have been made, or that it came too late for first
    /// events to wait for the next ones.
    pub(super) fn report_late_write(&self, waiting: IndexSet<SocketAddr>) {
        let own = self.own_address();
        for to in waiting {
            if to == own {
                self.note_late_writer(own);
            } else {
                self.send_to_instance(to, &StreamDatagram::WritesLate);
            }
        }
    }

    /// Notes that the instance at `writer` has written these streams.
    pub(super) fn note_written_by(&self, writer: SocketAddr, keys: &[StreamKey]) {
        let checkpoints = &self.stream_versions.checkpoints;
        let mut requests = lock(&checkpoints.requests);
        keys.iter().for_each(|key| requests.note_written(*key, writer));
        drop(requests);
        checkpoints.requests_written.notify_all();
    }

    /// Notes that the instance at `writer` could not write.
    pub(super) fn note_late_writer(&self, writer: SocketAddr) {
        let checkpoints = &self.stream_versions.checkpoints;
        lock(&checkpoints.requests).note_late(writer);
        checkpoints.requests_written.notify_all();
    }
}
