//! Indexes the servers of each service, so that a pick does not have to scan all of them.
//!
//! For a service with thousands of servers, a pick that scans all of them takes milliseconds, on a slow processor
//! longer than the request itself. For a large service, a pick considers a few candidates only, drawn by multi-probe
//! consistent hashing: each probe finds the next server on a ring, and candidates are ordered by their distance to the
//! probe. All instances thus find the same servers in the same order for a prompt, even while servers are added or
//! removed, and each server is found equally often.

use std::{ops::Range, time::Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::{Picker, Tracked};
use crate::{
    names::ServiceName,
    routing::{BackendServer, PickRequest, load::FLEET_COUNT_MAX_AGE},
};

/// Number of servers up to which a service is small, so that each pick scans all of them.
const SMALL_SERVICE_MAX: usize = 512;

/// Probes for one pick of a large service.
const PROBES: usize = 32;

/// Factor by which the number of probes grows if none of the servers found may be used; after that, all are scanned.
const PROBES_GROWTH: usize = 8;

/// The servers of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceServers {
    /// Indexes into the list of all servers.
    all: Vec<usize>,
    ring: Ring,
    /// Servers of the own availability zone, for requests without a prompt.
    zone_ring: Ring,
    /// Requests in flight of this instance.
    pub(super) own: u32,
    /// Requests in flight of the other instances at the last exchange, and the time of that.
    others: Option<(f64, Instant)>,
    /// Total number of slots as of the last exchange; `None` if some servers do not report it.
    slots: Option<f64>,
    /// Number of servers in evacuated zones.
    evacuated: usize,
}

/// Servers sorted by the hash of their stable tag.
#[derive(Debug, Default)]
struct Ring(Vec<(u64, usize)>);

impl Ring {
    fn push(&mut self, server: &BackendServer, index: usize) {
        self.0.push((xxh3_64(&server.stable_tag().0.to_le_bytes()), index));
    }

    /// Returns the servers that `probes` probes find, the closest one first.
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
    /// Returns whether a pick scans all servers.
    pub(super) fn is_small(&self) -> bool {
        self.all.len() <= SMALL_SERVICE_MAX
    }

    /// Returns the mean number of requests in flight per server, unless the counts of the other instances are too old.
    pub(super) fn mean(&self, now: Instant) -> Option<f64> {
        let (_, at) = self.others?;
        let is_recent = now.saturating_duration_since(at) < FLEET_COUNT_MAX_AGE;
        self.last_mean().filter(|_| is_recent)
    }

    /// Returns the mean number of requests in flight per server by the last counts of the other instances, however old
    /// they are.
    pub(super) fn last_mean(&self) -> Option<f64> {
        let (others, _) = self.others?;
        Some((others + f64::from(self.own)) / self.all.len().max(1) as f64)
    }

    /// Returns the number of servers.
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns the candidates for a request, those of a large service in order of preference.
    fn candidates(&self, request: &PickRequest<'_>, probes: usize) -> Vec<usize> {
        if self.is_small() || probes >= self.all.len() {
            return self.all.clone();
        }
        let Some(key) = request.affinity else {
            let mut candidates = self.zone_ring.find(request.spread, probes / 2);
            let all = self.ring.find(request.spread, probes);
            candidates
                .extend(all.into_iter().filter(|at| !candidates.contains(at)).collect::<Vec<_>>());
            return candidates;
        };
        self.ring.find(key, probes)
    }
}

impl Picker {
    /// Groups the servers by service, after a change of the list.
    pub(super) fn group_by_service(&mut self) {
        let mut by_service: IndexMap<ServiceName, ServiceServers> = IndexMap::new();
        for (index, tracked) in self.servers.values().enumerate() {
            let servers = by_service.entry(tracked.server.service.clone()).or_default();
            servers.all.push(index);
            servers.own += tracked.load.own();
        }
        for (service, servers) in &mut by_service {
            servers.others = self.by_service.get(service).and_then(|previous| previous.others);
        }
        for servers in by_service.values_mut().filter(|servers| !servers.is_small()) {
            for &index in &servers.all {
                let server = &self.servers[index].server;
                servers.ring.push(server, index);
                if server.zone == self.zone {
                    servers.zone_ring.push(server, index);
                }
            }
            servers.ring.0.sort_unstable();
            servers.zone_ring.0.sort_unstable();
        }
        self.by_service = by_service;
    }

