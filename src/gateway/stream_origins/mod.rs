//! Records at which software version streams began, at the instances that hold the records, and finds it out when a
//! caller resumes its stream.
//!
//! Nothing is recorded while all servers of a service have one version, and a resumption reads one row of the store.

mod checkpoint_writers;
mod checkpoints;
pub mod messages;
mod records;
mod resumption;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use self::{
    checkpoints::CheckpointLink,
    messages::{OriginQuery, OriginReply},
    records::RecordLink,
};
use super::{Gateway, request::Request};
use crate::{
    link::idle::IdleMonitor,
    names::{NodeName, ServiceName, SoftwareVersion},
    routing::{
        Intent, ListedShares, ListedVersions, RegisteredVersions, Roster, RouteRegistry, RouteTag,
        SharesTag, SightedVersion, StreamKey, StreamOrigin, StreamOrigins, StreamRecord,
        StreamScope, UnrecordedStreams, VersionRegistry, VersionSightings,
        route_shares::{changed_shares, listed_shares},
        stream_retention::record_ttl,
        version_registry::ServiceVersion,
    },
    utils::sync::lock,
};

/// Time for which an instance that did not reply is not asked again.
const SILENCE_DURATION: Duration = Duration::from_secs(1);

/// Pause after which an instance that has started reads the registry of versions again if it could not.
const REGISTRY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What an instance knows of the versions at which streams began.
pub struct StreamVersions {
    sightings: Mutex<VersionSightings>,
    origins: Mutex<StreamOrigins>,
    /// Whether streams of any service may have to be recorded.
    may_record: AtomicBool,
    /// Instances that did not reply, and until when they are not asked again.
    silent: Mutex<IndexMap<NodeName, Instant>>,
    link: RecordLink,
    /// Streams that ended incomplete, and of which nothing had to be recorded.
    unrecorded: Mutex<UnrecordedStreams>,
    checkpoints: CheckpointLink,
}

impl StreamVersions {
    /// Returns the state of an instance that knows nothing yet. `restarted_at` is the start of its process, unless all
    /// instances start for the first time.
    pub fn new(restarted_at: Option<Instant>) -> StreamVersions {
        StreamVersions {
            sightings: Mutex::new(VersionSightings::new(restarted_at)),
            origins: Mutex::default(),
            may_record: AtomicBool::new(restarted_at.is_some()),
            silent: Mutex::default(),
            link: RecordLink::default(),
            unrecorded: Mutex::default(),
            checkpoints: CheckpointLink::default(),
        }
    }

    /// Returns the number of records held.
    pub fn records(&self) -> usize {
        lock(&self.origins).len()
    }

    /// Returns whether streams may have to be recorded; as cheap as it can be, since it is asked for each event.
    pub fn may_record(&self) -> bool {
        self.may_record.load(Ordering::Relaxed)
    }

    fn must_record_any(&self, now: Instant) -> bool {
        let must = lock(&self.sightings).must_record_any(now);
        self.may_record.store(must, Ordering::Relaxed);
        must
    }

    fn must_record(&self, now: Instant, request: &Request) -> bool {
        if !self.must_record_any(now) {
            return false;
        }
        let sightings = lock(&self.sightings);
        sightings.must_record(now, &request.service)
            || sightings.has_several_shares(now, RouteTag::of(&request.route))
    }

    /// Returns whether records are written to the store: not those of routes that have changed while each service has one
    /// version, since operators change routes on days without a release as well.
    fn must_checkpoint(&self, now: Instant) -> bool {
        let sightings = lock(&self.sightings);
        sightings.has_several_of_any(now) || !sightings.knows_all(now)
    }

    fn is_silent(&self, now: Instant, node: &NodeName) -> bool {
        lock(&self.silent).get(node).is_some_and(|until| now < *until)
    }
}

impl Gateway {
    /// Has the instance receive records at `address`, and read which versions are registered if it has started while
    /// others may have begun streams.
    pub(super) fn start_stream_versions(
        self: &Arc<Gateway>,
        address: SocketAddr,
        idle: IdleMonitor,
    ) {
        self.stream_versions.link.attach(self, address, idle);
        if self.stream_versions.may_record() {
            spawn(self, "versions", learn_versions);
        }
    }

    /// Notes the versions of the current list of servers.
    pub(super) fn note_listed_versions(&self) {
        let now = self.clock.now();
        let mut sightings = lock(&self.stream_versions.sightings);
        self.cluster_state.with_servers(|roster| sightings.note_list(now, roster.servers()));
        drop(sightings);
        self.open_records(now);
    }

