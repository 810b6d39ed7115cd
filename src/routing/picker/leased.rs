//! Servers whose slots are leased by a broker, and the pick of a server on which a slot was leased.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{Picker, Tracked};
use crate::{
    names::{ServiceName, Tag},
    routing::{PickRequest, Picked, ServerSlots, ServiceSlots},
};

impl Picker {
    /// Returns the slots of each service; `None` if some servers do not state theirs, or if a service has so many
    /// servers that a pick does not consider all of them.
    pub fn service_slots(&self) -> IndexMap<ServiceName, Option<ServiceSlots>> {
        let slots = |service: &ServiceName| {
            let mut servers = self.leasable(service)?.map(|t| t.server.slots);
            servers.try_fold(ServiceSlots { total: 0, largest: 0 }, |sum, slots| {
                let slots = slots?.get();
                let total = sum.total.saturating_add(slots);
                Some(ServiceSlots { total, largest: sum.largest.max(slots) })
            })
        };
        self.by_service.keys().map(|service| (service.clone(), slots(service))).collect()
    }

    /// Returns the servers of a service that neither leave nor are in an evacuated zone; `None` if the service has too
    /// many.
    fn leasable(&self, service: &ServiceName) -> Option<impl Iterator<Item = &Tracked>> {
        let available = self.servers_of(service).filter(|t| self.is_available(t));
        self.is_small(service).then_some(available)
    }

    /// Returns the servers of a service whose slots may be leased: those that neither leave nor are in an evacuated
    /// zone. `None` if some servers do not state their slots, or if the service has too many servers.
    pub fn slots_to_lease(&self, service: &ServiceName) -> Option<Vec<ServerSlots>> {
        let slots = |t: &Tracked| {
            let (server, zone) = (t.server.tag(), t.server.zone.clone());
            Some(ServerSlots { server, slots: t.server.slots?.get(), zone })
        };
        self.leasable(service)?.map(slots).collect()
    }

    /// Returns the servers of the service that a request must not use now; `None` if it can use none.
    pub fn excluded(&self, now: Instant, request: &PickRequest<'_>) -> Option<Vec<Tag>> {
        let usable: Vec<Tag> = self.pool(now, request).iter().map(|t| t.server.tag()).collect();
        let all = self.servers_of(request.service).map(|t| t.server.tag());
        (!usable.is_empty()).then(|| all.filter(|server| !usable.contains(server)).collect())
    }

    /// Picks the server on which a slot was leased, if it is in the pool.
    pub(super) fn by_lease(&self, now: Instant, server: Tag, pool: &[&Tracked]) -> Option<Picked> {
        let tracked = pool.iter().find(|t| t.server.tag() == server)?;
        let load = f64::from(tracked.load.own()) + tracked.load.others(now).unwrap_or(0.0);
        Some(Picked {
            server: Arc::clone(&tracked.server),
            rank: 0,
            load,
            counts_age: self.usable_counts_age(now),
            bound: f64::INFINITY,
            wait: Duration::ZERO,
            cold: tracked.is_cold(now),
            considered: pool.len(),
            holder: None,
        })
    }
}
