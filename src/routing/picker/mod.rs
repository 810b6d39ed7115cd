//! Chooses a backend server for each request, from what this instance sees.
//!
//! Requests that share a prompt go to the same engine by rendezvous hashing, as long as its load
//! stays under a bound; beyond that they go to the next in their own rank. Other requests go to
//! the least loaded server, those of the own availability zone first.

mod affinity;
mod least_loaded;
mod notices;
mod service_servers;
mod slots;
mod unresponsive;
mod versions;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use self::{
    service_servers::ServiceServers,
    versions::{RolloutServers, VersionGroup},
};
use super::{
    AdmissionControl, BackendServer, Count, Crowded, FleetPosition, Health, Incarnation, Load,
    LoadReport, Notice, PickError, PickRequest, Picked, ServiceLoad, UnlistedNotices,
    admission::FleetTotal,
};
use crate::names::{RegionName, ServiceName, Tag, ZoneName};

/// How much worse than the service's mean a server's share of failures may be.
const FAILURES_BEYOND_MEAN: f64 = 0.2;

#[derive(Debug)]
struct Tracked {
    server: Arc<BackendServer>,
    load: Load,
    health: Health,
    /// What the server has said of itself in its answers.
    notice: Notice,
    /// Until when the server is cold.
    cold_until: Option<Instant>,
}

impl Tracked {
    fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}