    /// Records the streams that have ended and have to be recorded by now, and the others with their next event.
    fn open_records(&self, now: Instant) {
        if self.stream_versions.must_record_any(now) {
            self.stream_versions.link.open();
            self.record_unrecorded(now);
        }
    }

    /// Tells other instances of services that have several versions since the list that this instance has read from the
    /// store. They record the streams that they carry from now on, and not only when the list reaches them.
    pub(super) fn announce_new_versions(&self) {
        let now = self.clock.now();
        let several = lock(&self.stream_versions.sightings).take_new_several(now);
        if !several.is_empty() {
            log_several("store", &several);
            self.announce_versions(&several);
        }
    }

    /// Notes versions that the instance at `from` has listed.
    fn note_versions_elsewhere(&self, versions: Vec<SightedVersion>, from: SocketAddr) {
        let now = self.clock.now();
        log_several(&from.to_string(), &versions);
        lock(&self.stream_versions.sightings).note_listed_elsewhere(now, versions);
        self.record_unrecorded(now);
    }

    /// Notes the versions and shares that are registered in the store, and whether these are all.
    pub(super) fn note_registered(
        &self,
        versions: &VersionRegistry,
        routes: &RouteRegistry,
        is_complete: bool,
    ) {
        let now = self.clock.now();
        let mut sightings = lock(&self.stream_versions.sightings);
        sightings.note_registered_shares(now, routes);
        sightings.note_registered(now, versions, is_complete);
        drop(sightings);
        self.record_unrecorded(now);
    }

    /// Notes the shares of the active intent, which has replaced `before`.
    pub(super) fn note_intent(&self, before: Option<&Intent>) {
        let Some(intent) = self.cluster_state.intent() else { return };
        let now = self.clock.now();
        let listed = listed_shares(&intent.routes);
        let changed =
            before.map(|before| changed_shares(&before.routes, &intent.routes)).unwrap_or_default();
        let mut sightings = lock(&self.stream_versions.sightings);
        sightings.note_routes(now, &intent.routes);
        sightings.note_shares(now, &listed, &changed);
        drop(sightings);
        self.open_records(now);
    }

    /// Returns whether a version has not been listed for as long as its streams may be resumed.
    pub(super) fn has_left(&self, version: &ServiceVersion) -> bool {
        let followed_since = self.cluster_state.with_servers(Roster::followed_since);
        followed_since.is_some_and(|since| {
            lock(&self.stream_versions.sightings).has_left(self.clock.now(), since, version)
        })
    }

    /// Returns whether shares have not been in use for as long as streams that they led may be resumed.
    pub(super) fn have_shares_left(&self, shares: &(RouteTag, SharesTag)) -> bool {
        let followed_since = self.cluster_state.with_servers(Roster::followed_since);
        followed_since.is_some_and(|since| {
            lock(&self.stream_versions.sightings).have_shares_left(self.clock.now(), since, shares)
        })
    }

    /// Returns how long versions and shares stay registered.
    pub(super) fn registry_retention(&self) -> Duration {
        lock(&self.stream_versions.sightings).retention().registered(self.clock.now())
    }

    /// Returns the shares of the active intent.
    pub(super) fn used_shares(&self) -> ListedShares {
        lock(&self.stream_versions.sightings).listed_shares()
    }

    /// Returns the versions and shares that are or were in use until a short time ago, if this instance knows all that may
    /// have begun streams. One whose list was old as the store was restored may have missed some.
    pub(super) fn all_in_sight(&self, now: Instant) -> Option<(ListedVersions, ListedShares)> {
        let missed_at = self.cluster_state.with_servers(Roster::missed_restore_at);
        let sightings = lock(&self.stream_versions.sightings);
        let retention = sightings.retention().in_sight(now);
        let has_missed = missed_at.is_some_and(|at| now.saturating_duration_since(at) < retention);
        let knows_all = sightings.knows_all(now) && !has_missed;
        knows_all.then(|| (sightings.versions_in_sight(), sightings.shares_in_sight()))
    }

    /// Returns the shares that are or were in use until a short time ago.
    pub(super) fn shares_in_sight(&self) -> ListedShares {
        lock(&self.stream_versions.sightings).shares_in_sight()
    }

