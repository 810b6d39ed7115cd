//! Which instance is the aggregator: it collects the fleet's counts and reads the store on behalf of the others.
//!
//! Every instance ranks all instances in the same way and reports to the first that responds. Their views may differ
//! for a while. That is safe without agreement: an instance replies to every report with what it knows, and each reply
//! contains the age of that data.

use std::{
    cmp::Ordering,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{FleetPosition, InstanceChange, InstanceHistory, InstanceListUpdate};
use crate::{
    names::{NodeName, ZoneName},
    units::cores,
};

/// First period for which an instance is skipped after it did not respond; doubled with each further failure.
const SKIP_FIRST: Duration = Duration::from_secs(1);

/// Longest such period.
const SKIP_MAX: Duration = Duration::from_secs(8);

/// Largest number of changes that are inserted one by one; with more, the whole list is sorted again.
const INSERTED_MAX: usize = 16;

/// A running instance, as listed at the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name of the instance.
    pub node: NodeName,
    /// Address at which it listens for other instances.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its share of processors, in cores; stronger instances rank first.
    #[serde(deserialize_with = "cores::deserialize")]
    pub cores: f32,
}

/// All instances by rank, and which of them did not respond.
#[derive(Debug)]
pub struct Candidates {
    own: InstanceInfo,
    ranked: Vec<InstanceInfo>,
    version: u64,
    history: InstanceHistory,
    unresponsive: IndexMap<NodeName, (Instant, Duration)>,
}

impl Candidates {
    /// Returns the candidates of an instance that knows only itself.
    pub fn new(own: InstanceInfo) -> Candidates {
        let (history, unresponsive) = (InstanceHistory::default(), IndexMap::new());
        let mut candidates =
            Candidates { own, ranked: Vec::new(), version: 0, history, unresponsive };
        candidates.set([]);
        candidates
    }

    /// Sets this instance's address, once it is bound.
    pub fn set_own_address(&mut self, address: SocketAddr) {
        self.own.address = address;
        let removed = self.others_at(&self.own);
        self.change(vec![self.own.clone()], removed);
    }

    /// Sets the list of all instances; this instance is always included.
    pub fn set(&mut self, instances: impl IntoIterator<Item = InstanceInfo>) {
        let own = self.own.node.clone();
        if self.ranked.len() <= 1 {
            // An instance that has just started knows no list that could have changed.
            let is_other =
                |i: &InstanceInfo| i.node != own && !reaches(i.address, self.own.address);
            let others = instances.into_iter().filter(is_other);
            self.ranked = others.collect();
            self.ranked.push(self.own.clone());
            return self.rank();
        }
        let mut listed: IndexMap<NodeName, InstanceInfo> =
            instances.into_iter().map(|i| (i.node.clone(), i)).collect();
        listed.insert(own, self.own.clone());
        let removed = |i: &&InstanceInfo| !listed.contains_key(&i.node);
        let removed: Vec<NodeName> =
            self.ranked.iter().filter(removed).map(|i| i.node.clone()).collect();
        let mut put: Vec<InstanceInfo> = listed.into_values().collect();
        let known = self.by_node();
        put.retain(|i| known.get(&i.node) != Some(&i));
        self.change(put, removed);
    }

    /// Applies an update received from another instance; returns whether the list has changed.
    pub fn apply_update(&mut self, update: InstanceListUpdate) -> bool {
        let before = self.version;
        match update {
            InstanceListUpdate::Whole(all) => self.set(all),
            InstanceListUpdate::Changes(InstanceChange { put, removed }) => {
                self.change(put, removed)
            }
        }
        self.version != before
    }

    /// Returns the changes of the list since it had `version`, or the whole list if that version is no longer known.
    pub fn update_since(&self, version: u64) -> InstanceListUpdate {
        match self.history.since(version) {
            Some(change) if change.len() < self.ranked.len() => InstanceListUpdate::Changes(change),
            _ => InstanceListUpdate::Whole(self.ranked.clone()),
        }
    }

    /// Adds or replaces an instance that reported itself, which replaces others at its address.
    pub fn add(&mut self, instance: InstanceInfo) {
        if !self.ranked.contains(&instance) {
            let removed = self.others_at(&instance);
            self.change(vec![instance], removed);
        }
    }

    /// Returns the nodes other than that of `instance` that are listed at its address.
    fn others_at(&self, instance: &InstanceInfo) -> Vec<NodeName> {
        let is_other = |known: &&InstanceInfo| {
            known.node != instance.node && reaches(known.address, instance.address)
        };
        self.ranked.iter().filter(is_other).map(|known| known.node.clone()).collect()
    }

    /// Returns the known instance that listens where `row` names another one.
    pub fn other_at(&self, row: &InstanceInfo) -> Option<&InstanceInfo> {
        let is_other =
            |known: &&InstanceInfo| known.node != row.node && reaches(row.address, known.address);
        self.ranked.iter().find(is_other)
    }

    fn by_node(&self) -> HashMap<&NodeName, &InstanceInfo> {
        self.ranked.iter().map(|instance| (&instance.node, instance)).collect()
    }

