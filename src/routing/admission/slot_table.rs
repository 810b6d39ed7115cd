//! The servers of a small service and the leases of their slots, as the broker of the service keeps them.
//!
//! It handles loads at which all slots are taken nearly all the time: a slot is leased again without an idle round
//! trip, and no server gets more than a few requests beyond its slots.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{LeaseId, ServerSlots, SlotRequest};
use crate::names::{Tag, ZoneName};

/// Longest round trip between an instance and the broker: twice the one-way latency between zones, 1.4 ms. A slot is
/// idle for about as long between two leases if the server has no other request.
const ROUND_TRIP: Duration = Duration::from_micros(2800);

/// Share of the time that a slot must be idle between leases for its server to be leased beyond its slots.
const IDLE_SHARE_MIN: f64 = 0.01;

/// Number of slots of a server for which at most one request is leased beyond them.
const SLOTS_PER_EXTRA: u32 = 6;

#[derive(Debug)]
struct Server {
    slots: u32,
    zone: ZoneName,
    /// Leases that have not ended, with those beyond the slots.
    leased: u32,
}

#[derive(Debug)]
struct Lease {
    server: Tag,
    /// `None` if another broker granted it.
    granted_at: Option<Instant>,
    expires_at: Instant,
}

/// Servers that may be leased, and the leases that have not ended.
#[derive(Debug, Default)]
pub(super) struct SlotTable {
    servers: IndexMap<Tag, Server>,
    leases: IndexMap<LeaseId, Lease>,
    /// Slots of all servers.
    slots: u32,
}

impl Server {
    /// Returns how many requests it may be leased at once.
    fn lease_limit(&self, slot_time: Option<Duration>) -> u32 {
        self.slots.saturating_add(extra_leases(self.slots, slot_time))
    }
}

impl SlotTable {
    /// Replaces the servers that may be leased. Leases of servers that are not listed any more stay until they end.
    pub(super) fn set_servers(&mut self, servers: impl IntoIterator<Item = ServerSlots>) {
        let server =
            |s: ServerSlots| (s.server, Server { slots: s.slots, zone: s.zone, leased: 0 });
        self.servers = servers.into_iter().map(server).collect();
        self.slots = saturating_sum(self.servers.values().map(|server| server.slots));
        for lease in self.leases.values() {
            if let Some(server) = self.servers.get_mut(&lease.server) {
                server.leased += 1;
            }
        }
    }

    /// Returns the number of slots of all servers.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how many leases there are at once on the servers that a request may use, if it cannot get one at once.
    pub(super) fn lease_limit(&self, req: &SlotRequest, slot_time: Option<Duration>) -> u32 {
        let usable = self.servers.iter().filter(|(tag, _)| !req.excluded.contains(tag));
        saturating_sum(usable.map(|(_, server)| server.lease_limit(slot_time)))
    }

    /// Returns whether any server can be leased once more.
    pub(super) fn has_room(&self, slot_time: Option<Duration>) -> bool {
        self.servers.values().any(|server| server.leased < server.lease_limit(slot_time))
    }

    /// Returns the server that a request is to be sent to, if one can take it: one with a free slot, otherwise one that
    /// can be leased beyond its slots. `slot_time` is the mean time for which a lease is held.
    pub(super) fn pick(&self, req: &SlotRequest, slot_time: Option<Duration>) -> Option<Tag> {
        let best = |extra: &dyn Fn(u32) -> u32| {
            let open = self.servers.iter().filter_map(|(tag, server)| {
                let limit = server.slots.saturating_add(extra(server.slots));
                let left = limit.saturating_sub(server.leased);
                let is_open = left > 0 && !req.excluded.contains(tag);
                is_open.then_some(((server.zone == req.zone, left), *tag))
            });
            open.max_by_key(|(order, _)| *order).map(|(_, tag)| tag)
        };
        best(&|_| 0).or_else(|| best(&|slots| extra_leases(slots, slot_time)))
    }

    /// Records a lease; one with the same id is replaced. `granted_at` is `None` if another broker granted it.
    pub(super) fn insert(
        &mut self,
        id: LeaseId,
        server: Tag,
        granted_at: Option<Instant>,
        expires_at: Instant,
    ) {
        self.remove(id);
        self.leases.insert(id, Lease { server, granted_at, expires_at });
        if let Some(server) = self.servers.get_mut(&server) {
            server.leased += 1;
        }
    }

    /// Returns the server of a lease.
    pub(super) fn server_of(&self, id: LeaseId) -> Option<Tag> {
        self.leases.get(&id).map(|lease| lease.server)
    }

    /// Ends a lease and returns when this broker granted it.
    pub(super) fn remove(&mut self, id: LeaseId) -> Option<Instant> {
        let lease = self.leases.swap_remove(&id)?;
        if let Some(server) = self.servers.get_mut(&lease.server) {
            server.leased -= 1;
        }
        lease.granted_at
    }

    /// Ends the leases that have expired.
    pub(super) fn expire(&mut self, now: Instant) {
        let is_over = |lease: &Lease| lease.expires_at <= now;
        if !self.leases.values().any(is_over) {
            return;
        }
        let over = self.leases.iter().filter(|(_, lease)| is_over(lease)).map(|(id, _)| *id);
        for id in over.collect::<Vec<_>>() {
            self.remove(id);
        }
    }

    /// Returns when the next lease expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }
}

/// Returns the sum of figures that servers state.
fn saturating_sum(figures: impl Iterator<Item = u32>) -> u32 {
    figures.fold(0, u32::saturating_add)
}

/// Returns how many requests a server may be leased beyond its slots: as many as begin within a round trip.
fn extra_leases(slots: u32, slot_time: Option<Duration>) -> u32 {
    let Some(slot_time) = slot_time.filter(|time| !time.is_zero()) else { return 0 };
    let idle_share = ROUND_TRIP.div_duration_f64(slot_time);
    if idle_share < IDLE_SHARE_MIN {
        return 0;
    }
    ((f64::from(slots) * idle_share).ceil() as u32).min(slots / SLOTS_PER_EXTRA)
}
