//! Routes: which requests go to which service, and how they may be handled.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::HomeRegions;
use crate::{names::ServiceName, units::bounded_time};

/// Whether requests may be retried, and the form of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run several times; a single response.
    Idempotent,
    /// A request runs at most once; a single response.
    AtMostOnce,
    /// An event stream that another backend server may resume.
    ResumableStream,
    /// An event stream whose request runs at most once.
    Stream,
}

impl RouteKind {
    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::ResumableStream | RouteKind::Stream)
    }

    /// Returns whether a request that may have run already can be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's shares.
    pub weight: f64,
}

/// Unique key of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteKey {
    /// Host, in lower case.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with `/`.
    pub prefix: String,
    /// Whether requests may be retried, and the form of the response.
    pub kind: RouteKind,
    /// Longest time until the response is complete.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub timeout: Duration,
    /// Time within which a response (the first event of a stream) is on time.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub target_latency: Duration,
    /// For streams, the longest pause between events that is still on time.
    #[serde(deserialize_with = "bounded_time::deserialize_option")]
    pub gap_target: Option<Duration>,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that its requests are split between.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of backend servers that may run one request.
    pub max_attempts: u32,
    /// Whether callers do not need an API key.
    pub public: bool,
    /// Whether requests that share a prompt go to the same backend server.
    pub affinity: bool,
    /// Regions in which its requests may be served.
    pub homes: HomeRegions,
}

impl Route {
    /// Returns the unique key of the route.
    pub fn key(&self) -> RouteKey {
        RouteKey { host: self.host.to_ascii_lowercase(), prefix: self.prefix.clone() }
    }

    /// Returns the shares that requests go to.
    pub fn used_shares(&self) -> impl Iterator<Item = &ServiceShare> {
        self.shares.iter().filter(|share| share.weight > 0.0)
    }

    /// Returns whether requests are split between services.
    pub fn is_split(&self) -> bool {
        self.used_shares().count() > 1
    }

    /// Returns the service for a request; requests with the same `hash` get the same service.
    pub fn service_for(&self, hash: u64) -> Option<&ServiceName> {
        let total: f64 = self.shares.iter().map(|share| share.weight.max(0.0)).sum();
        // A float in [0, 1) has 53 significant bits.
        let mut point = (hash >> 11) as f64 / (1u64 << 53) as f64 * total;
        for share in &self.shares {
            if point < share.weight {
                return Some(&share.service);
            }
            point -= share.weight.max(0.0);
        }
        self.shares.iter().rev().find(|share| share.weight > 0.0).map(|share| &share.service)
    }
}

/// All routes, by host and path prefix.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    hosts: IndexMap<String, IndexMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// Returns a table of `routes`; a later route replaces an earlier one with the same host and prefix.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> RouteTable {
        RouteTable::default().with_changes(routes, &[])
    }

    /// Returns a copy of the table with the routes of `removed` removed and those of `put` added or replaced.
    pub fn with_changes(
        &self,
        put: impl IntoIterator<Item = Route>,
        removed: &[RouteKey],
    ) -> RouteTable {
        let mut table = self.clone();
        for key in removed {
            let Some(prefixes) = table.hosts.get_mut(&key.host) else { continue };
            prefixes.swap_remove(&key.prefix);
            if prefixes.is_empty() {
                table.hosts.swap_remove(&key.host);
            }
        }
        for route in put {
            let prefixes = table.hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        table
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(IndexMap::values)
    }

    /// Returns the route of `key`.
    pub fn get(&self, key: &RouteKey) -> Option<&Arc<Route>> {
        self.hosts.get(&key.host)?.get(&key.prefix)
    }

    /// Returns the route of `host` with the longest prefix that matches the path of `target`.
    pub fn find(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.hosts.get(&name)?;
        let path = target.split('?').next().unwrap_or_default();
        let slashes = path.char_indices().rev().filter(|&(_, c)| c == '/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(IndexMap::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