    /// Adds or replaces instances of the table of all instances, the newest rows first. Those at an address at which
    /// another one is known are left out: an instance that reported itself, or has the newer row, is what listens there.
    pub fn add_all(&mut self, mut instances: Vec<InstanceInfo>) {
        let known = self.by_node();
        let mut nodes: HashMap<SocketAddr, NodeName> =
            self.ranked.iter().map(|known| (known.address, known.node.clone())).collect();
        instances.retain(|instance| {
            let node = nodes.entry(instance.address).or_insert_with(|| instance.node.clone());
            *node == instance.node && known.get(&instance.node) != Some(&instance)
        });
        if !instances.is_empty() {
            self.change(instances, Vec::new());
        }
    }

    /// Removes instances; this one always stays.
    pub fn remove_all(&mut self, instances: &[InstanceInfo]) {
        self.change(Vec::new(), instances.iter().map(|i| i.node.clone()).collect());
    }

    fn change(&mut self, mut put: Vec<InstanceInfo>, mut removed: Vec<NodeName>) {
        let before = self.version;
        removed.retain(|node| *node != self.own.node);
        put.retain(|instance| match instance.node == self.own.node {
            true => *instance == self.own,
            false => !reaches(instance.address, self.own.address),
        });
        if put.len() + removed.len() > INSERTED_MAX {
            self.rerank(&put, &removed);
        } else {
            removed.iter().for_each(|node| self.remove(node));
            put.iter().for_each(|instance| self.insert(instance));
        }
        if self.version != before {
            self.history.push(before, InstanceChange { put, removed });
        }
    }

    fn insert(&mut self, instance: &InstanceInfo) {
        self.remove(&instance.node);
        let at = self.ranked.partition_point(|known| by_rank(known, instance).is_lt());
        self.version ^= hash(instance);
        self.ranked.insert(at, instance.clone());
    }

    fn rerank(&mut self, put: &[InstanceInfo], removed: &[NodeName]) {
        let changed: HashSet<&NodeName> =
            removed.iter().chain(put.iter().map(|i| &i.node)).collect();
        self.ranked.retain(|known| !changed.contains(&known.node));
        self.ranked.extend(put.iter().cloned());
        self.rank();
    }

    fn rank(&mut self) {
        self.ranked.sort_by(by_rank);
        self.version = self.ranked.iter().map(hash).fold(0, |sum, hash| sum ^ hash);
    }

    fn remove(&mut self, node: &NodeName) {
        if let Some(at) = self.ranked.iter().position(|known| known.node == *node) {
            let known = self.ranked.remove(at);
            self.version ^= hash(&known);
        }
    }

    /// Returns the first instance that is not skipped; `None` if that is this instance.
    pub fn aggregator(&self, now: Instant) -> Option<&InstanceInfo> {
        self.ranked
            .iter()
            .find(|i| i.node == self.own.node || !self.is_skipped(now, i))
            .filter(|i| i.node != self.own.node)
    }

    /// Returns the other instances that are not skipped.
    pub fn responsive(&self, now: Instant) -> impl Iterator<Item = &InstanceInfo> {
        let others = self.ranked.iter().filter(|i| i.node != self.own.node);
        others.filter(move |i| !self.is_skipped(now, i))
    }

    fn is_skipped(&self, now: Instant, instance: &InstanceInfo) -> bool {
        self.unresponsive.get(&instance.node).is_some_and(|(until, _)| now < *until)
    }

    /// Notes that an instance did not respond.
    pub fn note_unresponsive(&mut self, now: Instant, node: &NodeName) {
        let period = self.unresponsive.get(node).map_or(Duration::ZERO, |(_, period)| *period);
        let period = (period * 2).clamp(SKIP_FIRST, SKIP_MAX);
        self.unresponsive.insert(node.clone(), (now + period, period));
    }

    /// Notes that an instance responded.
    pub fn note_responsive(&mut self, node: &NodeName) {
        self.unresponsive.shift_remove(node);
    }

    /// Returns all instances by rank, this one included.
    pub fn all(&self) -> &[InstanceInfo] {
        &self.ranked
    }

    /// Returns the instances of higher rank than this one.
    pub fn higher(&self) -> &[InstanceInfo] {
        let number = self.position().number;
        self.ranked.get(..number).unwrap_or_default()
    }

    /// Returns the entry of this instance.
    pub fn own(&self) -> &InstanceInfo {
        &self.own
    }

    /// Returns the rank of this instance among all.
    pub fn position(&self) -> FleetPosition {
        let number = self.ranked.iter().position(|i| i.node == self.own.node).unwrap_or(0);
        FleetPosition { number, instances: self.ranked.len() }
    }

    /// Returns a hash of the list, by which two instances tell whether their lists are the same.
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// Returns whether what is sent to `address` arrives at an instance that listens at `own`. An address that names no host
/// leads to the sender.
fn reaches(address: SocketAddr, own: SocketAddr) -> bool {
    address.port() == own.port() && (address.ip() == own.ip() || address.ip().is_unspecified())
}

/// Compares by rank: the strongest first, instances of the same strength by the hashes of their names.
fn by_rank(a: &InstanceInfo, b: &InstanceInfo) -> Ordering {
    let order = |i: &InstanceInfo| xxh3_64(i.node.as_str().as_bytes());
    b.cores.total_cmp(&a.cores).then_with(|| order(a).cmp(&order(b)))
}

fn hash(instance: &InstanceInfo) -> u64 {
    xxh3_64(format!("{}@{}", instance.node, instance.address).as_bytes())
}
