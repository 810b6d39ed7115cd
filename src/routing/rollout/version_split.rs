//! How the requests of a service are split between versions while a roll-out is in progress.

use std::time::Instant;

use crate::names::{ServiceName, SoftwareVersion};

/// The split for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionSplit {
    /// The service.
    pub service: ServiceName,
    /// Version whose servers get only a share of the requests; `None` if all versions that are not barred are equal.
    pub to: Option<SoftwareVersion>,
    /// Share of the requests that goes to that version.
    pub share: f64,
    /// When the share expires, if it does.
    pub until: Option<Instant>,
    /// Number of servers of the version that are used.
    pub servers: usize,
    /// Versions that get no requests.
    pub barred: Vec<SoftwareVersion>,
}

impl VersionSplit {
    /// Returns whether servers of `version` get no requests.
    pub fn bars(&self, version: Option<&SoftwareVersion>) -> bool {
        version.is_some_and(|version| self.barred.contains(version))
    }

    /// Returns whether servers of `version` get only a share of the requests.
    pub fn is_new(&self, version: Option<&SoftwareVersion>) -> bool {
        self.to.is_some() && self.to.as_ref() == version
    }

    /// Returns the share of the requests that goes to the new version at `now`.
    pub fn share(&self, now: Instant) -> f64 {
        if self.until.is_some_and(|until| now >= until) { 0.0 } else { self.share }
    }
}
