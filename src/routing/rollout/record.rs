//! What the store keeps of a roll-out, so that it outlives all instances and one at a time takes it further.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{RolloutOrder, Stage};
use crate::names::{NodeName, SoftwareVersion};

/// How long the instance that takes a roll-out further holds it after it has last said so in the store; another one may
/// take it over then. Three renewals, so that one that is lost changes nothing.
pub const ROLLOUT_LEASE: Duration = Duration::from_millis(3000);

/// A roll-out as the store keeps it, in a row of its service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The order.
    pub order: RolloutOrder,
    /// When it was first seen, by the store's clock in milliseconds.
    pub first_seen_ms: u64,
    /// How far it has come.
    pub stage: Stage,
    /// Fencing number: grows with each instance that takes it over.
    pub term: u64,
    /// The instance that holds it.
    pub holder: NodeName,
    /// When that one last said so, by the store's clock in milliseconds.
    pub renewed_ms: u64,
    /// Versions of the service that get nothing: rolled back, replaced, or never proven.
    pub barred: Vec<SoftwareVersion>,
}

impl RolloutRecord {
    /// Returns whether another instance than `node` holds it at `now_ms` of the store's clock, which may go back when the
    /// store does.
    pub fn is_held_by_another(&self, node: &NodeName, now_ms: u64) -> bool {
        let age = Duration::from_millis(now_ms.saturating_sub(self.renewed_ms));
        self.holder != *node && self.renewed_ms <= now_ms && age < ROLLOUT_LEASE
    }

    /// Returns the record of a new order, which `holder` takes up, after the record of the one before.
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
        let term = former.map_or(1, |former| former.term + 1);
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
