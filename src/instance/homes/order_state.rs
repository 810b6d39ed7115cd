//! State of the orders to the engines of each shard.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    contract::{
        lease::Lease,
        orders::{Progress, Rollout},
    },
    utils::sync::lock,
    zone::shard::ShardId,
};

/// State of the orders of one shard.
pub(super) struct ShardOrders {
    /// Lease under which orders are sent.
    pub(super) lease: Lease,
    /// When this instance last tried to acquire or renew the lease.
    pub(super) last_renewal: Option<Instant>,
    /// Since when this instance has held the lease without interruption.
    pub(super) held_since: Option<Instant>,
    /// When the status of the engines was last checked.
    pub(super) last_checked: Option<Instant>,
    /// Progress of the rollout to the shard's engines.
    pub(super) rollout: Rollout,
    /// When this instance was last the shard's home.
    pub(super) last_home_at: Instant,
}

/// State of the orders of one instance.
#[derive(Default)]
pub struct Orders {
    shards: Mutex<Shards>,
}

#[derive(Default)]
struct Shards {
    idle: HashMap<ShardId, ShardOrders>,
    /// Last status of the shards that are being processed, for operators.
    in_progress: HashMap<ShardId, OrdersStatus>,
}

/// A shard's rollout as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersStatus {
    /// Fencing number under which orders are sent; `None` while the lease is not held.
    pub fencing: Option<u64>,
    /// Progress of the rollout.
    pub progress: Progress,
}

impl Orders {
    /// Returns the status of a shard's rollout, if this instance keeps state for its orders.
    pub fn status(&self, shard: ShardId, now: Instant) -> Option<OrdersStatus> {
        let shards = lock(&self.shards);
        let idle = shards.idle.get(&shard).map(|orders| orders.status(now));
        idle.or_else(|| shards.in_progress.get(&shard).copied())
    }

    /// Takes the state of a shard out for processing. One thread processes; others only read the status.
    pub(super) fn take(&self, shard: ShardId, now: Instant) -> Option<ShardOrders> {
        let mut shards = lock(&self.shards);
        let orders = shards.idle.remove(&shard)?;
        shards.in_progress.insert(shard, orders.status(now));
        Some(orders)
    }

    /// Puts the state of a shard back after processing.
    pub(super) fn put(&self, shard: ShardId, orders: ShardOrders) {
        let mut shards = lock(&self.shards);
        shards.in_progress.remove(&shard);
        shards.idle.insert(shard, orders);
    }

    /// Evicts the shards that have had another home for `retention`; until then the home may move back.
    pub(super) fn evict_moved(&self, now: Instant, retention: Duration) {
        let mut shards = lock(&self.shards);
        shards.idle.retain(|_, orders| now.duration_since(orders.last_home_at) < retention);
    }
}

impl ShardOrders {
    fn status(&self, now: Instant) -> OrdersStatus {
        OrdersStatus { fencing: self.lease.fencing(now), progress: self.rollout.progress() }
    }
}