/// Loads and health of all backend servers, as this instance sees them.
#[derive(Debug)]
pub struct Picker {
    servers: IndexMap<Incarnation, Tracked>,
    zone: ZoneName,
    /// Regions of the availability zones.
    regions: IndexMap<ZoneName, RegionName>,
    /// The operator's bound on an engine's load, as a multiple of the mean.
    load_bound: f64,
    /// This instance among all.
    position: FleetPosition,
    admission: IndexMap<ServiceName, AdmissionControl>,
    /// Availability zones that get nothing new.
    evacuated: IndexSet<ZoneName>,
    unlisted: UnlistedNotices,
    /// Services whose version changes.
    versions: IndexMap<ServiceName, RolloutServers>,
    /// The servers of each service.
    by_service: IndexMap<ServiceName, ServiceServers>,
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
            admission: IndexMap::new(),
            evacuated: IndexSet::new(),
            unlisted: UnlistedNotices::default(),
            versions: IndexMap::new(),
            by_service: IndexMap::new(),
        }
    }

    /// Sets the regions of the availability zones.
    pub fn set_regions(&mut self, regions: IndexMap<ZoneName, RegionName>) {
        self.regions = regions;
    }

    /// Returns whether a server is where a request may be served.
    fn is_in_home_region(&self, server: &BackendServer, request: &PickRequest<'_>) -> bool {
        request.homes.allows(self.regions.get(&server.zone))
    }

    /// Sets which of all instances this one is.
    pub fn set_position(&mut self, position: FleetPosition) {
        self.position = position;
    }

    /// Returns which of all instances this one is.
    pub fn position(&self) -> FleetPosition {
        self.position
    }

    /// Sets the zones whose servers get nothing new; returns those before.
    pub fn set_evacuated(&mut self, zones: IndexSet<ZoneName>) -> IndexSet<ZoneName> {
        std::mem::replace(&mut self.evacuated, zones)
    }

    /// Returns whether a server may get new requests, but for a backoff that it has asked for.
    fn is_available(&self, tracked: &Tracked) -> bool {
        let leaving = tracked.server.leaving || tracked.notice.is_leaving();
        !leaving && !self.evacuated.contains(&tracked.server.zone)
    }

    /// Returns whether a server takes new requests now.
    fn accepts_requests(&self, now: Instant, tracked: &Tracked) -> bool {
        self.is_available(tracked) && !tracked.notice.forbids_requests(now)
    }

    /// Takes the list of servers in force; what is known of those that stay is kept, and nothing of those that
    /// started again. What a server has said of itself is kept also while it is not listed.
    pub fn set_servers<'a>(
        &mut self,
        now: Instant,
        list: impl Iterator<Item = &'a Arc<BackendServer>>,
    ) {
        let mut former = std::mem::take(&mut self.servers);
        for server in list {
            let tracked = match former.swap_remove(&server.id) {
                Some(known) => Tracked { server: Arc::clone(server), ..known },
                None => Tracked {
                    server: Arc::clone(server),
                    load: Load::default(),
                    health: Health::default(),
                    notice: self.unlisted.take(&server.id),
                    cold_until: None,
                },
            };
            self.servers.insert(server.id.clone(), tracked);
        }
        for (id, gone) in former {
            self.unlisted.keep(now, id, gone.notice);
        }
        self.unlisted.prune(now);
        self.group_by_service();
        self.group_versions();
        self.update_totals(now);
    }

    /// Sets until when servers are cold.
    pub fn set_cold<'a>(&mut self, cold: impl Iterator<Item = (&'a Incarnation, Instant)>) {
        self.servers.values_mut().for_each(|tracked| tracked.cold_until = None);
        for (id, until) in cold {
            self.with(id, |tracked| tracked.cold_until = Some(until));
        }
    }

    /// Returns how many servers are cold.
    pub fn cold_count(&self, now: Instant) -> usize {
        self.servers.values().filter(|tracked| tracked.is_cold(now)).count()
    }

    /// Notes a caller's request to a service, with its rank and target latency.
    pub fn note_request(
        &mut self,
        now: Instant,
        service: &ServiceName,
        priority: u8,
        target: Duration,
    ) {
        self.admission(service).note_request(now, priority, target);
    }

    /// Returns what is learnt of a service's load, to learn more.
    pub fn admission(&mut self, service: &ServiceName) -> &mut AdmissionControl {
        self.admission.entry(service.clone()).or_default()
    }

    /// Picks a server.
    ///
    /// # Errors
    ///
    /// No server of the service may be used, or all have too long a queue.
    pub fn pick(&self, now: Instant, request: &PickRequest<'_>) -> Result<Picked, PickError> {
        let usable = self.usable(now, request);
        if usable.is_empty()
            && let Some(left) = self.backoff_left(now, request)
        {
            return Err(PickError::Backoff { left });
        }
        let healthy = self.healthy(now, &usable);
        let pool = if healthy.is_empty() { usable } else { healthy };
        let usual = usual_load(&pool);
        let picked = match request.affinity {
            Some(key) => self.by_affinity(now, key, request, &pool, usual),
            None => self.by_load(now, request, &pool),
        };
        let picked = picked.ok_or(PickError::NoServer)?;
        let (Some(admission), Some(priority)) =
            (self.admission.get(request.service), request.admission)
        else {
            return Ok(picked);
        };
        let admitted = match self.slots(now, request.service) {
            Some((own, slots)) => {
                admission.admitted_share(now, priority, own, slots, self.position.instances)
            }
            None => 1.0,
        };
        if request.draw() >= admitted || picked.wait > admission.max_wait(now) {
            return Err(PickError::Overload { admitted, wait: picked.wait });
        }
        Ok(picked)
    }

    /// Returns the servers that a request may go to; where those of a new version are its turn and none of them may be
    /// used, those of the others.
    fn usable(&self, now: Instant, request: &PickRequest<'_>) -> Vec<&Tracked> {
        let version_group = self.version_group(now, request);
        let sides: &[VersionGroup] = if version_group == VersionGroup::New {
            &[VersionGroup::New, VersionGroup::Old]
        } else {
            &[version_group]
        };
        for &version_group in sides {
            for step in 0..self.steps(request.service) {
                let usable = self.usable_of(now, request, version_group, step);
                if !usable.is_empty() {
                    return usable;
                }
            }
        }
        Vec::new()
    }

    /// Returns the servers of one side that a request may go to, the warm ones only where a cold one did not take it.
    fn usable_of(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        version_group: VersionGroup,
        step: usize,
    ) -> Vec<&Tracked> {
        let refused = |id| request.tried.contains(id) || request.denied.contains(id);
        let usable: Vec<&Tracked> = self
            .candidates(request, step)
            .into_iter()
            .filter(|t| self.accepts_requests(now, t))
            .filter(|t| !refused(&t.server.id) && self.is_in_home_region(&t.server, request))
            .filter(|t| self.is_in_group(version_group, &t.server))
            .collect();
        if request.denied.is_empty() || usable.iter().all(|t| t.is_cold(now)) {
            return usable;
        }
        usable.into_iter().filter(|t| !t.is_cold(now)).collect()
    }

    /// Notes that a request goes to `id`.
    pub fn start_request(&mut self, now: Instant, id: &Incarnation) {
        if let Some(tracked) = self.servers.get_mut(id) {
            tracked.load.start_request();
            tracked.health.start_request(now);
            if let Some(of) = self.by_service.get_mut(&tracked.server.service) {
                of.own += 1;
            }
        }
    }

    /// Notes that a request at `id` ended.
    pub fn finish_request(&mut self, id: &Incarnation) {
        if let Some(tracked) = self.servers.get_mut(id) {
            tracked.load.finish_request();
            if let Some(of) = self.by_service.get_mut(&tracked.server.service) {
                of.own = of.own.saturating_sub(1);
            }
        }
    }

    /// Takes what a server says of its load.
    pub fn report(&mut self, now: Instant, id: &Incarnation, report: LoadReport) {
        self.with(id, |t| t.load.report(now, report));
    }

    /// Takes what all instances have in flight, of which `own` is what this one told; returns the servers
    /// that have become crowded.
    pub fn set_fleet_loads(
        &mut self,
        now: Instant,
        loads: &[ServiceLoad],
        own: &[Count],
    ) -> Vec<Crowded> {
        let mut crowded = Vec::new();
        let own: HashMap<Tag, u32> = own.iter().copied().collect();
        for load in loads {
            let counts: HashMap<Tag, u32> = load.counts.iter().copied().collect();
            let bounds = self.bounds(f64::from(load.mean));
            let unlisted = if load.whole { 0.0 } else { f64::from(load.mean) };
            let mut total = FleetTotal { all: 0.0, own: 0.0, at: now };
            for tracked in self.servers.values_mut().filter(|t| t.server.service == load.service) {
                let tag = tracked.server.tag();
                let all = counts.get(&tag).map_or(unlisted, |&count| f64::from(count));
                let own = own.get(&tag).copied().unwrap_or(0);
                let all = all.max(f64::from(own));
                total.all += all;
                total.own += f64::from(own);
                if tracked.load.set_fleet_count(now, all, own, bounds) {
                    let server = tracked.server.id.clone();
                    crowded.push(Crowded { server, load: all, limit: bounds.limit });
                }
            }
            self.admission.entry(load.service.clone()).or_default().set_fleet_total(total);
            self.set_others(now, &load.service, (total.all - total.own).max(0.0));
        }
        self.update_totals(now);
        crowded
    }

    /// Returns this instance's requests in flight, by server, for the other instances.
    pub fn own_counts(&self) -> Vec<Count> {
        let busy = self.servers.values().filter(|t| t.load.own() > 0);
        busy.map(|t| (t.server.tag(), t.load.own())).collect()
    }

    /// Notes a good answer.
    pub fn note_success(&mut self, now: Instant, id: &Incarnation) {
        self.with(id, |t| t.health.note_success(now));
    }

    /// Notes a failed answer.
    pub fn note_failure(&mut self, now: Instant, id: &Incarnation) {
        self.with(id, |t| t.health.note_failure(now));
    }

    /// Returns this instance's requests in flight, by server.
    pub fn in_flight(&self) -> impl Iterator<Item = (&Incarnation, u32)> {
        self.servers.iter().map(|(id, t)| (id, t.load.own()))
    }

    fn with(&mut self, id: &Incarnation, change: impl FnOnce(&mut Tracked)) {
        if let Some(tracked) = self.servers.get_mut(id) {
            change(tracked);
        }
    }

    fn healthy<'t>(&self, now: Instant, usable: &[&'t Tracked]) -> Vec<&'t Tracked> {
        let shares = usable.iter().map(|t| t.health.failure_share(now).0);
        let mean = shares.sum::<f64>() / usable.len().max(1) as f64;
        let works = |t: &&&Tracked| {
            let (share, enough) = t.health.failure_share(now);
            let fails_more = enough && share > mean + FAILURES_BEYOND_MEAN;
            !t.health.is_paused(now) && !fails_more
        };
        usable.iter().filter(works).copied().collect()
    }

    /// Returns this instance's turn at a server, in [0, 1): each instance has another one, and another
    /// at each server.
    fn phase(&self, server: Tag) -> f64 {
        let FleetPosition { number, instances } = self.position;
        ((number + server.0 as usize) % instances.max(1)) as f64 / instances.max(1) as f64
    }
}

/// Returns the mean of the last reports, in requests.
fn usual_load(pool: &[&Tracked]) -> f64 {
    let reported: Vec<f64> = pool.iter().filter_map(|t| t.load.last_reported()).collect();
    reported.iter().sum::<f64>() / reported.len().max(1) as f64
}
