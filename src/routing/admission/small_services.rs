//! Decides which services are small: they have fewer slots than the fleet has instances, so that no instance can be
//! given a part of the slots, and a broker leases each slot for one request.
//!
//! Each instance decides this for itself, from its own lists of servers and instances.

use indexmap::{IndexMap, IndexSet};

use crate::names::ServiceName;

/// Share of the instances by which the slots must exceed them before a small service is one no more. Otherwise a single
/// instance that starts and stops would turn the broker on and off.
const MARGIN: f64 = 0.1;

/// Slots of the servers of a service that may get new requests, all of which state their slots. They decide whether the
/// service is small; [`SlotUsage`](super::SlotUsage) has the use of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceSlots {
    /// Slots of all servers.
    pub total: u32,
    /// Slots of the largest server.
    pub largest: u32,
}

/// The small services, as of the last list of servers and of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SmallServices {
    small: IndexSet<ServiceName>,
}

impl SmallServices {
    /// Returns the small services among `instances` known instances. A service whose slots are `None` has a server that
    /// does not state its slots, or no server.
    #[must_use]
    pub fn updated(
        &self,
        instances: usize,
        services: &IndexMap<ServiceName, Option<ServiceSlots>>,
    ) -> SmallServices {
        let is_small = |(service, slots): &(&ServiceName, &Option<ServiceSlots>)| {
            slots.is_some_and(|slots| is_small(slots, instances, self.small.contains(*service)))
        };
        let small = services.iter().filter(is_small).map(|(service, _)| service.clone());
        SmallServices { small: small.collect() }
    }

    /// Returns the services that are small here and not in `other`.
    pub fn beyond<'s>(&'s self, other: &'s SmallServices) -> impl Iterator<Item = &'s ServiceName> {
        self.small.difference(&other.small)
    }

    /// Returns whether a request for `service` needs a lease; `has_affinity` tells whether its route sends requests
    /// that share a prompt to the same server, which a broker does not take into account.
    pub fn needs_lease(&self, service: &ServiceName, has_affinity: bool) -> bool {
        !self.small.is_empty() && !has_affinity && self.small.contains(service)
    }
}

/// Returns whether a service with these slots is small. One that was small before stays so until its slots exceed the
/// instances by a tenth, and by a whole server, which may be lost and return.
fn is_small(slots: ServiceSlots, instances: usize, was_small: bool) -> bool {
    if slots.total == 0 {
        return false;
    }
    let margin = (instances as f64 * MARGIN).max(f64::from(slots.largest));
    let limit = instances as f64 + if was_small { margin } else { 0.0 };
    f64::from(slots.total) < limit
}
