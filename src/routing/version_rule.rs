//! Which software versions may run a request.

use std::fmt;

use crate::names::SoftwareVersion;

/// Software versions whose servers may run a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum VersionRule {
    /// Any version.
    #[default]
    Any,
    /// No version: no server of the service stated one when the stream began that the request goes on with, so that there
    /// was nothing to tell them apart by. Servers that state a version have joined since.
    Unstated,
    /// The version that began the stream that the request goes on with. A server that states no version is not known to
    /// have the same one as another server.
    Only(Option<SoftwareVersion>),
}

impl VersionRule {
    /// Returns the rule for a stream of a service whose only version is `version`; `None` if its servers state none.
    pub fn sole(version: Option<SoftwareVersion>) -> VersionRule {
        version.map_or(VersionRule::Unstated, |version| VersionRule::Only(Some(version)))
    }

    /// Returns whether one version may run the request, and no other.
    pub fn requires_version(&self) -> bool {
        matches!(self, VersionRule::Only(_))
    }

    /// Returns whether servers of `version` may run the request.
    pub fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            VersionRule::Any => true,
            VersionRule::Unstated => version.is_none(),
            VersionRule::Only(required) => required.is_some() && required.as_ref() == version,
        }
    }
}

impl fmt::Display for VersionRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            VersionRule::Any => f.write_str("any"),
            VersionRule::Unstated | VersionRule::Only(None) => f.write_str("none"),
            VersionRule::Only(Some(version)) => version.fmt(f),
        }
    }
}
