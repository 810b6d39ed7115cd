//! What differs between two files, by entity.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Fleet, chunks::entities};

/// How an entity differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// Only the newer file has it.
    Added,
    /// Only the older file has it.
    Removed,
    /// Both have it, with different content.
    Changed,
}

/// One differing entity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Entity key, such as `team/drivers`.
    pub entity: String,
    /// How it differs.
    pub kind: ChangeKind,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed => '~',
        };
        write!(f, "{sign} {}", self.entity)
    }
}

/// Returns what differs, sorted by entity.
pub fn diff(older: &Fleet, newer: &Fleet) -> Vec<Change> {
    let (old, new) = (entities(older), entities(newer));
    let mut changes: Vec<Change> = new
        .iter()
        .filter_map(|(key, bytes)| match old.get(key) {
            None => Some(Change { entity: key.clone(), kind: ChangeKind::Added }),
            Some(before) if before != bytes => {
                Some(Change { entity: key.clone(), kind: ChangeKind::Changed })
            }
            Some(_) => None,
        })
        .collect();
    let removed = old.keys().filter(|key| !new.contains_key(*key));
    changes.extend(removed.map(|key| Change { entity: key.clone(), kind: ChangeKind::Removed }));
    changes.sort_by(|a, b| a.entity.cmp(&b.entity));
    changes
}
