//! Slot leases of small services: an instance requests a lease from the broker of the service before it sends a
//! request, and is the broker of some services itself.
//!
//! `client` has the leases of this instance and the streams to brokers, `server` the brokers that this instance runs,
//! and `request` requests a lease for one request. `routing::admission` has the decisions.

mod client;
mod link;
pub mod messages;
mod request;
mod server;
mod waiter;

use std::{
    sync::{Arc, OnceLock, Weak},
    time::Duration,
};

use arc_swap::ArcSwap;

pub(super) use self::request::SlotOutcome;
use self::{client::LeaseClient, server::LeaseServer};
use super::{Gateway, request::Request, settings::GatewaySettings};
use crate::{
    clock::Clock,
    link::traffic::TrafficCounter,
    names::{NodeName, Tag},
    routing::{LeaseId, SmallServices},
    utils::sync::lock,
};

/// The slot leases of an instance, and its brokers.
pub struct SlotLeases {
    client: Arc<LeaseClient>,
    server: LeaseServer,
    /// Services whose slots are leased.
    small: ArcSwap<SmallServices>,
    /// For the thread that ticks this instance's brokers, which starts when it first is a broker.
    gateway: OnceLock<Weak<Gateway>>,
}

impl SlotLeases {
    /// Returns the state of an instance without leases.
    pub fn new(settings: &GatewaySettings, clock: &Clock, traffic: &TrafficCounter) -> SlotLeases {
        SlotLeases {
            client: Arc::new(LeaseClient::new(settings.node.clone(), clock, traffic)),
            server: LeaseServer::default(),
            small: ArcSwap::default(),
            gateway: OnceLock::new(),
        }
    }

    /// Sets the instance that this is a part of; further calls do nothing.
    pub(super) fn attach(&self, gateway: &Arc<Gateway>) {
        self.gateway.get_or_init(|| Arc::downgrade(gateway));
    }

    /// Returns the services whose slots are leased.
    pub fn small_services(&self) -> Arc<SmallServices> {
        self.small.load_full()
    }

    /// Returns the number of requests that wait for the decision of a broker.
    pub fn waiting(&self) -> usize {
        self.client.waiting()
    }

    /// Has this instance's brokers apply a drain at once.
    pub(super) fn drain_started(&self) {
        self.server.refresh();
    }
}

/// A lease of a slot for one request; dropping it returns the slot to the broker.
pub struct SlotLease<'g> {
    gateway: &'g Gateway,
    id: LeaseId,
    /// Server on which the slot is.
    pub server: Tag,
}

impl SlotLease<'_> {
    /// Returns whether the request may be sent now: the lease has neither expired nor been unused for too long.
    pub fn is_usable(&self) -> bool {
        let now = self.gateway.clock.now();
        self.gateway.slot_leases.client.is_usable(now, self.id)
    }
}

impl Drop for SlotLease<'_> {
    fn drop(&mut self) {
        self.gateway.release_slot(self.id);
    }
}

impl Gateway {
    /// Decides anew which services are small, after the servers, the evacuated zones or the instances have changed.
    pub(super) fn slots_changed(&self) {
        let services = lock(&self.picker).service_slots();
        let known = self.slot_leases.small.load();
        let updated = known.updated(self.peers.instances(), &services);
        if **known != updated {
            for service in updated.beyond(&known) {
                log::info!("event=slots_leased service={service} leased=true");
            }
            for service in known.beyond(&updated) {
                log::info!("event=slots_leased service={service} leased=false");
            }
            self.slot_leases.small.store(Arc::new(updated));
        }
        self.slot_leases.server.refresh();
    }

    /// Returns whether a request needs a lease of a slot before it is sent.
    pub(super) fn needs_lease(&self, request: &Request) -> bool {
        self.slot_leases.small.load().needs_lease(&request.service, request.route.affinity)
    }

    /// Ends a lease, or the wait for one, and notifies the brokers that know of it.
    fn release_slot(&self, id: LeaseId) {
        for broker in self.slot_leases.client.forget(id) {
            if self.is_own_node(&broker) {
                self.handle_own_release(id);
            } else {
                self.slot_leases.client.send_release(&broker, id);
            }
        }
    }

    fn is_own_node(&self, node: &NodeName) -> bool {
        self.settings.node == *node
    }

    /// Updates the metrics of slot leases that are gauges.
    pub(super) fn update_lease_gauges(&self) {
        let (waiting, held, oldest) = self.slot_leases.client.counts(self.clock.now());
        let oldest = if held == 0 { Duration::ZERO } else { oldest };
        self.metrics.slot_leases(waiting, held, oldest);
    }
}
