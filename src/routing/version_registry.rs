//! Which software versions of servers may have begun the streams of a service: those of which servers are listed, or were
//! until a short time ago.

use indexmap::IndexSet;

use super::{BackendServer, registry::Registry};
use crate::names::{ServiceName, SoftwareVersion};

/// A version of a service; `None` if its servers state none.
pub type ServiceVersion = (ServiceName, Option<SoftwareVersion>);

/// The versions of which servers are listed.
pub type ListedVersions = IndexSet<ServiceVersion>;

/// The registered versions of all services.
pub type VersionRegistry = Registry<ServiceName, Option<SoftwareVersion>>;

/// The versions that may have begun a stream of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegisteredVersions {
    /// Only this one; `None` if servers state none.
    One(Option<SoftwareVersion>),
    /// Several, or none is registered, so that any may have.
    Several,
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

impl VersionRegistry {
    /// Returns the registered versions of a service.
    pub fn versions(&self, service: &ServiceName) -> RegisteredVersions {
        let mut versions = self.of(service);
        match (versions.next(), versions.next()) {
            (Some(sole), None) => RegisteredVersions::One(sole.clone()),
            _ => RegisteredVersions::Several,
        }
    }
}
