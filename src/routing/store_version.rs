//! Versions of the platform's store, which may be restored from a copy some seconds old.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// How long the state from before a restore takes precedence over what the restored store contains. Meanwhile operators
/// and backend servers write again what was lost, the servers with their next heartbeat (every 1.2 s at the users'
/// sites); an entry that is not written expires after three heartbeats.
pub const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Number of times that the store has been restored from a copy.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// A version of the store. Its one counter increases with each change of any table and decreases when the store is
/// restored from a copy; versions of a later era are therefore later whatever their counter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreVersion {
    /// Era of the counter.
    pub era: StoreEra,
    /// Counter of the changes of all tables.
    pub counter: u64,
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.counter)
    }
}
