//! Status of the instances, for operators.

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

/// Status of one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Id of the instance.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Active revision; zero if there is none.
    pub revision: Revision,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Requests in flight.
    pub requests: u32,
    /// Permits that its entry holds.
    pub permits: usize,
    /// Shards whose home it is or recently was.
    pub shards: Vec<NamedShard>,
}

/// A shard, with ids in place of tags.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NamedShard {
    /// Id of the service.
    pub service: String,
    /// Number of the shard.
    pub number: u16,
    /// Whether the instance is the shard's home; if not, it holds a replica of the shard's chat locations, or still
    /// grants permits while the instances disagree on the home.
    pub is_home: bool,
    /// Most permits that one engine may have now.
    pub bound: u32,
    /// Requests in the queue.
    pub queued: usize,
    /// Chats whose last engine is known.
    pub remembered: usize,
    /// Engines.
    pub engines: Vec<NamedEngine>,
    /// State of the orders to the engines, if the instance sends them.
    pub orders: Option<OrdersStatus>,
}

/// An engine, with its id in place of the tag.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NamedEngine {
    /// Id of the engine.
    pub id: String,
    /// Permits granted and not released.
    pub permits: u32,
    /// Load that it last reported, in requests.
    pub reported: Option<u32>,
    /// `ready`, `leaving` or `suspect`.
    pub state: String,
}

/// Status of the fleet in the view of one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Status of the instances that responded.
    pub instances: Vec<InstanceStatus>,
    /// Instances that did not respond.
    pub silent: Vec<InstanceId>,
}

/// Returns the status of this instance.
pub fn instance_status(shared: &Shared) -> InstanceStatus {
    let settings = &shared.settings;
    InstanceStatus {
        id: settings.id.clone(),
        zone: settings.zone.clone(),
        revision: shared.revision(),
        ready: shared.is_ready(),
        draining: shared.drain.is_draining(),
        requests: shared.usage.requests(),
        permits: shared.permit_client.held(),
        shards: shared.homes.status().into_iter().map(|shard| named_shard(shared, shard)).collect(),
    }
}

fn named_shard(shared: &Shared, shard: ShardStatus) -> NamedShard {
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

/// Requests the status of every instance in the membership list.
pub fn fleet_status(shared: &Shared) -> FleetStatus {
    let peers: Vec<_> =
        lock(&shared.membership).peers().map(|p| (p.candidate.id.clone(), p.address)).collect();
    let mut status = FleetStatus { instances: vec![instance_status(shared)], silent: Vec::new() };
    for (id, address) in peers {
        match shared.peers.call::<InstanceStatus>(Purpose::Operators, address, STATUS_PATH, &()) {
            Ok(instance) => status.instances.push(instance),
            Err(error) => {
                log::debug!("no status from {id}: {error}");
                status.silent.push(id);
            }
        }
    }
    status.instances.sort_by(|a, b| a.id.cmp(&b.id));
    status.silent.sort();
    status
}
