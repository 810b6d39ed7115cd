//! Teams and the API keys of their callers.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::HomeRegions;
use crate::names::TeamName;

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name.
    pub name: TeamName,
    /// Priority of its requests, which overrides that of their routes.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served.
    pub homes: HomeRegions,
}

/// Teams by key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Teams {
    keys: IndexMap<String, Team>,
    configured: bool,
}

impl Teams {
    /// Returns the teams with their keys. `None` means that the operator has configured no teams.
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

    /// Returns a copy with the keys of `removed` removed and those of `put` added or assigned to another team.
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

    /// Returns all keys with their teams.
    pub fn keys(&self) -> impl Iterator<Item = (&String, &Team)> {
        self.keys.iter()
    }

    /// Returns whether callers of routes that are not public need a key.
    pub fn needs_key(&self) -> bool {
        self.configured
    }

    /// Returns whether there are several teams.
    pub fn has_several(&self) -> bool {
        let mut teams = self.keys.values().map(|team| &team.name);
        teams.next().is_some_and(|first| teams.any(|name| name != first))
    }

    /// Returns the team of `key`.
    pub fn holder(&self, key: &str) -> Option<&Team> {
        self.keys.get(key)
    }
}
