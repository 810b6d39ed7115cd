//! Which software versions of a service's servers are listed, or were until recently: streams that they began may still
//! be resumed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::BackendServer;
use crate::{
    names::{ServiceName, SoftwareVersion},
    units::bounded_time,
};

/// Time for which streams may be resumed after their version was last listed: longer than callers wait for a stream.
pub const VERSION_RETENTION: Duration = Duration::from_secs(30);

/// Age of the list of servers above which another version may have appeared that other instances see.
const LIST_AGE_MAX: Duration = Duration::from_secs(3);

/// The versions of a service that an instance knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionsInSight {
    /// All streams of the service were begun by this version.
    One(Option<SoftwareVersion>),
    /// This instance knows of this version only, but other instances may know of another one.
    Perhaps(Option<SoftwareVersion>),
    /// There are several versions, or none.
    Several,
}

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
            Sighting::Until(at) => now.saturating_duration_since(at) < VERSION_RETENTION,
        }
    }
}

/// A version that an instance has in sight, as it tells another one that has just started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightedVersion {
    /// The service.
    pub service: ServiceName,
    /// The version; `None` if servers state none.
    pub version: Option<SoftwareVersion>,
    /// Time since it was last listed.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub age: Duration,
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

    /// Adds what an instance has observed that knows all versions; this one knows them all from then on.
    pub fn note_observed(&mut self, now: Instant, sighted: Vec<SightedVersion>) {
        for SightedVersion { service, version, age } in sighted {
            let last_at = now.checked_sub(age).unwrap_or(now);
            let versions = self.services.entry(service).or_default();
            versions.entry(version).or_insert(Sighting::Until(last_at));
        }
        self.observed_since = None;
        self.prune(now);
    }

    /// Adds versions that another instance has listed, and this one may not have yet.
    pub fn note_listed_elsewhere(&mut self, now: Instant, sighted: Vec<SightedVersion>) {
        for SightedVersion { service, version, .. } in sighted {
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
        let all: Vec<SightedVersion> = self.all(now).collect();
        let has_several = |service: &ServiceName| self.sole_version(now, service).is_none();
        let several: IndexSet<ServiceName> = all
            .iter()
            .map(|sighted| &sighted.service)
            .filter(|service| has_several(service))
            .cloned()
            .collect();
        let known = std::mem::replace(&mut self.announced, several);
        let is_new = |sighted: &SightedVersion| {
            self.announced.contains(&sighted.service) && !known.contains(&sighted.service)
        };
        all.into_iter().filter(is_new).collect()
    }

    /// Returns the versions in sight; `None` if this instance may not know all.
    pub fn observed(&self, now: Instant) -> Option<Vec<SightedVersion>> {
        self.knows_all(now).then(|| self.all(now).collect())
    }

    fn all(&self, now: Instant) -> impl Iterator<Item = SightedVersion> {
        let sighted = move |service: &ServiceName, version: &Option<SoftwareVersion>, sighting| {
            let age = match sighting {
                Sighting::Listed => Duration::ZERO,
                Sighting::Until(at) => now.saturating_duration_since(at),
            };
            SightedVersion { service: service.clone(), version: version.clone(), age }
        };
        self.services.iter().flat_map(move |(service, versions)| {
            versions.iter().map(move |(version, sighting)| sighted(service, version, *sighting))
        })
    }

    /// Returns the versions of a service; `list_age` is the time since the list of servers was current.
    pub fn in_sight(
        &self,
        now: Instant,
        service: &ServiceName,
        list_age: Option<Duration>,
    ) -> VersionsInSight {
        let Some(version) = self.sole_version(now, service) else {
            return VersionsInSight::Several;
        };
        let is_current = list_age.is_some_and(|age| age <= LIST_AGE_MAX);
        if is_current && self.knows_all(now) {
            VersionsInSight::One(version.clone())
        } else {
            VersionsInSight::Perhaps(version.clone())
        }
    }

    /// Returns the only version of a service that is or was in sight; `None` if there are several or none.
    fn sole_version(
        &self,
        now: Instant,
        service: &ServiceName,
    ) -> Option<&Option<SoftwareVersion>> {
        let versions = self.services.get(service)?;
        let mut in_sight = versions.iter().filter(|(_, sighting)| sighting.is_in_sight(now));
        let (version, _) = in_sight.next()?;
        in_sight.next().is_none().then_some(version)
    }

    /// Returns whether the streams of a service have to be recorded: not if all instances know that there is one version.
    pub fn must_record(&self, now: Instant, service: &ServiceName) -> bool {
        !self.knows_all(now) || self.sole_version(now, service).is_none()
    }

    /// Returns whether the streams of any service have to be recorded.
    pub fn must_record_any(&self, now: Instant) -> bool {
        self.services.keys().any(|service| self.must_record(now, service))
    }

    /// Returns whether this instance knows all versions that may have begun a stream.
    pub fn knows_all(&self, now: Instant) -> bool {
        self.observed_since
            .is_none_or(|since| now.saturating_duration_since(since) >= VERSION_RETENTION)
    }

    fn prune(&mut self, now: Instant) {
        for versions in self.services.values_mut() {
            versions.retain(|_, sighting| sighting.is_in_sight(now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}
