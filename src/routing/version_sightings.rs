//! Which software versions of a service's servers, and which shares of a route, are in use, or were until recently:
//! streams that began under them may still be resumed.

use std::{sync::Arc, time::Instant};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::{
    BackendServer, ListedShares, ListedVersions, RouteRegistry, RouteTable, RouteTag, SharesTag,
    StreamRetention, VersionRegistry, sightings::Sightings, version_registry::ServiceVersion,
};
use crate::names::{ServiceName, SoftwareVersion};

/// A version of a service that several versions serve, as the instance that has listed them tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightedVersion {
    /// The service.
    pub service: ServiceName,
    /// The version; `None` if servers state none.
    pub version: Option<SoftwareVersion>,
}

/// The versions of all services, and the shares of all routes.
#[derive(Debug)]
pub struct VersionSightings {
    /// Since when versions have been observed; `None` if no streams can have begun before that.
    observed_since: Option<Instant>,
    versions: Sightings<ServiceName, Option<SoftwareVersion>>,
    shares: Sightings<RouteTag, SharesTag>,
    /// Services with several versions that other instances have been told of.
    announced: IndexSet<ServiceName>,
    retention: StreamRetention,
}

impl VersionSightings {
    /// Returns the sightings of an instance that has seen no list. `restarted_at` is the start of its process, unless all
    /// instances start for the first time.
    pub fn new(restarted_at: Option<Instant>) -> VersionSightings {
        VersionSightings {
            observed_since: restarted_at,
            versions: Sightings::default(),
            shares: Sightings::default(),
            announced: IndexSet::new(),
            retention: StreamRetention::default(),
        }
    }

    /// Notes the current list of servers.
    pub fn note_list<'s>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = &'s Arc<BackendServer>>,
    ) {
        let version =
            |server: &Arc<BackendServer>| (server.service.clone(), server.version.clone());
        self.versions.note_listed(now, servers.map(version));
    }

    /// Notes the routes of the active intent, which say how long callers wait.
    pub fn note_routes(&mut self, now: Instant, routes: &RouteTable) {
        self.retention.note_routes(now, routes);
        self.versions.set_retention(self.retention);
        self.shares.set_retention(self.retention);
    }

    /// Returns how long versions and shares are kept.
    pub fn retention(&self) -> StreamRetention {
        self.retention
    }

    /// Notes the shares of the active intent, and those that it has changed.
    pub fn note_shares(&mut self, now: Instant, listed: &ListedShares, changed: &ListedShares) {
        self.shares.note_listed(now, listed.iter().copied());
        self.shares.note_earlier(now, changed.iter().copied());
    }

    /// Adds the versions that are registered. If these are all, this instance knows all versions that may have begun
    /// streams from then on.
    pub fn note_registered(&mut self, now: Instant, registry: &VersionRegistry, is_complete: bool) {
        self.versions.note_earlier(now, registry.all());
        if is_complete {
            self.observed_since = None;
        }
    }

    /// Returns the versions of which servers are listed or were until a short time ago.
    pub fn versions_in_sight(&self) -> ListedVersions {
        self.versions.all().collect()
    }

    /// Adds the shares that are registered.
    pub fn note_registered_shares(&mut self, now: Instant, registry: &RouteRegistry) {
        self.shares.note_earlier(now, registry.all());
    }

    /// Returns whether a version has not been listed for as long as its streams may be resumed, by lists that this
    /// instance has received without a gap since `followed_since`.
    pub fn has_left(
        &self,
        now: Instant,
        followed_since: Instant,
        version: &ServiceVersion,
    ) -> bool {
        self.versions.has_left(now, followed_since, version)
    }

    /// Returns whether shares have not been in use for as long as streams that they led may be resumed.
    pub fn have_shares_left(
        &self,
        now: Instant,
        followed_since: Instant,
        shares: &(RouteTag, SharesTag),
    ) -> bool {
        self.shares.has_left(now, followed_since, shares)
    }

    /// Returns the shares of the active intent.
    pub fn listed_shares(&self) -> ListedShares {
        self.shares.listed().collect()
    }

    /// Returns the shares that are or were in use until a short time ago.
    pub fn shares_in_sight(&self) -> ListedShares {
        self.shares.all().collect()
    }

    /// Adds versions that another instance has listed, and this one may not have yet.
    pub fn note_listed_elsewhere(&mut self, now: Instant, sighted: Vec<SightedVersion>) {
        for SightedVersion { service, version } in sighted {
            self.versions.note_elsewhere(now, (service.clone(), version));
            self.announced.insert(service);
        }
    }

    /// Returns the versions of services that have several in sight, and had not when this was last called.
    pub fn take_new_several(&mut self, now: Instant) -> Vec<SightedVersion> {
        let several: IndexSet<ServiceName> = self.versions.with_several(now).cloned().collect();
        let known = std::mem::replace(&mut self.announced, several);
        let new = self.announced.difference(&known);
        let sighted = |service: &ServiceName, version: &Option<SoftwareVersion>| SightedVersion {
            service: service.clone(),
            version: version.clone(),
        };
        new.flat_map(|service| self.versions.of(service).map(move |v| sighted(service, v)))
            .collect()
    }

    /// Returns whether several versions of a service are or were in sight.
    pub fn has_several(&self, now: Instant, service: &ServiceName) -> bool {
        self.versions.has_several(now, service)
    }

    /// Returns whether a route has or had several shares in sight.
    pub fn has_several_shares(&self, now: Instant, route: RouteTag) -> bool {
        self.shares.has_several(now, &route)
    }

    /// Returns whether several versions of any service are or were in sight.
    pub fn has_several_of_any(&self, now: Instant) -> bool {
        self.versions.with_several(now).next().is_some()
    }

    /// Returns whether the streams of a service have to be recorded: not if this instance knows of all versions, and
    /// there is one.
    pub fn must_record(&self, now: Instant, service: &ServiceName) -> bool {
        !self.knows_all(now) || self.has_several(now, service)
    }

    /// Returns whether any streams have to be recorded.
    pub fn must_record_any(&self, now: Instant) -> bool {
        !self.knows_all(now)
            || self.has_several_of_any(now)
            || self.shares.with_several(now).next().is_some()
    }

    /// Returns whether this instance knows all versions that may have begun a stream.
    pub fn knows_all(&self, now: Instant) -> bool {
        self.observed_since.is_none_or(|since| {
            now.saturating_duration_since(since) >= self.retention.in_sight(now)
        })
    }
}
