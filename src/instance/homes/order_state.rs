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
    pub(super) renewed: Option<Instant>,
    /// When this instance first held the lease, in a row.
    pub(super) held_since: Option<Instant>,
    /// When the engines were last looked at.
    pub(super) looked: Option<Instant>,
    /// How far the rollout has come.
    pub(super) rollout: Rollout,
    /// When this instance was last the shard's home.
    pub(super) last_home: Instant,
}

/// The orders of one instance.
#[derive(Default)]
pub struct Orders {
    shards: Mutex<HashMap<ShardId, ShardOrders>>,
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
        let orders = shards.get(&shard)?;
        Some(OrdersStatus {
            fencing: orders.lease.fencing(now),
            progress: orders.rollout.progress(),
        })
    }

    /// Takes a shard's orders out while they are worked on: one thread works, others only look.
    pub(super) fn take(&self, shard: ShardId) -> Option<ShardOrders> {
        lock(&self.shards).remove(&shard)
    }

    /// Puts a shard's orders back.
    pub(super) fn put(&self, shard: ShardId, orders: ShardOrders) {
        lock(&self.shards).insert(shard, orders);
    }

    /// Forgets the shards that have had another home for `linger`; a home may move back.
    pub(super) fn forget_moved(&self, now: Instant, linger: Duration) {
        lock(&self.shards).retain(|_, orders| now.duration_since(orders.last_home) < linger);
    }
}
