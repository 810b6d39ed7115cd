//! Which software versions may run a request.

use std::fmt;

use crate::names::SoftwareVersion;

/// Software versions whose servers may run a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum VersionRule {
    /// Any version.
    #[default]
    Any,
    /// The version that began the stream that the request goes on with. A server that states no version is not known to
    /// have the same one as another server.
    Only(Option<SoftwareVersion>),
}

impl VersionRule {
    /// Returns whether servers of `version` may run the request.
    pub fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            VersionRule::Any => true,
            VersionRule::Only(required) => required.is_some() && required.as_ref() == version,
        }
    }
}

impl fmt::Display for VersionRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            VersionRule::Any => f.write_str("any"),
            VersionRule::Only(None) => f.write_str("none"),
            VersionRule::Only(Some(version)) => version.fmt(f),
        }
    }
}
