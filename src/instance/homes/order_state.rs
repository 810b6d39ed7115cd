//! How far the orders to the engines of each shard have come.

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

/// The orders of one shard.
pub(super) struct ShardOrders {
    /// Lease under which orders are given.
    pub(super) lease: Lease,
    /// When the lease was last renewed or asked for.
    pub(super) last_renewal: Option<Instant>,
    /// When this instance first held the lease, in a row.
    pub(super) held_since: Option<Instant>,
    /// When the engines were last looked at.
    pub(super) last_checked: Option<Instant>,
    /// How far the rollout has come.
    pub(super) rollout: Rollout,
    /// When this instance was last the shard's home.
    pub(super) last_home_at: Instant,
}

/// The orders of one instance.
#[derive(Default)]
pub struct Orders {
    shards: Mutex<Shards>,
}

#[derive(Default)]
struct Shards {
    idle: HashMap<ShardId, ShardOrders>,
    /// What operators are shown of the shards that are being worked on: as it was before.
    in_progress: HashMap<ShardId, OrdersStatus>,
}

/// A shard's rollout as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersStatus {
    /// Fencing number under which orders are given; none: the lease is not held.
    pub fencing: Option<u64>,
    /// How far the rollout has come.
    pub progress: Progress,
}

impl Orders {
    /// Returns a shard's rollout, if this instance gives its orders.
    pub fn status(&self, shard: ShardId, now: Instant) -> Option<OrdersStatus> {
        let shards = lock(&self.shards);
        let idle = shards.idle.get(&shard).map(|orders| orders.status(now));
        idle.or_else(|| shards.in_progress.get(&shard).copied())
    }

    /// Takes a shard's orders out while they are worked on: one thread works, others only look.
    pub(super) fn take(&self, shard: ShardId, now: Instant) -> Option<ShardOrders> {
        let mut shards = lock(&self.shards);
        let orders = shards.idle.remove(&shard)?;
        shards.in_progress.insert(shard, orders.status(now));
        Some(orders)
    }

    /// Puts a shard's orders back.
    pub(super) fn put(&self, shard: ShardId, orders: ShardOrders) {
        let mut shards = lock(&self.shards);
        shards.in_progress.remove(&shard);
        shards.idle.insert(shard, orders);
    }

    /// Forgets the shards that have had another home for `retention`; a home may move back.
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
