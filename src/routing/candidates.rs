//! Which instance collects the fleet's counts and reads the store for the others.
//!
//! Every instance ranks all instances in the same way and turns to the first that answers. Views
//! may differ for a while: whoever is asked answers with what it knows, and every answer carries
//! the age of what it says, so nothing rests on agreement.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::FleetPosition;
use crate::names::{NodeName, ZoneName};

/// First pause after an instance did not answer; doubled at each further time.
const PAUSE_FIRST: Duration = Duration::from_secs(1);

/// Longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(8);

/// A running instance as the others know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name.
    pub node: NodeName,
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its share of processors, in cores: stronger instances come first.
    pub cores: f32,
}

/// All instances, ranked, with those that did not answer.
#[derive(Debug)]
pub struct Candidates {
    own: InstanceInfo,
    ranked: Vec<InstanceInfo>,
    version: u64,
    silent: IndexMap<NodeName, (Instant, Duration)>,
}

impl Candidates {
    /// Returns the candidates as an instance knows them that knows only itself.
    pub fn new(own: InstanceInfo) -> Candidates {
        let mut candidates =
            Candidates { own, ranked: Vec::new(), version: 0, silent: IndexMap::new() };
        candidates.set([]);
        candidates
    }

    /// Sets the own address, once it is bound.
    pub fn set_own_address(&mut self, address: SocketAddr) {
        self.own.address = address;
        let all = std::mem::take(&mut self.ranked);
        self.set(all);
    }

    /// Takes the list of all instances; the own one is always in it.
    pub fn set(&mut self, instances: impl IntoIterator<Item = InstanceInfo>) {
        let mut ranked: Vec<InstanceInfo> =
            instances.into_iter().filter(|i| i.node != self.own.node).collect();
        ranked.push(self.own.clone());
        ranked.sort_by(|a, b| {
            let order = |i: &InstanceInfo| xxh3_64(i.node.as_str().as_bytes());
            b.cores.total_cmp(&a.cores).then_with(|| order(a).cmp(&order(b)))
        });
        self.version = ranked
            .iter()
            .fold(0, |sum, i| sum ^ xxh3_64(format!("{}@{}", i.node, i.address).as_bytes()));
        self.ranked = ranked;
    }

    /// Adds or replaces one instance.
    pub fn add(&mut self, instance: InstanceInfo) {
        if self.ranked.contains(&instance) {
            return;
        }
        let mut all = std::mem::take(&mut self.ranked);
        all.retain(|known| known.node != instance.node);
        all.push(instance);
        self.set(all);
    }

    /// Returns the first instance that is not passed over; `None` for the own one.
    pub fn first(&self, now: Instant) -> Option<&InstanceInfo> {
        self.ranked
            .iter()
            .find(|i| i.node == self.own.node || !self.is_passed_over(now, i))
            .filter(|i| i.node != self.own.node)
    }

    /// Returns the other instances that are not passed over.
    pub fn heard(&self, now: Instant) -> impl Iterator<Item = &InstanceInfo> {
        let others = self.ranked.iter().filter(|i| i.node != self.own.node);
        others.filter(move |i| !self.is_passed_over(now, i))
    }

    fn is_passed_over(&self, now: Instant, instance: &InstanceInfo) -> bool {
        self.silent.get(&instance.node).is_some_and(|(until, _)| now < *until)
    }

    /// Notes that an instance did not answer.
    pub fn note_silent(&mut self, now: Instant, node: &NodeName) {
        let pause = self.silent.get(node).map_or(Duration::ZERO, |(_, pause)| *pause);
        let pause = (pause * 2).clamp(PAUSE_FIRST, PAUSE_MAX);
        self.silent.insert(node.clone(), (now + pause, pause));
    }

    /// Notes that an instance answered.
    pub fn note_heard(&mut self, node: &NodeName) {
        self.silent.shift_remove(node);
    }

    /// Returns all instances, the own one included.
    pub fn all(&self) -> &[InstanceInfo] {
        &self.ranked
    }

    /// Returns the own entry.
    pub fn own(&self) -> &InstanceInfo {
        &self.own
    }

    /// Returns which of all instances the own one is.
    pub fn position(&self) -> FleetPosition {
        let number = self.ranked.iter().position(|i| i.node == self.own.node).unwrap_or(0);
        FleetPosition { number, instances: self.ranked.len() }
    }

    /// Returns a hash of the list, by which two instances see whether they know the same.
    pub fn version(&self) -> u64 {
        self.version
    }
}
