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

#[cfg(test)]
mod tests {
    use super::*;

    fn small_with(known: &SmallServices, total: u32, largest: u32, instances: usize) -> bool {
        let service: ServiceName = "app".parse().expect("a name");
        let slots = Some(ServiceSlots { total, largest });
        let services = IndexMap::from([(service.clone(), slots)]);
        known.updated(instances, &services).needs_lease(&service, false)
    }

    // Guards against a broker for a service whose slots can be divided, or whose requests share prompts.
    #[test]
    fn a_service_is_small_if_it_has_fewer_slots_than_instances_and_all_are_stated() {
        let none = SmallServices::default();
        assert!(small_with(&none, 18, 6, 19));
        assert!(!small_with(&none, 18, 6, 18));
        assert!(!small_with(&none, 0, 0, 18));
        let service: ServiceName = "app".parse().expect("a name");
        let unstated = none.updated(100, &IndexMap::from([(service.clone(), None)]));
        assert!(!unstated.needs_lease(&service, false));
        let stated = Some(ServiceSlots { total: 1, largest: 1 });
        let small = none.updated(100, &IndexMap::from([(service.clone(), stated)]));
        assert!(small.needs_lease(&service, false) && !small.needs_lease(&service, true));
    }

    // Guards against a broker that is turned on and off when one instance or one server comes and goes.
    #[test]
    fn a_small_service_stays_small_while_an_instance_or_a_server_comes_and_goes() {
        let service: ServiceName = "app".parse().expect("a name");
        let slots = Some(ServiceSlots { total: 18, largest: 6 });
        let services = IndexMap::from([(service, slots)]);
        let small = SmallServices::default().updated(19, &services);
        assert!(small_with(&small, 18, 6, 18), "an instance has left");
        assert!(small_with(&small, 24, 6, 19), "a server was added");
        assert!(!small_with(&small, 25, 6, 19));
        assert!(small_with(&small, 109, 1, 100) && !small_with(&small, 110, 1, 100));
    }
}
