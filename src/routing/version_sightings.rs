//! Which software versions of a service's servers are listed, or were until recently: streams that they began may still
//! be resumed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{
    BackendServer, VersionRegistry,
    version_registry::{ServiceVersion, VERSION_RETENTION},
};
use crate::names::{ServiceName, SoftwareVersion};

/// Time for which a version counts as in sight after it was last listed: longer than it stays registered, so that all
/// streams are recorded whose resumption the registry leaves open.
const SIGHTING_RETENTION: Duration = VERSION_RETENTION.saturating_add(Duration::from_secs(20));

/// When a version was listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sighting {
    Listed,
    /// No longer listed since then.
    Until(Instant),
}

impl Sighting {
    fn is_in_sight(self, now: Instant) -> bool {
        match self {
            Sighting::Listed => true,
            Sighting::Until(at) => now.saturating_duration_since(at) < SIGHTING_RETENTION,
        }
    }
}

/// A version of a service that several versions serve, as the instance that has listed them tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightedVersion {
    /// The service.
    pub service: ServiceName,
    /// The version; `None` if servers state none.
    pub version: Option<SoftwareVersion>,
}

/// The versions of all services.
#[derive(Debug)]
pub struct VersionSightings {
    /// Since when versions have been observed; `None` if no streams can have begun before that.
    observed_since: Option<Instant>,
    services: IndexMap<ServiceName, IndexMap<Option<SoftwareVersion>, Sighting>>,
    /// Services with several versions that other instances have been told of.
    announced: IndexSet<ServiceName>,
}

impl VersionSightings {
    /// Returns the sightings of an instance that has seen no list. `restarted_at` is the start of its process, unless all
    /// instances start for the first time.
    pub fn new(restarted_at: Option<Instant>) -> VersionSightings {
        VersionSightings {
            observed_since: restarted_at,
            services: IndexMap::new(),
            announced: IndexSet::new(),
        }
    }

    /// Notes the current list of servers.
    pub fn note_list<'s>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = &'s Arc<BackendServer>>,
    ) {
        for sighting in self.services.values_mut().flat_map(IndexMap::values_mut) {
            if *sighting == Sighting::Listed {
                *sighting = Sighting::Until(now);
            }
        }
        for server in servers {
            let versions = self.services.entry(server.service.clone()).or_default();
            versions.insert(server.version.clone(), Sighting::Listed);
        }
        self.prune(now);
    }

    /// Adds the versions that are registered. This instance knows all versions that may have begun streams from then on.
    pub fn note_registered(&mut self, now: Instant, registry: &VersionRegistry) {
        for (service, version) in registry.all() {
            let versions = self.services.entry(service).or_default();
            versions.entry(version).or_insert(Sighting::Until(now));
        }
        self.observed_since = None;
        self.prune(now);
    }

    /// Returns whether a version has not been listed for as long as its streams may be resumed.
    pub fn has_left(&self, now: Instant, (service, version): &ServiceVersion) -> bool {
        let sighting = self.services.get(service).and_then(|versions| versions.get(version));
        matches!(
            sighting,
            Some(Sighting::Until(at)) if now.saturating_duration_since(*at) >= VERSION_RETENTION
        )
    }

    /// Adds versions that another instance has listed, and this one may not have yet.
    pub fn note_listed_elsewhere(&mut self, now: Instant, sighted: Vec<SightedVersion>) {
        for SightedVersion { service, version } in sighted {
            let versions = self.services.entry(service.clone()).or_default();
            let sighting = versions.entry(version).or_insert(Sighting::Until(now));
            if *sighting != Sighting::Listed {
                *sighting = Sighting::Until(now);
            }
            self.announced.insert(service);
        }
    }

    /// Returns the versions of services that have several in sight, and had not when this was last called.
    pub fn take_new_several(&mut self, now: Instant) -> Vec<SightedVersion> {
        let services = self.services.keys();
        let several: IndexSet<ServiceName> =
            services.filter(|service| self.has_several(now, service)).cloned().collect();
        let known = std::mem::replace(&mut self.announced, several);
        let new = self.announced.difference(&known);
        let sighted = |service: &ServiceName, version: &Option<SoftwareVersion>| SightedVersion {
            service: service.clone(),
            version: version.clone(),
        };
        new.flat_map(|service| self.services[service].keys().map(move |v| sighted(service, v)))
            .collect()
    }

    /// Returns whether several versions of a service are or were in sight.
    pub fn has_several(&self, now: Instant, service: &ServiceName) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| {
            versions.values().filter(|sighting| sighting.is_in_sight(now)).count() > 1
        })
    }

    /// Returns whether several versions of any service are or were in sight.
    pub fn has_several_of_any(&self, now: Instant) -> bool {
        self.services.keys().any(|service| self.has_several(now, service))
    }

    /// Returns whether the streams of a service have to be recorded: not if this instance knows of all versions, and
    /// there is one.
    pub fn must_record(&self, now: Instant, service: &ServiceName) -> bool {
        !self.knows_all(now) || self.has_several(now, service)
    }

    /// Returns whether the streams of any service have to be recorded.
    pub fn must_record_any(&self, now: Instant) -> bool {
        self.services.keys().any(|service| self.must_record(now, service))
    }

    /// Returns whether this instance knows all versions that may have begun a stream.
    pub fn knows_all(&self, now: Instant) -> bool {
        self.observed_since
            .is_none_or(|since| now.saturating_duration_since(since) >= SIGHTING_RETENTION)
    }

    fn prune(&mut self, now: Instant) {
        for versions in self.services.values_mut() {
            versions.retain(|_, sighting| sighting.is_in_sight(now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}
