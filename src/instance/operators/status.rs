//! What operators see of the instances.

use serde::{Deserialize, Serialize};

use crate::{
    instance::{
        homes::{order_state::OrdersStatus, shards::ShardStatus},
        shared::Shared,
    },
    link::{traffic::Purpose, wire::STATUS_PATH},
    names::{InstanceId, ZoneId},
    units::Revision,
    utils::sync::lock,
};

/// One instance as operators see it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Id.
    pub id: InstanceId,
    /// Zone.
    pub zone: ZoneId,
    /// Revision in force; zero: none.
    pub revision: Revision,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Requests in flight.
    pub requests: u32,
    /// Permits its entry holds.
    pub permits: usize,
    /// Shards whose home it is, or was a moment ago.
    pub shards: Vec<NamedShard>,
}

/// A shard with names in place of tags.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NamedShard {
    /// Service.
    pub service: String,
    /// Number of the shard.
    pub number: u16,
    /// Whether the instance is the shard's home; else it holds a replica of its memory, or grants
    /// while routers disagree.
    pub is_home: bool,
    /// Most permits of one engine now.
    pub bound: u32,
    /// Requests waiting.
    pub queued: usize,
    /// Chats remembered.
    pub remembered: usize,
    /// Engines.
    pub engines: Vec<NamedEngine>,
    /// Orders to the engines, if the instance gives them.
    pub orders: Option<OrdersStatus>,
}

/// An engine with its name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NamedEngine {
    /// Id.
    pub id: String,
    /// Permits in force.
    pub permits: u32,
    /// Load it last reported.
    pub reported: Option<u32>,
    /// `ready`, `leaving` or `suspect`.
    pub state: String,
}

/// The fleet as one instance sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Instances that answered.
    pub instances: Vec<InstanceStatus>,
    /// Instances that did not answer.
    pub silent: Vec<InstanceId>,
}

/// Returns this instance's own status.
pub fn own(shared: &Shared) -> InstanceStatus {
    let settings = &shared.settings;
    InstanceStatus {
        id: settings.id.clone(),
        zone: settings.zone.clone(),
        revision: shared.revision(),
        ready: shared.is_ready(),
        draining: shared.drain.is_draining(),
        requests: shared.usage.requests(),
        permits: shared.desk.held(),
        shards: shared.homes.status().into_iter().map(|shard| named(shared, shard)).collect(),
    }
}

fn named(shared: &Shared, shard: ShardStatus) -> NamedShard {
    let snapshot = shared.snapshot.load_full();
    let view = snapshot.as_ref().and_then(|s| s.service_by_tag(shard.shard.service));
    let service =
        view.map_or_else(|| shard.shard.service.to_string(), |v| v.service.id.to_string());
    let engines = shard.engines.iter().map(|engine| {
        let server = snapshot.as_ref().and_then(|s| s.server(engine.tag));
        let state = match (engine.leaving, engine.suspect) {
            (true, _) => "leaving",
            (false, true) => "suspect",
            (false, false) => "ready",
        };
        NamedEngine {
            id: server.map_or_else(|| engine.tag.to_string(), |b| b.id.to_string()),
            permits: engine.permits,
            reported: engine.reported,
            state: state.to_owned(),
        }
    });
    NamedShard {
        service,
        number: shard.shard.number,
        is_home: shard.is_home,
        bound: shard.bound,
        queued: shard.queued,
        remembered: shard.remembered,
        engines: engines.collect(),
        orders: shared.orders.status(shard.shard, shared.clock.now()),
    }
}

/// Asks every known instance for its status.
pub fn fleet(shared: &Shared) -> FleetStatus {
    let peers: Vec<_> =
        lock(&shared.membership).peers().map(|p| (p.candidate.id.clone(), p.address)).collect();
    let mut status = FleetStatus { instances: vec![own(shared)], silent: Vec::new() };
    for (id, address) in peers {
        match shared.peers.call::<InstanceStatus>(Purpose::Operators, address, STATUS_PATH, &()) {
            Ok(answer) => status.instances.push(answer),
            Err(fault) => {
                log::debug!("status: {fault}");
                status.silent.push(id);
            }
        }
    }
    status.instances.sort_by(|a, b| a.id.cmp(&b.id));
    status.silent.sort();
    status
}
