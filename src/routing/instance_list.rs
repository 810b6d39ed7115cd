//! Updates of the list of all instances, as one instance sends them to another.
//!
//! Each start or stop of an instance is sent to all others. With whole lists the bytes sent would grow with the square
//! of the number of instances.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::InstanceInfo;
use crate::names::NodeName;

/// Number of changes kept. Each instance asks at least once a second, in which a fleet of a thousand that starts within
/// two seconds makes half as many changes.
const CHANGES_MAX: usize = 1024;

/// What turns a list of instances into a later one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceChange {
    /// Instances that are new or have another address.
    pub put: Vec<InstanceInfo>,
    /// Instances that have stopped.
    pub removed: Vec<NodeName>,
}

/// What an instance receives of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum InstanceListUpdate {
    /// The changes since the version that it has.
    Changes(InstanceChange),
    /// The whole list.
    Whole(Vec<InstanceInfo>),
}

/// The newest changes, each with the version of the list before it.
#[derive(Debug, Default)]
pub struct InstanceHistory {
    changes: VecDeque<(u64, InstanceChange)>,
}

impl InstanceChange {
    /// Returns the number of instances that it puts or removes.
    pub fn len(&self) -> usize {
        self.put.len() + self.removed.len()
    }

    /// Returns whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl InstanceHistory {
    /// Adds the change that was made to the list of `version`.
    pub fn push(&mut self, version: u64, change: InstanceChange) {
        self.changes.push_back((version, change));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
    }

    /// Returns what turns the list of `version` into the newest one; `None` if that is no longer kept.
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
