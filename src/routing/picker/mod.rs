//! Picks a backend server for each request, from the state that this instance observes.
//!
//! Requests that share a prompt go to the same engine by rendezvous hashing while its load is under a bound, and to the
//! next in their rendezvous order above it. Other requests go to the least loaded server, with a preference for the own
//! availability zone.

mod affinity;
mod brittle;
mod leased;
mod least_loaded;
mod notices;
mod placement;
mod reachability;
mod service_servers;
mod slots;
mod teams;
mod unresponsive;
mod versions;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

pub use self::reachability::{ProbeTarget, ReachCounts};
use self::{
    service_servers::ServiceServers,
    versions::{RolloutServers, VersionGroup},
};
use super::{
    AdmissionControl, BackendServer, Brittleness, Crowded, FleetPosition, Health, InFlightCount,
    Incarnation, Load, LoadReport, Notice, PickError, PickRequest, Picked, PlacementWeight,
    PromptDemand, Reachability, ServerContacts, ServiceLoad, UnlistedLoads, UnlistedNotices,
    admission::{FleetTotal, TeamLimits, TeamUsage},
    load::FLEET_COUNT_MAX_AGE,
};
use crate::names::{RegionName, ServiceName, Tag, ZoneName};

/// How far a server's failure share may exceed the mean of its service.
const FAILURES_BEYOND_MEAN: f64 = 0.2;

#[derive(Debug)]
struct Tracked {
    server: Arc<BackendServer>,
    load: Load,
    weight: PlacementWeight,
    health: Health,
    /// Notices that the server sent in its responses.
    notice: Notice,
    brittleness: Brittleness,
    cold_until: Option<Instant>,
}

impl Tracked {
    fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}

/// Load and health of all backend servers as observed by this instance.
#[derive(Debug)]
pub struct Picker {
    servers: IndexMap<Incarnation, Tracked>,
    zone: ZoneName,
    regions: IndexMap<ZoneName, RegionName>,
    /// The operator's bound on an engine's load, as a multiple of the mean.
    load_bound: f64,
    /// Position of this instance in the fleet.
    position: FleetPosition,
    /// When the counts of the other instances were last received.
    counted_at: Option<Instant>,
    prompts: PromptDemand,
    /// Whether the counts of the other instances are awaited for the first time.
    awaits_counts: bool,
    admission: IndexMap<ServiceName, AdmissionControl>,
    /// Availability zones that get no new requests.
    evacuated: IndexSet<ZoneName>,
    unlisted: UnlistedNotices,
    unlisted_loads: UnlistedLoads,
    /// Services with a roll-out of another version.
    rollouts: IndexMap<ServiceName, RolloutServers>,
    by_service: IndexMap<ServiceName, ServiceServers>,
    team_usage: TeamUsage,
    team_limits: TeamLimits,
    reachability: Reachability,
    contacts: ServerContacts,
}

impl Picker {
    /// Returns a picker for an instance in `zone`.
    pub fn new(zone: ZoneName, load_bound: f64) -> Picker {
        let position = FleetPosition { number: 0, instances: 1 };
        Picker {
            servers: IndexMap::new(),
            zone,
            regions: IndexMap::new(),
            load_bound,
            position,
            counted_at: None,
            prompts: PromptDemand::default(),
            awaits_counts: false,
            admission: IndexMap::new(),
            evacuated: IndexSet::new(),
            unlisted: UnlistedNotices::default(),
            unlisted_loads: UnlistedLoads::default(),
            rollouts: IndexMap::new(),
            by_service: IndexMap::new(),
            team_usage: TeamUsage::default(),
            team_limits: TeamLimits::default(),
            reachability: Reachability::default(),
            contacts: ServerContacts::default(),
        }
    }

    /// Sets the regions of the availability zones.
    pub fn set_regions(&mut self, regions: IndexMap<ZoneName, RegionName>) {
        self.regions = regions;
    }

    /// Returns whether a server is in a region in which a request may be served.
    fn is_in_home_region(&self, server: &BackendServer, request: &PickRequest<'_>) -> bool {
        request.homes.allows(self.regions.get(&server.zone))
    }

    /// Returns whether a request may be served by a server, wherever and at whatever version that is.
    fn may_serve(&self, server: &BackendServer, request: &PickRequest<'_>) -> bool {
        self.is_in_home_region(server, request) && request.version.allows(server.version.as_ref())
    }

