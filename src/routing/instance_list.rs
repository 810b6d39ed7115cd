//! What changes in the list of all instances, as it is passed from instance to instance.
//!
//! Answers the load of starts and stops in a large fleet: each is told to all, and a whole list to each would grow with the
//! square of their number.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::InstanceInfo;
use crate::names::NodeName;

/// Changes remembered; instances ask once a second at the least, and a fleet of a thousand that starts within two seconds
/// makes half as many in that time.
const HISTORY: usize = 1024;

/// What turns a list of instances into a later one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceChange {
    /// Instances that are new, or known by another address.
    pub put: Vec<InstanceInfo>,
    /// Instances that are gone.
    pub removed: Vec<NodeName>,
}

/// What an instance is told of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum InstanceListUpdate {
    /// What has changed since the list that it knows.
    Changes(InstanceChange),
    /// All of it.
    Whole(Vec<InstanceInfo>),
}

/// The newest changes, each with the version of the list before it.
#[derive(Debug, Default)]
pub struct InstanceHistory {
    changes: VecDeque<(u64, InstanceChange)>,
}

impl InstanceChange {
    /// Returns how many instances it tells of.
    pub fn len(&self) -> usize {
        self.put.len() + self.removed.len()
    }

    /// Returns whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl InstanceHistory {
    /// Takes a change of the list that had `version`.
    pub fn push(&mut self, version: u64, change: InstanceChange) {
        self.changes.push_back((version, change));
        if self.changes.len() > HISTORY {
            self.changes.pop_front();
        }
    }

    /// Returns what turns the list of `version` into the newest; `None` where that is not remembered.
    pub fn since(&self, version: u64) -> Option<InstanceChange> {
        let first = self.changes.iter().rposition(|(before, _)| *before == version)?;
        let mut merged: IndexMap<&NodeName, Option<&InstanceInfo>> = IndexMap::new();
        for (_, change) in self.changes.iter().skip(first) {
            merged.extend(change.removed.iter().map(|node| (node, None)));
            merged.extend(change.put.iter().map(|put| (&put.node, Some(put))));
        }
        let mut change = InstanceChange::default();
        for (node, put) in merged {
            match put {
                Some(put) => change.put.push(put.clone()),
                None => change.removed.push(node.clone()),
            }
        }
        Some(change)
    }
}
