//! Versions of the platform's store, which may come back from a copy some seconds old.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// How long what was known before the store's return is held against what the store says now: operators and backend
/// servers write again what was lost, the servers with their next heartbeat (1.2 s at the users' sites); an entry
/// that nobody writes lapses after three of them.
pub const SETTLING: Duration = Duration::from_secs(5);

/// How often the store has come back from a copy.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// A version of the store: its one counter grows with each change of any table, and goes back when the store comes
/// back from a copy. Versions of a later era are later, whatever they count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreVersion {
    /// Era of the counter.
    pub era: StoreEra,
    /// The counter.
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
