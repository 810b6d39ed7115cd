//! Settings of an instance on a platform, as its adapter decodes them.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;

use crate::{
    names::{NodeName, RegionName, ZoneName},
    routing::{ExposureLimit, StoreRates, budget::BudgetTerms, roster_watch},
};

/// Everything an instance needs to know to start.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The instance's name.
    pub node: NodeName,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// Regions of the availability zones.
    pub regions: IndexMap<ZoneName, RegionName>,
    /// Whether all instances start for the first time, so that none can have run before.
    pub first_start: bool,
    /// Where it listens.
    pub addresses: Addresses,
    /// Peers' addresses of some other instances; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub source: RosterSource,
    /// Its share of processors, in cores.
    pub cores: f32,
    /// Most connections of callers at once.
    pub connections: usize,
    /// Most connections of other instances at once.
    pub peer_connections: usize,
    /// Most bytes of bodies held at once.
    pub body_bytes: u64,
    /// The operator's bounds.
    pub bounds: Bounds,
}

/// Addresses of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's readiness checks.
    pub readiness: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
    /// For whoever collects metrics.
    pub metrics: SocketAddr,
}

/// Where backend servers and the operator's intent are read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RosterSource {
    /// Address of the store.
    pub address: SocketAddr,
    /// Calls a second that it takes from all instances together.
    pub rates: StoreRates,
}

/// Bounds that the operator sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time within which a leaving backend server gets no more requests.
    pub leaving_acted_on: Duration,
    /// Time between the signal to end and the kill.
    pub grace: Duration,
    /// Time within which a change of intent is in force.
    pub intent_in_force: Duration,
    /// Most load of an engine, as a multiple of its service's mean.
    pub load: f64,
    /// What a bad version may get of its service's requests.
    pub rollouts: ExposureLimit,
    /// The fleet's retry budget.
    pub retries: BudgetTerms,
}

impl GatewaySettings {
    /// Returns the pause between two reads of the servers' list.
    pub fn roster_period(&self) -> Duration {
        roster_watch::read_period(self.bounds.leaving_acted_on)
    }
}
