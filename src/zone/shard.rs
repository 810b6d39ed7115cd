//! Shards: the engines of one service, in groups of bounded size, each with one home.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    configs::fleet::{BackendServer, Fleet},
    names::{ServiceId, Tag, ZoneId},
    zone::{engine::EngineSpec, rendezvous},
};

/// Most engines of a shard. A service with no more engines than this is one shard across its zones, so that one home
/// knows its whole load and enforces the load bound exactly.
pub const SHARD_ENGINES_MAX: usize = 32;

/// Identity of a shard: service and number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardId {
    /// Tag of the service.
    pub service: Tag,
    /// Number within the service; stable while its zones and their numbers of groups are.
    pub number: u16,
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.service, self.number)
    }
}

/// A group of engines with one home.
#[derive(Debug, Clone, PartialEq)]
pub struct Shard {
    /// Identity.
    pub id: ShardId,
    /// Availability zone of all its engines; none for a shard across zones.
    pub zone: Option<ZoneId>,
    /// Its engines.
    pub engines: Vec<EngineSpec>,
    /// Sum of its engines' weights, by which chats rank shards.
    pub weight: f64,
}

/// Returns the shards of `service`.
///
/// Engines that operators are removing stay in their shard, marked as leaving, so that their requests in flight are
/// still counted.
pub fn shards_of(fleet: &Fleet, service: &ServiceId) -> Vec<Shard> {
    let servers: Vec<&BackendServer> = fleet.servers_of(service).collect();
    let specs = engine_specs(fleet, service, &servers);
    if specs.len() <= SHARD_ENGINES_MAX {
        return vec![shard(service, 0, None, specs)];
    }
    let mut by_zone: BTreeMap<&ZoneId, Vec<EngineSpec>> = BTreeMap::new();
    for (server, spec) in servers.iter().zip(specs) {
        by_zone.entry(&server.zone).or_default().push(spec);
    }
    let mut shards = Vec::new();
    for (zone, specs) in by_zone {
        for group in split(specs) {
            let number = shards.len() as u16;
            shards.push(shard(service, number, Some(zone.clone()), group));
        }
    }
    shards
}

fn shard(
    service: &ServiceId,
    number: u16,
    zone: Option<ZoneId>,
    engines: Vec<EngineSpec>,
) -> Shard {
    let weight = engines.iter().filter(|e| !e.leaving).map(|e| e.weight).sum();
    Shard { id: ShardId { service: service.tag(), number }, zone, engines, weight }
}

/// Splits the engines of a zone into groups. As long as no group is full, an engine's group depends only on its own id
/// and on the number of groups.
fn split(specs: Vec<EngineSpec>) -> Vec<Vec<EngineSpec>> {
    let count = specs.len().div_ceil(SHARD_ENGINES_MAX);
    let mut groups = vec![Vec::new(); count];
    for spec in specs {
        let ranked =
            rendezvous::ranked(u64::from(spec.tag.0), (0..count).map(|n| (Tag(n as u32), 1.0)));
        let fits = ranked.iter().copied().find(|&at| groups[at].len() < SHARD_ENGINES_MAX);
        groups[fits.unwrap_or(0)].push(spec);
    }
    groups
}

/// Returns the engines with their weights: their zone's share, divided in proportion to the engines' own weights.
fn engine_specs(fleet: &Fleet, service: &ServiceId, servers: &[&BackendServer]) -> Vec<EngineSpec> {
    let zone_weight = |zone: &ZoneId| -> f64 {
        servers.iter().filter(|b| b.zone == *zone && !b.leaving).map(|b| b.weight).sum()
    };
    let share = |zone: &ZoneId| fleet.shares_of(service).find(|s| s.zone == *zone).map(|s| s.share);
    let total = servers.len() as f64;
    let spec = |server: &&BackendServer| {
        let weight = match share(&server.zone) {
            Some(share) => {
                share * total * server.weight / zone_weight(&server.zone).max(server.weight)
            }
            None => server.weight,
        };
        EngineSpec {
            tag: server.id.tag(),
            weight,
            capacity: server.capacity,
            leaving: server.leaving,
        }
    };
    servers.iter().map(spec).collect()
}
