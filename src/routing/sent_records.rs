//! The records that an instance sends to others, until enough of them have confirmed each.
//!
//! A record that is sent may be lost: its datagram, or with it the instance that receives it. It is sent again until
//! enough of the first instances by rank hold it. An instance that does not confirm is passed over for a while, and the
//! next one by rank receives the record too.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::{StreamKey, StreamRecord};

/// Delay before a record is sent again for the first time, doubled with each further time: some round trips between
/// zones plus a scheduling delay on a slow processor.
const RESEND_DELAY_FIRST: Duration = Duration::from_millis(100);

/// Longest such delay.
const RESEND_DELAY_MAX: Duration = Duration::from_secs(1);

/// Sends without a confirmation after which an instance counts as silent.
const SENDS_UNTIL_SILENT: u32 = 3;

/// Time for which a silent instance is passed over.
const SILENCE_DURATION: Duration = Duration::from_secs(5);

/// Maximum number of silent instances that a record is sent to if the others are too few, for each copy.
const SILENT_TRIED_PER_COPY: usize = 2;

/// Maximum number of records that are sent again. The oldest ones are dropped beyond it.
const RECORDS_MAX: usize = 10_000;

/// A record that is to be sent to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordSend {
    /// The instance.
    pub to: SocketAddr,
    /// The record.
    pub record: StreamRecord,
}

/// A copy of a record at one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct RecordCopy {
    sends: u32,
    /// When it is sent again; `None` before it was sent.
    resend_at: Option<Instant>,
    is_confirmed: bool,
}

#[derive(Debug)]
struct SentRecord {
    record: StreamRecord,
    expires_at: Instant,
    copies: IndexMap<SocketAddr, RecordCopy>,
    /// Version of the list of instances at which enough instances have confirmed the record.
    settled_at: Option<u64>,
}

/// The records of an instance and who has confirmed them.
#[derive(Debug)]
pub struct SentRecords {
    /// Number of instances that are to confirm each.
    copies: usize,
    records: IndexMap<StreamKey, SentRecord>,
    /// Instances that do not confirm, and until when they are passed over.
    silent: IndexMap<SocketAddr, Instant>,
}

impl RecordCopy {
    fn is_due(&self, now: Instant) -> bool {
        !self.is_confirmed && self.resend_at.is_none_or(|at| at <= now)
    }

    fn note_sent(&mut self, now: Instant) {
        let factor = 1 << self.sends.min(16);
        self.resend_at = Some(now + (RESEND_DELAY_FIRST * factor).min(RESEND_DELAY_MAX));
        self.sends += 1;
    }

    fn is_silent(&self) -> bool {
        !self.is_confirmed && self.sends >= SENDS_UNTIL_SILENT
    }
}

impl SentRecords {
    /// Returns an empty set of records, each of which `copies` instances are to hold.
    pub fn new(copies: usize) -> SentRecords {
        SentRecords { copies, records: IndexMap::new(), silent: IndexMap::new() }
    }

    /// Adds a record, which is due at once.
    pub fn add(&mut self, now: Instant, record: StreamRecord) {
        if self.records.len() >= RECORDS_MAX {
            self.records.shift_remove_index(0);
        }
        let expires_at = now + record.ttl;
        let (copies, settled_at) = (IndexMap::new(), None);
        self.records.insert(record.key, SentRecord { record, expires_at, copies, settled_at });
    }

    /// Notes that an instance holds the record of a stream.
    pub fn confirm(&mut self, key: StreamKey, holder: SocketAddr) {
        self.silent.swap_remove(&holder);
        if let Some(sent) = self.records.get_mut(&key) {
            sent.copies.entry(holder).or_default().is_confirmed = true;
        }
    }

    /// Notes that an instance has restarted, and holds no records any more.
    pub fn note_restarted(&mut self, holder: SocketAddr) {
        self.silent.swap_remove(&holder);
        for sent in self.records.values_mut() {
            if sent.copies.swap_remove(&holder).is_some() {
                sent.settled_at = None;
            }
        }
    }

