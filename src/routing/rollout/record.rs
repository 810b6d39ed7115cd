//! State of a roll-out in the store. It outlives all instances, and its lease lets one instance at a time advance it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{RolloutOrder, Stage};
use crate::names::{NodeName, SoftwareVersion};

/// How long a controller holds a roll-out after its last renewal in the store. Another instance may take it over after
/// that. The lease spans three renewals, so that a lost one has no effect.
pub const ROLLOUT_LEASE: Duration = Duration::from_millis(3000);

/// A roll-out as stored in the row of its service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The order.
    pub order: RolloutOrder,
    /// When the order was first seen, by the store's clock in milliseconds.
    pub first_seen_ms: u64,
    /// The stage that it has reached.
    pub stage: Stage,
    /// Fencing number, which grows with each takeover.
    pub term: u64,
    /// The instance that holds the lease.
    pub holder: NodeName,
    /// When the holder last renewed the lease, by the store's clock in milliseconds.
    pub renewed_ms: u64,
    /// Versions of the service that get no requests: rolled back, replaced, or never proven.
    pub barred: Vec<SoftwareVersion>,
}

impl RolloutRecord {
    /// Returns whether another instance than `node` holds the lease at `now_ms` of the store's clock. The clock goes
    /// back if the store is restored from a copy.
    pub fn is_held_by_another(&self, node: &NodeName, now_ms: u64) -> bool {
        let age = Duration::from_millis(now_ms.saturating_sub(self.renewed_ms));
        self.holder != *node && self.renewed_ms <= now_ms && age < ROLLOUT_LEASE
    }

    /// Returns the record of a new order with the lease held by `holder`, given the record of the order before.
    pub fn first(
        order: RolloutOrder,
        holder: NodeName,
        now_ms: u64,
        former: Option<&RolloutRecord>,
    ) -> RolloutRecord {
        let mut barred = former.map_or_else(Vec::new, |former| former.barred.clone());
        if let Some(former) = former.filter(|former| former.stage != Stage::Succeeded) {
            barred.push(former.order.to.clone());
        }
        barred.retain(|version| *version != order.to);
        barred.dedup();
        let term = former.map_or(1, |former| former.term.saturating_add(1));
        let stage = Stage::Trial;
        RolloutRecord {
            order,
            first_seen_ms: now_ms,
            stage,
            term,
            holder,
            renewed_ms: now_ms,
            barred,
        }
    }
}
