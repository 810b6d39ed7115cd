//! What operators want of a roll-out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::SoftwareVersion;

/// That a service's requests are to be moved to backend servers of another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The version.
    pub to: SoftwareVersion,
    /// Time from the order within which the version has taken over or is rolled back.
    pub time_limit: Duration,
}
