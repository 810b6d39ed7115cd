//! Chooses the instance that is the home of a shard.

use crate::{
    names::{InstanceId, Tag, ZoneId},
    zone::{rendezvous::score, shard::ShardId},
};

/// An instance that may be a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the instance.
    pub id: InstanceId,
    /// Tag of the id.
    pub tag: Tag,
    /// Availability zone of the instance.
    pub zone: ZoneId,
}

/// Returns the home of `shard` among `live`: the first in rendezvous order, where instances of the shard's own zone
/// precede all others.
pub fn home_of<'c>(
    shard: ShardId,
    zone: Option<&ZoneId>,
    live: impl Iterator<Item = &'c Candidate>,
) -> Option<&'c Candidate> {
    let key = u64::from(shard.service.0) << 16 | u64::from(shard.number);
    let in_zone = |c: &Candidate| zone.is_none_or(|zone| c.zone == *zone);
    live.map(|c| (in_zone(c), score(key, c.tag, 1.0), c))
        .max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.id.cmp(&b.2.id)))
        .map(|(_, _, c)| c)
}
