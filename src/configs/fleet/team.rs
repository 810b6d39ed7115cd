//! A team: callers that share a weight and limits.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{configs::reader::TableReader, names::TeamId, units::Rate, utils::secret::keyed_hash};

/// Largest weight of a team.
const WEIGHT_MAX: u64 = 1000;

/// Which requests go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Shares by weight.
    Normal,
    /// Goes before every normal request; for a small, named class of work.
    Reserved,
}

/// Keyed hash of a team's key: HMAC-SHA-256 under the file's `key_salt`, in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyHash(String);

/// Why a text is not a key hash.
#[derive(Debug, thiserror::Error)]
#[error("is not a key hash of 64 hexadecimal digits; make one with `cartvane hash-key`")]
pub struct KeyHashError;

impl KeyHash {
    /// Returns the hash of `key` under `salt`.
    pub fn of(salt: &str, key: &str) -> KeyHash {
        KeyHash(hex::encode(keyed_hash(salt.as_bytes(), key.as_bytes())))
    }

    /// Returns the hash as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<KeyHash, KeyHashError> {
        let is_valid = text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if is_valid { Ok(KeyHash(text.to_ascii_lowercase())) } else { Err(KeyHashError) }
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Id.
    pub id: TeamId,
    /// Hashes of the keys its callers show; two while a key is being replaced.
    pub keys: Vec<KeyHash>,
    /// Share of a contended service, relative to the other teams.
    pub weight: u32,
    /// Most requests in flight per service, fleet-wide; none: no limit.
    pub max_in_flight: Option<u32>,
    /// Most requests a second per service, fleet-wide; none: no limit.
    pub rate: Option<Rate>,
    /// Class of the team's requests.
    pub priority: Priority,
}

impl Team {
    /// Reads one `[[team]]`.
    pub fn read(table: &TableReader<'_, '_>) -> Option<Team> {
        let id = table.required("id");
        let keys = table.texts("keys");
        let weight = table.integer("weight", 1, WEIGHT_MAX).unwrap_or(1);
        let max_in_flight = table.integer("max_in_flight", 1, u64::from(u32::MAX));
        let rate = table.text("rate");
        let classes = [("normal", Priority::Normal), ("reserved", Priority::Reserved)];
        let priority = table.choice("priority", &classes).unwrap_or(Priority::Normal);
        if table.is_empty_list("keys") {
            table.add_error(
                "keys",
                "needs at least one key hash; make one with `cartvane hash-key`",
            );
        }
        Some(Team {
            id: id?,
            keys,
            weight: weight as u32,
            max_in_flight: max_in_flight.map(|n| n as u32),
            rate,
            priority,
        })
    }
}
