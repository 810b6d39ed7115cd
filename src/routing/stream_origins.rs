//! At which software version streams began, as far as this instance knows.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began it. A caller takes
//! its stream up at any instance; the one that began it records the version at a few instances, which rendezvous hashing
//! finds by the stream's key.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Candidates, InstanceInfo, stream_retention::RETENTION_MAX};
use crate::{
    names::{ServiceName, SoftwareVersion, Tag},
    units::bounded_time,
    zone::rendezvous,
};

/// Number of instances that hold the record of a stream beside the one that made it: two of them may be lost at once.
pub const HOLDERS: usize = 3;

/// Maximum number of records that an instance holds. The oldest ones are dropped beyond it.
const RECORDS_MAX: usize = 100_000;

/// Identifies a stream: by the team of its caller and the id of the attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of a stream.
    pub fn of(team: &str, attempt: &str) -> StreamKey {
        // The length keeps a team's name apart from the id that follows it.
        StreamKey(xxh3_64(format!("{} {team} {attempt}", team.len()).as_bytes()))
    }

    /// Returns the other instances by rank: the first [`HOLDERS`] that respond hold the record of the stream. All
    /// instances rank each other in the same order.
    pub fn others_by_rank<'c>(&self, instances: &'c Candidates) -> Vec<&'c InstanceInfo> {
        let own = &instances.own().node;
        let score = |instance: &InstanceInfo| {
            rendezvous::score(self.0, Tag::of(instance.node.as_str()), 1.0)
        };
        let others = instances.all().iter().filter(|instance| instance.node != *own);
        let mut ranked: Vec<(f64, &InstanceInfo)> = others.map(|i| (score(i), i)).collect();
        ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Returns the indices of `nodes` by rank for the stream.
    pub fn ranked(&self, nodes: impl Iterator<Item = (Tag, f64)>) -> Vec<usize> {
        rendezvous::ranked(self.0, nodes)
    }
}

/// Service and software version of the server that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Tag of the service.
    pub service: Tag,
    /// The version; `None` if the server states none.
    pub version: Option<SoftwareVersion>,
}

impl StreamOrigin {
    /// Returns the origin of a stream that a server of this service and version began.
    pub fn new(service: &ServiceName, version: Option<SoftwareVersion>) -> StreamOrigin {
        StreamOrigin { service: Tag::of(service.as_str()), version }
    }

    /// Returns the version if the stream began at `service` and the server stated one.
    pub fn version_at(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        self.version.as_ref().filter(|_| self.service == Tag::of(service.as_str()))
    }
}

/// A record of a stream, as instances send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// How long its caller may still take it up.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub ttl: Duration,
}

/// The records that an instance holds.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: IndexMap<StreamKey, (StreamOrigin, Instant)>,
    /// Keys in the order in which they were recorded.
    order: VecDeque<StreamKey>,
}

impl StreamOrigins {
    /// Adds a record. A stream that is known keeps its origin.
    pub fn record(&mut self, now: Instant, record: StreamRecord) {
        self.prune(now);
        let StreamRecord { key, origin, ttl } = record;
        let expires_at = now + ttl.min(RETENTION_MAX);
        if self.origin(now, key).is_some() {
            return;
        }
        if self.records.insert(key, (origin, expires_at)).is_none() {
            self.order.push_back(key);
        }
    }

    /// Returns where a stream began, if that is known.
    pub fn origin(&self, now: Instant, key: StreamKey) -> Option<&StreamOrigin> {
        let (origin, expires_at) = self.records.get(&key)?;
        (now < *expires_at).then_some(origin)
    }

    /// Returns the number of records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no records are held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops the oldest records that have expired, or that are too many.
    fn prune(&mut self, now: Instant) {
        while let Some(key) = self.order.front() {
            let has_expired = self.records.get(key).is_none_or(|(_, until)| *until <= now);
            if !has_expired && self.order.len() < RECORDS_MAX {
                break;
            }
            self.records.swap_remove(key);
            self.order.pop_front();
        }
    }
}
