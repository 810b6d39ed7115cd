//! Which software versions may have begun the streams of a service that callers still resume, as the store records it.
//!
//! A version is registered before its servers are used, and stays registered for a while after the last of them has left
//! the list. A registry that is read after a caller has resumed its stream therefore has the version that began it,
//! whatever list the instance that reads it has.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::BackendServer;
use crate::names::{ServiceName, SoftwareVersion};

/// Time for which a version stays registered after the last of its servers has left the list: longer than callers wait
/// for a stream.
pub const VERSION_RETENTION: Duration = Duration::from_secs(30);

/// A version of a service; `None` if its servers state none.
pub type ServiceVersion = (ServiceName, Option<SoftwareVersion>);

/// The versions of which servers are listed.
pub type ListedVersions = IndexSet<ServiceVersion>;

/// The versions that may have begun a stream of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegisteredVersions {
    /// Only this one; `None` if servers state none.
    One(Option<SoftwareVersion>),
    /// Several, or none is registered, so that any may have.
    Several,
}

/// A registered version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RegisteredVersion {
    /// The version; `None` if servers state none.
    version: Option<SoftwareVersion>,
    /// Since when none of its servers is listed, in milliseconds on the store's clock; `None` while some are.
    unlisted_since_ms: Option<u64>,
}

/// The registered versions of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionRegistry {
    services: IndexMap<ServiceName, Vec<RegisteredVersion>>,
}

/// Returns the versions of servers.
pub fn versions_of<'s>(servers: impl IntoIterator<Item = &'s BackendServer>) -> ListedVersions {
    let mut versions = ListedVersions::new();
    for server in servers {
        let version = (server.service.clone(), server.version.clone());
        versions.insert(version);
    }
    versions
}

impl RegisteredVersion {
    fn listed(version: Option<SoftwareVersion>) -> RegisteredVersion {
        RegisteredVersion { version, unlisted_since_ms: None }
    }

    /// Returns whether no stream that it began can still be resumed at `now_ms` on the store's clock.
    fn has_expired(&self, now_ms: u64) -> bool {
        let retention_ms = duration_ms(VERSION_RETENTION);
        self.unlisted_since_ms.is_some_and(|since| now_ms.saturating_sub(since) >= retention_ms)
    }
}

impl VersionRegistry {
    /// Returns the registered versions of a service.
    pub fn versions(&self, service: &ServiceName) -> RegisteredVersions {
        match self.services.get(service).map(Vec::as_slice) {
            Some([sole]) => RegisteredVersions::One(sole.version.clone()),
            _ => RegisteredVersions::Several,
        }
    }

    /// Returns all registered versions.
    pub fn all(&self) -> impl Iterator<Item = ServiceVersion> {
        self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(|registered| (service.clone(), registered.version.clone()))
        })
    }

    /// Returns whether a version is registered of which no servers are listed.
    pub fn has_unlisted(&self) -> bool {
        self.services.values().flatten().any(|registered| registered.unlisted_since_ms.is_some())
    }

    /// Returns the registry with `versions` registered as listed; `None` if they are already.
    pub fn with_listed(&self, versions: &ListedVersions) -> Option<VersionRegistry> {
        let mut registry = self.clone();
        versions.iter().for_each(|version| registry.set_listed(version));
        (registry != *self).then_some(registry)
    }

    /// Returns the registry as it has to be at `now_ms` on the store's clock if exactly `listed` are listed; `None` if it
    /// is so already. Versions that have left are dropped after [`VERSION_RETENTION`], of those only the ones for which
    /// `has_left` holds: the mark in the registry may be of an earlier absence.
    pub fn maintained(
        &self,
        now_ms: u64,
        listed: &ListedVersions,
        has_left: impl Fn(&ServiceVersion) -> bool,
    ) -> Option<VersionRegistry> {
        let mut registry = self.clone();
        for (service, versions) in &mut registry.services {
            let with_service = |known: &RegisteredVersion| (service.clone(), known.version.clone());
            for known in versions.iter_mut() {
                let is_listed = listed.contains(&with_service(known));
                known.unlisted_since_ms = match known.unlisted_since_ms {
                    _ if is_listed => None,
                    // A mark of a later time would never expire.
                    Some(since) if since <= now_ms => Some(since),
                    _ => Some(now_ms),
                };
            }
            versions.retain(|known| !(known.has_expired(now_ms) && has_left(&with_service(known))));
        }
        registry.services.retain(|_, versions| !versions.is_empty());
        listed.iter().for_each(|version| registry.set_listed(version));
        (registry != *self).then_some(registry)
    }

    fn set_listed(&mut self, (service, version): &ServiceVersion) {
        let versions = self.services.entry(service.clone()).or_default();
        match versions.iter_mut().find(|known| known.version == *version) {
            Some(known) => known.unlisted_since_ms = None,
            None => versions.push(RegisteredVersion::listed(version.clone())),
        }
    }
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