    /// Returns whether this instance knows of several versions of a service, or several shares of a route.
    fn has_several_origins(&self, now: Instant, service: &ServiceName, route: RouteTag) -> bool {
        let sightings = lock(&self.stream_versions.sightings);
        sightings.has_several(now, service) || sightings.has_several_shares(now, route)
    }

    /// Records at which version the stream of a request began, if that has to be recorded; returns whether it was.
    pub(super) fn record_stream(
        &self,
        request: &Request,
        version: Option<&SoftwareVersion>,
    ) -> bool {
        let now = self.clock.now();
        if !self.stream_versions.must_record(now, request) {
            return false;
        }
        self.add_records(now, vec![stream_record(request, version)]);
        true
    }

    fn add_records(&self, now: Instant, records: Vec<StreamRecord>) {
        let must_checkpoint = self.stream_versions.must_checkpoint(now);
        for record in &records {
            lock(&self.stream_versions.origins).record(now, record.clone());
            if must_checkpoint {
                self.checkpoint_record(now, record);
            }
        }
        self.send_records(now, records);
    }

    /// Remembers at which version a stream began that has ended incomplete, and records it once that has to be recorded.
    pub(super) fn remember_stream(&self, request: &Request, version: Option<&SoftwareVersion>) {
        let now = self.clock.now();
        let record = stream_record(request, version);
        lock(&self.stream_versions.unrecorded).add(now, request.stream_scope(), record);
        // Another version may have appeared in the meantime.
        self.record_unrecorded(now);
    }

    /// Records the streams that ended incomplete, if they have to be recorded by now.
    fn record_unrecorded(&self, now: Instant) {
        if !self.stream_versions.must_record_any(now) {
            return;
        }
        let due = {
            let sightings = lock(&self.stream_versions.sightings);
            let must_record = |scope: &StreamScope| {
                sightings.must_record(now, &scope.service)
                    || sightings.has_several_shares(now, scope.route)
            };
            lock(&self.stream_versions.unrecorded).take_due(now, must_record)
        };
        if !due.is_empty() {
            self.add_records(now, due);
        }
        self.stream_versions.checkpoints.changed.set();
    }

    /// Replies to another instance.
    pub(super) fn answer_origin_query(&self, query: &OriginQuery) -> OriginReply {
        let now = self.clock.now();
        let OriginQuery { key, service, shares, reads_registry } = query;
        if let Some(origin) = lock(&self.stream_versions.origins).origin(now, *key) {
            return OriginReply::Began(origin.clone());
        }
        if !reads_registry || self.has_several_origins(now, service, shares.route) {
            return OriginReply::Unknown;
        }
        match self.registered_versions(service, *shares, now) {
            Ok(RegisteredVersions::One(version)) => OriginReply::SoleRegistered(version),
            Ok(RegisteredVersions::Several) | Err(_) => OriginReply::Unknown,
        }
    }
}

/// Returns the record of a stream that begins with a request.
fn stream_record(request: &Request, version: Option<&SoftwareVersion>) -> StreamRecord {
    let wait = request.metadata.timeout.unwrap_or_default().max(request.route.timeout);
    StreamRecord {
        key: StreamKey::of(request.team_name(), &request.metadata.id),
        origin: StreamOrigin::new(&request.service, version.cloned()),
        ttl: record_ttl(wait),
    }
}

/// Starts a thread of the instance.
fn spawn(gateway: &Arc<Gateway>, name: &'static str, run: fn(&Gateway)) {
    if let Err(error) = gateway.spawn_thread(name, move |gateway| run(gateway)) {
        log::error!("event=no_thread name={name} reason={error}");
    }
}

/// Logs that services have several versions, by the list or by the word of another instance.
fn log_several(source: &str, versions: &[SightedVersion]) {
    for SightedVersion { service, version } in versions {
        let version = version.as_ref().map_or("none", SoftwareVersion::as_str);
        log::info!("event=version_in_sight service={service} software={version} source={source}");
    }
}

/// Reads which versions are registered, until the instance knows all that may have begun streams.
fn learn_versions(gateway: &Gateway) {
    while gateway.is_running() {
        let now = gateway.clock.now();
        if lock(&gateway.stream_versions.sightings).knows_all(now) {
            return;
        }
        match gateway.learn_registered_versions() {
            Ok(()) => {
                if gateway.stream_versions.may_record() {
                    gateway.announce_start();
                }
                return;
            }
            Err(error) => {
                log::info!("event=versions_unread reason={:?}", error.to_string());
                thread::sleep(REGISTRY_RETRY_DELAY);
            }
        }
    }
}
