//! An operator's order for a roll-out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{names::SoftwareVersion, units::bounded_time};

/// Order to move a service's requests to backend servers of another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The new version.
    pub to: SoftwareVersion,
    /// Time from the order within which the version has taken over or is rolled back.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub time_limit: Duration,
}
