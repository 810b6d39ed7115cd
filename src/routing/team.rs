//! Teams and the keys that their callers show.

use indexmap::IndexMap;

use crate::names::TeamName;

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: TeamName,
    /// Rank of its requests, in place of their route's.
    pub priority: Option<u8>,
}

/// Teams by key.
#[derive(Debug, Clone, Default)]
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

    /// Returns whether callers of routes that are not public need a key.
    pub fn needs_key(&self) -> bool {
        self.configured
    }

    /// Returns the team that holds `key`.
    pub fn holder(&self, key: &str) -> Option<&Team> {
        self.keys.get(key)
    }
}
