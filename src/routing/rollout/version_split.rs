//! Which backend servers of a service requests may go to while its version changes.

use std::time::Instant;

use crate::names::{ServiceName, SoftwareVersion};

/// The rule for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionSplit {
    /// The service.
    pub service: ServiceName,
    /// Version whose servers get a share only; `None` where all that are not barred are equal.
    pub to: Option<SoftwareVersion>,
    /// The share.
    pub share: f64,
    /// Until when it holds, where it does not hold for good.
    pub until: Option<Instant>,
    /// Servers of the version that are used.
    pub servers: usize,
    /// Versions that get nothing.
    pub barred: Vec<SoftwareVersion>,
}

impl VersionSplit {
    /// Returns whether servers of a version get nothing.
    pub fn bars(&self, version: Option<&SoftwareVersion>) -> bool {
        version.is_some_and(|version| self.barred.contains(version))
    }

    /// Returns whether servers of `version` get a share only.
    pub fn is_new(&self, version: Option<&SoftwareVersion>) -> bool {
        self.to.is_some() && self.to.as_ref() == version
    }

    /// Returns the share of the requests that goes to the new version now.
    pub fn share(&self, now: Instant) -> f64 {
        if self.until.is_some_and(|until| now >= until) { 0.0 } else { self.share }
    }
}
