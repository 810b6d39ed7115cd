//! The servers of each service, found without looking at all of them.
//!
//! Answers the load of services with thousands of servers: a choice that looks at each takes milliseconds, more on a weak
//! processor than the request itself. Of a large service a request looks at few servers, drawn by consistent hashing with
//! many probes: each probe finds the next server on a ring, and the closest comes first. So the same prompt finds the same
//! servers in the same order at all instances, also where some have come or gone, and each server is found equally often.

use std::time::Instant;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::{Picker, Tracked};
use crate::{
    names::ServiceName,
    routing::{BackendServer, PickRequest, load::FLEET_COUNT_MAX_AGE},
};

/// Servers of a service up to which a request looks at all.
const LOOKED_AT_ALL: usize = 512;

/// Probes for one request to a larger service, and how often there are so many more where none of the servers found may be
/// used; then all are looked at.
const PROBES: usize = 32;
const MORE_PROBES: usize = 8;

/// The servers of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceServers {
    /// Places in the list of all servers.
    all: Vec<usize>,
    ring: Ring,
    /// Those of the own availability zone, for requests without a prompt.
    near_ring: Ring,
    /// This instance's requests in flight there.
    pub(super) own: u32,
    /// What the others had in flight there at the last exchange, and when that was.
    others: Option<(f64, Instant)>,
    /// Requests that they run at once, as of the last exchange; `None` where some do not say.
    slots: Option<f64>,
    /// Those in emptied zones.
    evacuated: usize,
}

/// Servers by the hash of their place.
#[derive(Debug, Default)]
struct Ring(Vec<(u64, usize)>);

impl Ring {
    fn push(&mut self, server: &BackendServer, at: usize) {
        self.0.push((xxh3_64(&server.place().0.to_le_bytes()), at));
    }

    /// Returns the servers that so many probes find, the closest first.
    fn find(&self, key: u64, probes: usize) -> Vec<usize> {
        let mut found: Vec<(u64, usize)> = Vec::with_capacity(probes);
        for probe in 0..probes as u64 {
            let hash = xxh3_64(&[key.to_le_bytes(), probe.to_le_bytes()].concat());
            let next = self.0.partition_point(|(at, _)| *at < hash);
            if let Some(&(at, server)) = self.0.get(next).or_else(|| self.0.first()) {
                found.push((at.wrapping_sub(hash), server));
            }
        }
        found.sort_unstable();
        let mut servers: Vec<usize> = Vec::with_capacity(found.len());
        for (_, server) in found {
            if !servers.contains(&server) {
                servers.push(server);
            }
        }
        servers
    }
}

impl ServiceServers {
    /// Returns whether a request looks at all of them.
    pub(super) fn is_small(&self) -> bool {
        self.all.len() <= LOOKED_AT_ALL
    }

    /// Returns what all instances have in flight at each on the mean, while that is known.
    pub(super) fn mean(&self, now: Instant) -> Option<f64> {
        let (others, at) = self.others?;
        let is_young = now.saturating_duration_since(at) < FLEET_COUNT_MAX_AGE;
        is_young.then(|| (others + f64::from(self.own)) / self.all.len().max(1) as f64)
    }

    /// Returns the servers that a request looks at, those first that it should go to.
    fn candidates(&self, request: &PickRequest<'_>, probes: usize) -> Vec<usize> {
        if self.is_small() || probes >= self.all.len() {
            return self.all.clone();
        }
        let Some(key) = request.affinity else {
            let mut candidates = self.near_ring.find(request.spread, probes / 2);
            let all = self.ring.find(request.spread, probes);
            candidates
                .extend(all.into_iter().filter(|at| !candidates.contains(at)).collect::<Vec<_>>());
            return candidates;
        };
        self.ring.find(key, probes)
    }
}

