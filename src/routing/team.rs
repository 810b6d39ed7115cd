//! Teams and the keys that their callers show.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::HomeRegions;
use crate::names::TeamName;

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name.
    pub name: TeamName,
    /// Rank of its requests, in place of their route's.
    pub priority: Option<u8>,
    /// Where its requests may be served.
    pub homes: HomeRegions,
}

/// Teams by key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Teams {
    keys: IndexMap<String, Team>,
    configured: bool,
}

impl Teams {
    /// Returns teams with their keys; `None` where the operator configures no teams at all.
    pub fn new(teams: Option<Vec<(Team, Vec<String>)>>) -> Teams {
        let configured = teams.is_some();
        let mut keys = IndexMap::new();
        for (team, team_keys) in teams.unwrap_or_default() {
            for key in team_keys {
                keys.insert(key, team.clone());
            }
        }
        Teams { keys, configured }
    }

    /// Returns the teams without the keys of `removed`, and with those of `put` added or given to another
    /// team.
    pub fn with_changes(
        &self,
        put: impl IntoIterator<Item = (String, Team)>,
        removed: &[String],
        needs_key: bool,
    ) -> Teams {
        let mut keys = self.keys.clone();
        for key in removed {
            keys.swap_remove(key);
        }
        keys.extend(put);
        Teams { keys, configured: needs_key }
    }

    /// Returns all keys with the teams that hold them.
    pub fn keys(&self) -> impl Iterator<Item = (&String, &Team)> {
        self.keys.iter()
    }

    /// Returns whether callers of routes that are not public need a key.
    pub fn needs_key(&self) -> bool {
        self.configured
    }

    /// Returns the team that holds `key`.
    pub fn holder(&self, key: &str) -> Option<&Team> {
        self.keys.get(key)
    }
}
