//! Records of streams that an instance of a large fleet has others write to their checkpoints.
//!
//! If each instance wrote its own row, each could write only rarely, and streams that began since would be unknown after
//! a loss of all instances. A few writers write often at any size of the fleet.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexSet;

use super::{
    Candidates, CheckpointNeed, InstanceInfo, RecordSend, SentRecords, StreamKey, StreamRecord,
};
use crate::{names::Tag, zone::rendezvous};

/// Number of instances that write the checkpoints of a large fleet. With one write each 50 ms they make 80 transactions a
/// second.
pub const CHECKPOINT_WRITERS: usize = 4;

/// Largest fleet in which each instance writes a checkpoint of its own.
pub const SELF_WRITING_MAX: usize = 10;

/// Longest time for which the first event of a stream waits until its record is written.
pub const EVENT_HOLD_MAX: Duration = Duration::from_millis(150);

/// Key by which all instances rank the writers.
const WRITERS_KEY: u64 = 0x6368_6563_6b70_6f69;

/// The writers, by one list of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CheckpointWriters {
    /// Version of the list.
    list: u64,
    writers: Vec<(Tag, SocketAddr)>,
}

/// The records that an instance has written by others.
#[derive(Debug)]
pub struct CheckpointRequests {
    sent: SentRecords,
    /// Writers that could not write in time when they were last heard of.
    late: IndexSet<SocketAddr>,
}

impl CheckpointWriters {
    /// Returns the writers of a fleet, which may include this instance: the strongest ones, since first events wait for
    /// them, and a small share of a core comes in parts with pauses between them.
    pub fn of(instances: &Candidates) -> CheckpointWriters {
        let mut ranked: Vec<(f32, f64, &InstanceInfo)> = instances
            .all()
            .iter()
            .map(|instance| (instance.cores, score(instance), instance))
            .collect();
        ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.total_cmp(&a.1)));
        let writers = ranked
            .into_iter()
            .take(CHECKPOINT_WRITERS)
            .map(|(_, _, instance)| (Tag::of(instance.node.as_str()), instance.address));
        CheckpointWriters { list: instances.version(), writers: writers.collect() }
    }

    /// Follows a change of the list; all instances are ranked only then.
    pub fn update(&mut self, instances: &Candidates) {
        if self.list != instances.version() {
            *self = CheckpointWriters::of(instances);
        }
    }

    /// Returns the writers by rank for a stream.
    pub fn by_rank(&self, key: StreamKey) -> Vec<SocketAddr> {
        let nodes = self.writers.iter().map(|(node, _)| (*node, 1.0));
        key.ranked(nodes).into_iter().map(|index| self.writers[index].1).collect()
    }

    /// Returns whether the instance at this address is a writer.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.writers.iter().any(|(_, writer)| *writer == address)
    }
}

impl Default for CheckpointRequests {
    fn default() -> CheckpointRequests {
        CheckpointRequests { sent: SentRecords::new(1), late: IndexSet::new() }
    }
}

impl CheckpointRequests {
    /// Adds the record of a stream that this instance carries.
    pub fn add(&mut self, now: Instant, record: StreamRecord) {
        self.sent.add(now, record);
    }

    /// Returns what is to be sent now.
    pub fn take_due(
        &mut self,
        now: Instant,
        need: CheckpointNeed,
        writers: &CheckpointWriters,
    ) -> Vec<RecordSend> {
        match need {
            CheckpointNeed::None => {
                *self = CheckpointRequests::default();
                Vec::new()
            }
            CheckpointNeed::Undecided => Vec::new(),
            CheckpointNeed::SeveralVersions => {
                self.sent.take_due(now, writers.list, |key| writers.by_rank(key))
            }
        }
    }

    /// Notes that a writer has written the record of a stream.
    pub fn note_written(&mut self, key: StreamKey, writer: SocketAddr) {
        self.late.swap_remove(&writer);
        self.sent.confirm(key, writer);
    }

    /// Notes that the writers that were asked for the record of a stream have not confirmed it in time.
    pub fn note_late_writers_of(&mut self, key: StreamKey) {
        self.late.extend(self.sent.receivers(key));
    }

    /// Notes that a write of this writer may not have been made, or came too late.
    pub fn note_late(&mut self, writer: SocketAddr) {
        self.late.insert(writer);
    }

    /// Notes that an instance has restarted. What it wrote before stays in the store, but nobody removes complete streams
    /// from it.
    pub fn note_restarted(&mut self, writer: SocketAddr) {
        self.late.swap_remove(&writer);
        self.sent.note_restarted(writer);
    }

    /// Removes the record of a stream whose caller has received it completely; returns the instances that it was sent to.
    pub fn note_complete(&mut self, key: StreamKey) -> Vec<SocketAddr> {
        self.sent.remove(key)
    }

    /// Returns whether the first event of a stream waits for the write of its record. It does not while the
    /// writer that was asked does not write in time.
    pub fn holds_event(&self, key: StreamKey, need: CheckpointNeed) -> bool {
        need == CheckpointNeed::SeveralVersions
            && self.sent.is_unconfirmed(key)
            && !self.sent.receivers(key).any(|writer| self.late.contains(&writer))
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}

/// Ranks instances of the same strength.
fn score(instance: &InstanceInfo) -> f64 {
    rendezvous::score(WRITERS_KEY, Tag::of(instance.node.as_str()), 1.0)
}