    /// Returns what is to be sent now. `instances` is the version of the list of instances, and `by_rank` returns the
    /// others by rank for a stream.
    pub fn take_due(
        &mut self,
        now: Instant,
        instances: u64,
        by_rank: impl Fn(StreamKey) -> Vec<SocketAddr>,
    ) -> Vec<RecordSend> {
        self.records.retain(|_, sent| now < sent.expires_at);
        self.silent.retain(|_, until| now < *until);
        let mut due = Vec::new();
        for sent in self.records.values_mut() {
            if sent.settled_at == Some(instances) {
                continue;
            }
            self.silent.extend(sent.note_silent(now));
            let holders = holders(&by_rank(sent.record.key), self.copies, &self.silent);
            let is_confirmed = |holder: &&SocketAddr| {
                sent.copies.get(*holder).is_some_and(|copy| copy.is_confirmed)
            };
            if holders.iter().filter(is_confirmed).count() >= holders.len().min(self.copies) {
                sent.settled_at = Some(instances);
                continue;
            }
            due.extend(holders.into_iter().filter_map(|to| sent.send(now, to)));
        }
        due
    }

    /// Removes a record; returns the instances that it was sent to.
    pub fn remove(&mut self, key: StreamKey) -> Vec<SocketAddr> {
        let removed = self.records.shift_remove(&key);
        removed.into_iter().flat_map(|sent| sent.copies.into_keys()).collect()
    }

    /// Returns whether there is a record of the stream, and no instance has confirmed it.
    pub fn is_unconfirmed(&self, key: StreamKey) -> bool {
        let sent = self.records.get(&key);
        sent.is_some_and(|sent| !sent.copies.values().any(|copy| copy.is_confirmed))
    }

    /// Returns the instances that the record of a stream was sent to.
    pub fn receivers(&self, key: StreamKey) -> impl Iterator<Item = SocketAddr> {
        self.records.get(&key).into_iter().flat_map(|sent| sent.copies.keys().copied())
    }

    /// Returns the number of records that not enough instances have confirmed.
    pub fn unsettled(&self) -> usize {
        self.records.values().filter(|sent| sent.settled_at.is_none()).count()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl SentRecord {
    /// Returns the instances that have not confirmed the record in time, with the end of their silence. Each is tried
    /// once more then.
    fn note_silent(&mut self, now: Instant) -> Vec<(SocketAddr, Instant)> {
        let due = self.copies.iter_mut().filter(|(_, copy)| copy.is_silent() && copy.is_due(now));
        due.map(|(holder, copy)| {
            copy.sends = SENDS_UNTIL_SILENT - 1;
            (*holder, now + SILENCE_DURATION)
        })
        .collect()
    }

    fn send(&mut self, now: Instant, to: SocketAddr) -> Option<RecordSend> {
        let copy = self.copies.entry(to).or_default();
        if !copy.is_due(now) {
            return None;
        }
        copy.note_sent(now);
        let ttl = self.expires_at.saturating_duration_since(now);
        Some(RecordSend { to, record: StreamRecord { ttl, ..self.record.clone() } })
    }
}

/// Returns the first instances by rank that are not silent. Where these are too few, silent ones are tried as well: some
/// may be silent by chance.
fn holders(
    by_rank: &[SocketAddr],
    copies: usize,
    silent: &IndexMap<SocketAddr, Instant>,
) -> IndexSet<SocketAddr> {
    let is_silent = |holder: &&SocketAddr| silent.contains_key(*holder);
    let responsive = by_rank.iter().filter(|holder| !is_silent(holder));
    let mut holders: IndexSet<SocketAddr> = responsive.take(copies).copied().collect();
    if holders.len() < copies {
        holders.extend(by_rank.iter().filter(is_silent).take(SILENT_TRIED_PER_COPY * copies));
    }
    holders
}