    /// Updates the totals of each large service, after a change of the list or of the counts of all instances.
    pub(super) fn update_totals(&mut self, now: Instant) {
        let mut by_service = std::mem::take(&mut self.by_service);
        for servers in by_service.values_mut().filter(|servers| !servers.is_small()) {
            let tracked = || servers.all.iter().map(|&index| &self.servers[index]);
            let in_use = || {
                tracked()
                    .filter(|t| self.accepts_requests(now, t) && self.is_in_use(now, &t.server))
            };
            servers.slots = in_use().map(|t| t.server.slots.map(f64::from)).sum();
            servers.evacuated = tracked().filter(|t| self.is_evacuated(t)).count();
        }
        self.by_service = by_service;
    }

    /// Sets the requests in flight of the other instances at the servers of a service.
    pub(super) fn set_others(&mut self, now: Instant, service: &ServiceName, others: f64) {
        if let Some(servers) = self.by_service.get_mut(service) {
            servers.others = Some((others, now));
        }
    }

    /// Returns the servers of a service.
    pub(super) fn servers_of(&self, service: &ServiceName) -> impl Iterator<Item = &Tracked> {
        let indexes = self.by_service.get(service).into_iter().flat_map(|servers| &servers.all);
        indexes.map(|&index| &self.servers[index])
    }

    /// Returns the candidates for a request: all servers of a small service; of a large one a few in order of
    /// preference, more with each step.
    pub(super) fn candidates(&self, request: &PickRequest<'_>, step: usize) -> Vec<&Tracked> {
        let Some(servers) = self.by_service.get(request.service) else { return Vec::new() };
        let probes = [PROBES, PROBES * PROBES_GROWTH, usize::MAX][step.min(2)];
        let indexes = servers.candidates(request, probes).into_iter();
        indexes.map(|index| &self.servers[index]).collect()
    }

    /// Returns the steps after the last of which all servers of a service are candidates. A prompt that is spread over
    /// many servers begins with more of them.
    pub(super) fn candidate_steps(&self, request: &PickRequest<'_>) -> Range<usize> {
        if self.is_small(request.service) {
            return 0..1;
        }
        let first = usize::from(self.width(request) > PROBES / 2);
        first..3
    }

    /// Returns whether a service is small, so that a pick scans all of its servers.
    pub(super) fn is_small(&self, service: &ServiceName) -> bool {
        self.by_service.get(service).is_none_or(ServiceServers::is_small)
    }

    /// Returns the number of a service's servers in evacuated zones. They count in the mean, to which
    /// the operators' bound refers.
    pub(super) fn evacuated_of(&self, service: &ServiceName) -> usize {
        let Some(servers) = self.by_service.get(service) else { return 0 };
        if !servers.is_small() {
            return servers.evacuated;
        }
        self.servers_of(service).filter(|tracked| self.is_evacuated(tracked)).count()
    }

    fn is_evacuated(&self, tracked: &Tracked) -> bool {
        !tracked.server.leaving && self.evacuated.contains(&tracked.server.zone)
    }

    /// Returns this instance's requests in flight at the servers of a service, and the total number of their slots;
    /// `None` if some do not report their slots.
    pub(super) fn slots(&self, now: Instant, service: &ServiceName) -> Option<(f64, f64)> {
        if let Some(servers) = self.by_service.get(service).filter(|servers| !servers.is_small()) {
            return servers.slots.map(|slots| (f64::from(servers.own), slots));
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
