//! Orders that operators give beside the intent: evacuations of availability zones, and rollouts of versions.
//!
//! The backend servers of an evacuated zone receive no new requests until the order is withdrawn; operators evacuate a
//! zone for maintenance or before they lose it.
//!
//! Orders are read together with the intent and relayed between instances like it, so that they cost no calls of their
//! own. The version of the store at which a snapshot was read tells which of two snapshots is the newer one.

use std::time::Instant;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{RolloutOrder, StoreVersion, store_version::SETTLING_TIME};
use crate::names::{ServiceName, ZoneName};

/// The orders in the store at one of its versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersSnapshot {
    /// Version of the store at which the orders were read.
    pub as_of: StoreVersion,
    /// Evacuated zones.
    pub zones: IndexSet<ZoneName>,
    /// Rollouts by service.
    pub rollouts: IndexMap<ServiceName, RolloutOrder>,
    /// Services whose rollout order in the store cannot be parsed: the previous order stays active.
    #[serde(default)]
    pub unparsed: IndexSet<ServiceName>,
}

/// An order that operators give or withdraw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderChange {
    /// The evacuation of a zone is ordered or withdrawn.
    Zone {
        /// The zone.
        zone: ZoneName,
        /// Whether the zone is to be evacuated.
        evacuate: bool,
    },
    /// A rollout of a service is ordered or withdrawn.
    Rollout {
        /// The service.
        service: ServiceName,
        /// The order; `None` if it is withdrawn.
        order: Option<RolloutOrder>,
    },
    /// The rollout order of a service cannot be parsed.
    Unparsed(ServiceName),
}

/// Orders of operators as an instance knows them.
#[derive(Debug, Default)]
pub struct OperatorOrders {
    newest: OrdersSnapshot,
    /// Orders of the previous era of the store, which operators may not have had time to write again.
    former: OrdersSnapshot,
    former_until: Option<Instant>,
}

impl OrdersSnapshot {
    /// Returns the snapshot as of `as_of` that `changes` make out of no orders.
    pub fn from_changes(
        as_of: StoreVersion,
        changes: impl IntoIterator<Item = OrderChange>,
    ) -> OrdersSnapshot {
        let mut snapshot = OrdersSnapshot { as_of, ..OrdersSnapshot::default() };
        changes.into_iter().for_each(|change| snapshot.apply(change));
        snapshot
    }

    fn apply(&mut self, change: OrderChange) {
        match change {
            OrderChange::Zone { zone, evacuate: true } => {
                self.zones.insert(zone);
            }
            OrderChange::Zone { zone, evacuate: false } => {
                self.zones.swap_remove(&zone);
            }
            OrderChange::Rollout { service, order: Some(order) } => {
                self.unparsed.swap_remove(&service);
                self.rollouts.insert(service, order);
            }
            OrderChange::Rollout { service, order: None } => {
                self.unparsed.swap_remove(&service);
                self.rollouts.swap_remove(&service);
            }
            OrderChange::Unparsed(service) => {
                self.unparsed.insert(service);
            }
        }
    }

    /// Keeps the orders of `before` whose new value cannot be parsed; returns whether there are any.
    fn keep_unparsed(&mut self, before: &OrdersSnapshot) -> bool {
        let mut kept = false;
        for service in &self.unparsed {
            let Some(order) = before.rollouts.get(service) else { continue };
            if !self.rollouts.contains_key(service) {
                self.rollouts.insert(service.clone(), order.clone());
                kept = true;
            }
        }
        kept
    }
}

impl OperatorOrders {
    /// Takes a snapshot that was read or received; returns whether it is newer than the current one.
    pub fn take(&mut self, now: Instant, mut snapshot: OrdersSnapshot) -> bool {
        if snapshot.as_of == self.newest.as_of {
            // The instance that sent it may know the order before one that cannot be parsed.
            return self.newest.keep_unparsed(&snapshot);
        }
        if snapshot.as_of < self.newest.as_of {
            return false;
        }
        snapshot.keep_unparsed(&self.newest);
        let has_any = self.newest.as_of != StoreVersion::default();
        if has_any && snapshot.as_of.era > self.newest.as_of.era {
            self.former = self.active(now);
            self.former_until = Some(now + SETTLING_TIME);
        }
        self.newest = snapshot;
        true
    }

    /// Applies the changes up to the version `as_of`; returns whether that is newer than the current snapshot.
    pub fn apply_changes(
        &mut self,
        now: Instant,
        as_of: StoreVersion,
        changes: impl IntoIterator<Item = OrderChange>,
    ) -> bool {
        let mut snapshot = OrdersSnapshot { as_of, ..self.newest.clone() };
        changes.into_iter().for_each(|change| snapshot.apply(change));
        self.take(now, snapshot)
    }

    /// Returns the active orders, sorted by zone and by service.
    pub fn active(&self, now: Instant) -> OrdersSnapshot {
        let mut orders = self.newest.clone();
        if self.former_until.is_some_and(|until| now < until) {
            orders.zones.extend(self.former.zones.iter().cloned());
            for (service, order) in &self.former.rollouts {
                orders.rollouts.entry(service.clone()).or_insert_with(|| order.clone());
            }
        }
        orders.zones.sort_unstable();
        orders.rollouts.sort_unstable_keys();
        orders
    }

    /// Returns the snapshot that other instances receive.
    pub fn newest(&self) -> &OrdersSnapshot {
        &self.newest
    }
}
