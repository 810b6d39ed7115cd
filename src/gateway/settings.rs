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
    /// Addresses on which it listens.
    pub addresses: Addresses,
    /// Peer addresses of some other instances, which may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: StoreSettings,
    /// Its share of the processor, in cores.
    pub cores: f32,
    /// Maximum number of concurrent connections of callers.
    pub connections: usize,
    /// Maximum number of concurrent connections of other instances.
    pub peer_connections: usize,
    /// Maximum number of bytes that are buffered for callers: bodies of requests and responses, and pieces of streams.
    pub buffer_bytes: u64,
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
    /// For the collection of metrics.
    pub metrics: SocketAddr,
}

/// The platform's store, which has the list of backend servers and the operator's intent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Calls per second that it accepts from all instances together.
    pub rates: StoreRates,
}

/// Bounds that the operator sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving backend server must receive no more requests.
    pub server_drain_time: Duration,
    /// Time between the signal to terminate and the kill.
    pub grace: Duration,
    /// Time within which a change of the intent must become active.
    pub intent_apply_time: Duration,
    /// Maximum load of a server, as a multiple of the mean over its service.
    pub load: f64,
    /// Share of a service's requests that a failing new version may receive.
    pub rollouts: ExposureLimit,
    /// The fleet's retry budget.
    pub retries: BudgetTerms,
}

impl GatewaySettings {
    /// Returns the time between two reads of the list of servers.
    pub fn roster_period(&self) -> Duration {
        roster_watch::read_period(self.bounds.server_drain_time)
    }
}