    /// Sets the position of this instance in the fleet.
    pub fn set_position(&mut self, position: FleetPosition) {
        self.position = position;
    }

    /// Returns the position of this instance in the fleet.
    pub fn position(&self) -> FleetPosition {
        self.position
    }

    /// Sets the zones whose servers get no new requests; returns the previous ones.
    pub fn set_evacuated(&mut self, zones: IndexSet<ZoneName>) -> IndexSet<ZoneName> {
        std::mem::replace(&mut self.evacuated, zones)
    }

    /// Returns whether a server is neither leaving nor in an evacuated zone; it may still be in a backoff.
    fn is_available(&self, tracked: &Tracked) -> bool {
        let leaving = tracked.server.leaving || tracked.notice.is_leaving();
        !leaving && !self.evacuated.contains(&tracked.server.zone)
    }

    /// Returns whether a server may get new requests now.
    fn accepts_requests(&self, now: Instant, tracked: &Tracked) -> bool {
        self.is_available(tracked) && !tracked.notice.forbids_requests(now)
    }

    /// Returns whether any servers are listed.
    pub fn has_servers(&self) -> bool {
        !self.servers.is_empty()
    }

    /// Sets the current list of servers. The state of servers that are still listed is kept, but not that of servers
    /// that have restarted. Notices are also kept while a server is not listed.
    pub fn set_servers<'a>(
        &mut self,
        now: Instant,
        list: impl Iterator<Item = &'a Arc<BackendServer>>,
    ) {
        let mut previous = std::mem::take(&mut self.servers);
        for server in list {
            let tracked = match previous.swap_remove(&server.id) {
                Some(kept) => Tracked { server: Arc::clone(server), ..kept },
                None => Tracked {
                    server: Arc::clone(server),
                    load: self.unlisted_loads.take(&server.id),
                    weight: PlacementWeight::default(),
                    health: Health::default(),
                    notice: self.unlisted.take(&server.id),
                    brittleness: Brittleness::default(),
                    cold_until: None,
                },
            };
            self.servers.insert(server.id.clone(), tracked);
        }
        for (id, removed) in previous {
            self.unlisted_loads.keep(id.clone(), removed.load);
            self.unlisted.keep(now, id, removed.notice);
        }
        self.unlisted.prune(now);
        self.group_by_service();
        self.reachability.retain(|server| self.servers.contains_key(server));
        self.group_by_version();
        self.update_totals(now);
    }

    /// Sets which servers are cold, and until when.
    pub fn set_cold<'a>(&mut self, cold: impl Iterator<Item = (&'a Incarnation, Instant)>) {
        self.servers.values_mut().for_each(|tracked| tracked.cold_until = None);
        for (id, until) in cold {
            self.update(id, |tracked| tracked.cold_until = Some(until));
        }
    }

    /// Returns the number of cold servers.
    pub fn cold_count(&self, now: Instant) -> usize {
        self.servers.values().filter(|tracked| tracked.is_cold(now)).count()
    }

    /// Records a caller's request to a service, with its priority.
    pub fn note_request(&mut self, now: Instant, service: &ServiceName, priority: u8) {
        self.admission(service).note_request(now, priority);
    }

    /// Returns the admission control of a service.
    pub fn admission(&mut self, service: &ServiceName) -> &mut AdmissionControl {
        self.admission.entry(service.clone()).or_default()
    }

    /// Picks a server.
    ///
    /// # Errors
    ///
    /// No server of the service may be used, or the request is rejected because of overload.
    pub fn pick(&self, now: Instant, request: &PickRequest<'_>) -> Result<Picked, PickError> {
        if request.leased.is_none() {
            self.check_team_share(now, request)?;
        }
        let pool = self.pool(now, request);
        if pool.is_empty()
            && let Some(left) = self.backoff_left(now, request)
        {
            return Err(PickError::Backoff { left });
        }
        if pool.is_empty() && self.has_full_brittle(now, request) {
            return Err(PickError::Overload { admitted: 0.0, wait: Duration::ZERO });
        }
        if let Some(server) = request.leased {
            return self.by_lease(now, server, &pool).ok_or(PickError::NoServer);
        }
        let fallback_load = mean_reported_load(&pool);
        let picked = match request.affinity {
            Some(key) => self.by_affinity(now, key, request, &pool, fallback_load),
            None => self.by_load(now, request, &pool),
        };
        let picked = picked.ok_or(PickError::NoServer)?;
        let (Some(admission), Some(terms)) =
            (self.admission.get(request.service), request.admission)
        else {
            return Ok(picked);
        };
        let admitted = match self.slots(now, request.service) {
            Some((own, slots)) if !self.team_fits(now, request.service, terms.team) => {
                let instances = self.position.instances;
                admission.admitted_share(now, terms.priority, own, slots, instances)
            }
            _ => 1.0,
        };
        if request.draw() >= admitted || picked.wait > AdmissionControl::max_wait(request.target) {
            return Err(PickError::Overload { admitted, wait: picked.wait });
        }
        Ok(picked)
    }

    /// Returns the servers that a request may use: the healthy ones, or all if none is healthy.
    fn pool(&self, now: Instant, request: &PickRequest<'_>) -> Vec<&Tracked> {
        let usable = self.usable(now, request);
        let healthy = self.healthy(now, &usable);
        if healthy.is_empty() { usable } else { healthy }
    }

    /// Returns the servers that a request may use, of the first group of versions that has any.
    fn usable(&self, now: Instant, request: &PickRequest<'_>) -> Vec<&Tracked> {
        for &group in self.version_groups(now, request) {
            for step in self.candidate_steps(request) {
                let usable = self.usable_of(now, request, group, step);
                if !usable.is_empty() {
                    return usable;
                }
            }
        }
        Vec::new()
    }

    /// Returns the servers of one group that a request may use; only the warm ones if a cold one was denied.
    fn usable_of(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        group: VersionGroup,
        step: usize,
    ) -> Vec<&Tracked> {
        let excluded = |id| request.tried.contains(id) || request.denied.contains(id);
        let usable: Vec<&Tracked> = self
            .candidates(request, step)
            .into_iter()
            .filter(|t| self.accepts_requests(now, t))
            .filter(|t| !excluded(&t.server.id) && self.may_serve(&t.server, request))
            .filter(|t| self.is_in_group(group, &t.server))
            .filter(|t| !self.is_brittle_and_full(now, t))
            .collect();
        if request.denied.is_empty() || usable.iter().all(|t| t.is_cold(now)) {
            return usable;
        }
        usable.into_iter().filter(|t| !t.is_cold(now)).collect()
    }

    /// Records that a request is sent to `id`.
    pub fn start_request(&mut self, now: Instant, id: &Incarnation) {
        if let Some(tracked) = self.servers.get_mut(id) {
            tracked.load.start_request();
            tracked.health.start_request(now);
            if let Some(servers) = self.by_service.get_mut(&tracked.server.service) {
                servers.own += 1;
            }
        }
    }

    /// Records that a request at `id` has ended.
    pub fn finish_request(&mut self, id: &Incarnation) {
        if let Some(tracked) = self.servers.get_mut(id) {
            tracked.load.finish_request();
            if let Some(servers) = self.by_service.get_mut(&tracked.server.service) {
                servers.own = servers.own.saturating_sub(1);
            }
        } else {
            self.unlisted_loads.finish_request(id);
        }
    }

    /// Returns the demand for shared prompts.
    pub fn prompts(&mut self) -> &mut PromptDemand {
        &mut self.prompts
    }

    /// Records a load report of a server.
    pub fn report(&mut self, now: Instant, id: &Incarnation, report: LoadReport) {
        self.update(id, |t| t.load.report(now, report));
    }

    /// Sets the requests in flight of all instances, of which this instance reported `own`; returns the servers that
    /// have become crowded.
    pub fn set_fleet_loads(
        &mut self,
        now: Instant,
        loads: &[ServiceLoad],
        own: &[InFlightCount],
    ) -> Vec<Crowded> {
        self.counted_at = Some(now);
        self.awaits_counts = false;
        let mut crowded = Vec::new();
        let own: HashMap<Tag, u32> = own.iter().copied().collect();
        for load in loads {
            let counts: HashMap<Tag, u32> = load.counts.iter().copied().collect();
            let limit = self.limit(f64::from(load.mean));
            let target = self.placement_target(load);
            let uncounted = if load.is_complete { 0.0 } else { self.mean_of_unlisted(load) };
            let mut total = FleetTotal { all: 0.0, own: 0.0, at: now };
            for tracked in self.servers.values_mut().filter(|t| t.server.service == load.service) {
                let tag = tracked.server.tag();
                let all = counts.get(&tag).map_or(uncounted, |&count| f64::from(count));
                let own = own.get(&tag).copied().unwrap_or(0);
                let all = all.max(f64::from(own));
                total.all += all;
                total.own += f64::from(own);
                tracked.weight.observe(now, all, target);
                if tracked.load.set_fleet_count(now, all, own, limit) {
                    let server = tracked.server.id.clone();
                    crowded.push(Crowded { server, load: all, limit });
                }
            }
            self.admission.entry(load.service.clone()).or_default().set_fleet_total(total);
            self.set_others(now, &load.service, (total.all - total.own).max(0.0));
        }
        self.update_totals(now);
        crowded
    }

    /// Returns how long ago the counts of the other instances were last received.
    pub fn counts_age(&self, now: Instant) -> Option<Duration> {
        self.counted_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the age of the counts of the other instances, unless they are too old to be used.
    pub fn usable_counts_age(&self, now: Instant) -> Option<Duration> {
        self.counts_age(now).filter(|&age| age < FLEET_COUNT_MAX_AGE)
    }

    /// Returns the mean load of the servers that are not listed in `load`.
    fn mean_of_unlisted(&self, load: &ServiceLoad) -> f64 {
        let servers = self.servers_of(&load.service).count();
        let listed: u32 = load.counts.iter().map(|(_, count)| count).sum();
        let rest = f64::from(load.mean) * servers as f64 - f64::from(listed);
        let unlisted = servers.saturating_sub(load.counts.len()).max(1);
        rest.max(0.0) / unlisted as f64
    }

    /// Returns this instance's requests in flight, by server, to report them to the other instances.
    pub fn own_counts(&self) -> Vec<InFlightCount> {
        let busy = self.servers.values().filter(|t| t.load.own() > 0);
        busy.map(|t| (t.server.tag(), t.load.own())).collect()
    }

    /// Records a successful response.
    pub fn note_success(&mut self, now: Instant, id: &Incarnation) {
        self.update(id, |t| t.health.note_success(now));
    }

    /// Records a failed request.
    pub fn note_failure(&mut self, now: Instant, id: &Incarnation) {
        self.update(id, |t| t.health.note_failure(now));
    }

    /// Returns this instance's requests in flight, by server.
    pub fn in_flight(&self) -> impl Iterator<Item = (&Incarnation, u32)> {
        self.servers.iter().map(|(id, t)| (id, t.load.own()))
    }

    fn update(&mut self, id: &Incarnation, change: impl FnOnce(&mut Tracked)) {
        if let Some(tracked) = self.servers.get_mut(id) {
            change(tracked);
        }
    }

    /// Returns the usable servers that are not paused and do not fail much more often than the others.
    fn healthy<'t>(&self, now: Instant, usable: &[&'t Tracked]) -> Vec<&'t Tracked> {
        let shares = usable.iter().map(|t| t.health.failure_share(now).0);
        let mean = shares.sum::<f64>() / usable.len().max(1) as f64;
        let is_healthy = |t: &&&Tracked| {
            let (share, is_reliable) = t.health.failure_share(now);
            let fails_more = is_reliable && share > mean + FAILURES_BEYOND_MEAN;
            !t.health.is_paused(now) && !fails_more && !self.is_out_of_reach(&t.server.id)
        };
        usable.iter().filter(is_healthy).copied().collect()
    }

    /// Returns this instance's phase at a server, in [0, 1), which differs between instances and between servers.
    fn phase(&self, server: Tag) -> f64 {
        let FleetPosition { number, instances } = self.position;
        ((number + server.0 as usize) % instances.max(1)) as f64 / instances.max(1) as f64
    }
}

/// Returns the mean load of the servers by their last reports, in requests.
fn mean_reported_load(pool: &[&Tracked]) -> f64 {
    let reported: Vec<f64> = pool.iter().filter_map(|t| t.load.last_reported()).collect();
    reported.iter().sum::<f64>() / reported.len().max(1) as f64
}
