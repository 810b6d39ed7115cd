//! Leases the slots of one service's servers to the requests of all instances.
//!
//! With fewer slots than instances, no instance can be given a part of the slots: by counts that are an exchange old,
//! all of them choose the same free slot, and the servers reject what they cannot run. One instance therefore leases
//! each slot for one request.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{BrokerAction, LeaseId, ServerSlots, SlotRequest};
use crate::names::Tag;

#[derive(Debug)]
struct Lease {
    server: Tag,
    expires_at: Instant,
}

/// Leases of the slots of one service.
#[derive(Debug, Default)]
pub struct SlotBroker {
    servers: Vec<ServerSlots>,
    leases: IndexMap<LeaseId, Lease>,
}

impl SlotBroker {
    /// Sets the servers that may be used. Leases of servers that are not listed any more stay until they end.
    pub fn set_servers(&mut self, _now: Instant, servers: Vec<ServerSlots>) -> Vec<BrokerAction> {
        self.servers = servers;
        Vec::new()
    }

    /// Decides on a request for a slot.
    pub fn request(&mut self, now: Instant, request: SlotRequest) -> Vec<BrokerAction> {
        let id = request.id;
        let used = |server: Tag| self.leases.values().filter(|l| l.server == server).count();
        let free = |s: &&ServerSlots| {
            used(s.server) < s.slots as usize && !request.excluded.contains(&s.server)
        };
        let Some(server) = self.servers.iter().find(free).map(|s| s.server) else {
            return vec![BrokerAction::Reject { id, retry_after: request.wait_max }];
        };
        self.adopt(now, id, server, request.time_left);
        vec![BrokerAction::Grant { id, server }]
    }

    /// Records a lease that an instance holds already, as it reports when it turns to this broker.
    pub fn adopt(&mut self, now: Instant, id: LeaseId, server: Tag, time_left: Duration) {
        self.leases.insert(id, Lease { server, expires_at: now + time_left });
    }

    /// Ends a lease, or takes a waiting request out of the queue.
    pub fn release(&mut self, _now: Instant, id: LeaseId) -> Vec<BrokerAction> {
        self.leases.swap_remove(&id);
        Vec::new()
    }

    /// Ends what has expired: leases whose holder did not return them, and waits that are over.
    pub fn tick(&mut self, now: Instant) -> Vec<BrokerAction> {
        self.leases.retain(|_, lease| now < lease.expires_at);
        Vec::new()
    }

    /// Returns when [`SlotBroker::tick`] is next due; `None` while nothing can expire.
    pub fn next_tick(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }
}