impl Picker {
    /// Groups the servers by service, after the list has changed.
    pub(super) fn group_by_service(&mut self) {
        let mut by_service: IndexMap<ServiceName, ServiceServers> = IndexMap::new();
        for (at, tracked) in self.servers.values().enumerate() {
            let of = by_service.entry(tracked.server.service.clone()).or_default();
            of.all.push(at);
            of.own += tracked.load.own();
        }
        for (service, of) in by_service.iter_mut().filter(|(_, of)| !of.is_small()) {
            for &at in &of.all {
                let server = &self.servers[at].server;
                of.ring.push(server, at);
                if server.zone == self.zone {
                    of.near_ring.push(server, at);
                }
            }
            of.ring.0.sort_unstable();
            of.near_ring.0.sort_unstable();
            of.others = self.by_service.get(service).and_then(|former| former.others);
        }
        self.by_service = by_service;
    }

    /// Sums up what is known of the servers of each large service, after the list or the counts of all instances have changed.
    pub(super) fn update_totals(&mut self, now: Instant) {
        let mut by_service = std::mem::take(&mut self.by_service);
        for of in by_service.values_mut().filter(|of| !of.is_small()) {
            let tracked = || of.all.iter().map(|&at| &self.servers[at]);
            let in_use = || {
                tracked()
                    .filter(|t| self.accepts_requests(now, t) && self.is_in_use(now, &t.server))
            };
            of.slots = in_use().map(|t| t.server.slots.map(f64::from)).sum();
            of.evacuated = tracked().filter(|t| self.is_evacuated(t)).count();
        }
        self.by_service = by_service;
    }

    /// Takes what the other instances have in flight at the servers of a service.
    pub(super) fn set_others(&mut self, now: Instant, service: &ServiceName, others: f64) {
        if let Some(of) = self.by_service.get_mut(service) {
            of.others = Some((others, now));
        }
    }

    /// Returns the servers of a service.
    pub(super) fn servers_of(&self, service: &ServiceName) -> impl Iterator<Item = &Tracked> {
        let of = self.by_service.get(service).into_iter().flat_map(|of| &of.all);
        of.map(|&at| &self.servers[at])
    }

    /// Returns the servers that a request looks at, in its rank where they are not all; of a large service in steps, each of
    /// which finds more.
    pub(super) fn candidates(&self, request: &PickRequest<'_>, step: usize) -> Vec<&Tracked> {
        let Some(of) = self.by_service.get(request.service) else { return Vec::new() };
        let probes = [PROBES, PROBES * MORE_PROBES, usize::MAX][step.min(2)];
        of.candidates(request, probes).into_iter().map(|at| &self.servers[at]).collect()
    }

    /// Returns in how many steps a request to a service looks at all its servers.
    pub(super) fn steps(&self, service: &ServiceName) -> usize {
        if self.is_small(service) { 1 } else { 3 }
    }

    /// Returns whether a request to a service looks at all its servers.
    pub(super) fn is_small(&self, service: &ServiceName) -> bool {
        self.by_service.get(service).is_none_or(ServiceServers::is_small)
    }

    /// Returns how many servers of a service are in emptied zones. They count in the mean: the others' bound is one of all.
    pub(super) fn evacuated_of(&self, service: &ServiceName) -> usize {
        let Some(of) = self.by_service.get(service) else { return 0 };
        if !of.is_small() {
            return of.evacuated;
        }
        self.servers_of(service).filter(|tracked| self.is_evacuated(tracked)).count()
    }

    fn is_evacuated(&self, tracked: &Tracked) -> bool {
        !tracked.server.leaving && self.evacuated.contains(&tracked.server.zone)
    }

    /// Returns this instance's requests in flight at the servers of a service, and how many these run at once; `None` where
    /// some do not say.
    pub(super) fn slots(&self, now: Instant, service: &ServiceName) -> Option<(f64, f64)> {
        if let Some(of) = self.by_service.get(service).filter(|of| !of.is_small()) {
            return of.slots.map(|slots| (f64::from(of.own), slots));
        }
        let (mut own, mut slots) = (0.0, 0.0);
        for tracked in self.servers_of(service) {
            if !self.accepts_requests(now, tracked) || !self.is_in_use(now, &tracked.server) {
                continue;
            }
            own += f64::from(tracked.load.own());
            slots += f64::from(tracked.server.slots?);
        }
        Some((own, slots))
    }
}
