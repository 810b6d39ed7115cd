//! What operators order beside the intent: availability zones that they empty, for maintenance or before they lose them, so
//! that nothing new is sent to their backend servers until they are taken back; and roll-outs of versions.
//!
//! The orders are read with the intent and handed from instance to instance like it, so that they cost no call of their
//! own; the version of the store at which they were read says which of two tellings is the newer one.

use std::time::Instant;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{RolloutOrder, StoreVersion, store_version::SETTLING};
use crate::names::{ServiceName, ZoneName};

/// The orders that stood at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersSnapshot {
    /// Version of the store at which they were read.
    pub as_of: StoreVersion,
    /// Zones to be empty.
    pub zones: IndexSet<ZoneName>,
    /// Roll-outs, by service.
    pub rollouts: IndexMap<ServiceName, RolloutOrder>,
    /// Services of whose roll-out something is written that is not understood: the order before it goes on.
    #[serde(default)]
    pub unparsed: IndexSet<ServiceName>,
}

/// That operators give an order, or take it back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderChange {
    /// A zone is to be empty, or not any more.
    Zone {
        /// The zone.
        zone: ZoneName,
        /// Whether it is to be empty.
        evacuate: bool,
    },
    /// A service's requests are to be moved to a version; `None` where that is taken back.
    Rollout {
        /// The service.
        service: ServiceName,
        /// The order.
        order: Option<RolloutOrder>,
    },
    /// Something that is not understood is written of a service's roll-out.
    Unparsed(ServiceName),
}

/// What an instance knows of operators' orders.
#[derive(Debug, Default)]
pub struct OperatorOrders {
    newest: OrdersSnapshot,
    /// Orders of the store's era before, which operators may not have had time to write again.
    former: OrdersSnapshot,
    former_until: Option<Instant>,
}

impl OrdersSnapshot {
    /// Returns the orders as of `as_of` that lead from none by `changes`.
    pub fn from_changes(
        as_of: StoreVersion,
        changes: impl IntoIterator<Item = OrderChange>,
    ) -> OrdersSnapshot {
        let mut told = OrdersSnapshot { as_of, ..OrdersSnapshot::default() };
        changes.into_iter().for_each(|change| told.apply(change));
        told
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

    /// Has orders go on that were in force before something was written of them that is not understood; returns whether there
    /// are any.
    fn keep(&mut self, before: &OrdersSnapshot) -> bool {
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
    /// Takes what was read or told; returns whether it is newer than what is known.
    pub fn take(&mut self, now: Instant, mut told: OrdersSnapshot) -> bool {
        if told.as_of == self.newest.as_of {
            // Another one may know what was ordered before.
            return self.newest.keep(&told);
        }
        if told.as_of < self.newest.as_of {
            return false;
        }
        told.keep(&self.newest);
        let knows_any = self.newest.as_of != StoreVersion::default();
        if knows_any && told.as_of.era > self.newest.as_of.era {
            self.former = self.active(now);
            self.former_until = Some(now + SETTLING);
        }
        self.newest = told;
        true
    }

    /// Takes the changes up to the version `as_of`; returns whether that is newer than what is known.
    pub fn apply_changes(
        &mut self,
        now: Instant,
        as_of: StoreVersion,
        changes: impl IntoIterator<Item = OrderChange>,
    ) -> bool {
        let mut told = OrdersSnapshot { as_of, ..self.newest.clone() };
        changes.into_iter().for_each(|change| told.apply(change));
        self.take(now, told)
    }

    /// Returns the orders in force; zones and services in an order of their own.
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

    /// Returns what other instances are told.
    pub fn newest(&self) -> &OrdersSnapshot {
        &self.newest
    }
}
