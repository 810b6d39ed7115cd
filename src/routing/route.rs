//! Routes: which requests go to which service, and what may be done with them.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::HomeRegions;
use crate::names::ServiceName;

/// What may be repeated, and how the answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Running it several times does no harm; one whole answer.
    Idempotent,
    /// At most one run for each request; one whole answer.
    AtMostOnce,
    /// A stream of events, which a second backend server may go on with.
    ResumableStream,
    /// A stream of events that runs at most once.
    Stream,
}

impl RouteKind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::ResumableStream | RouteKind::Stream)
    }

    /// Returns whether a request that may have run can be sent again.
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

/// What tells a route from all others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteKey {
    /// Host that it serves, in lower case.
    pub host: String,
    /// Start of the paths that it serves.
    pub prefix: String,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that it serves, in lower case.
    pub host: String,
    /// Start of the paths that it serves; begins and ends with `/`.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// Time within which an answer (a stream's first event) is on time.
    pub target_latency: Duration,
    /// Longest pause between events that is still on time, for streams.
    pub gap_target: Option<Duration>,
    /// Rank among requests; 0 goes first.
    pub priority: u8,
    /// Services that serve it.
    pub shares: Vec<ServiceShare>,
    /// Most backend servers that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests that share a prompt go to the same backend server.
    pub affinity: bool,
    /// Where its requests may be served.
    pub homes: HomeRegions,
}

impl Route {
    /// Returns what tells the route from all others.
    pub fn key(&self) -> RouteKey {
        RouteKey { host: self.host.to_ascii_lowercase(), prefix: self.prefix.clone() }
    }

    /// Returns the service for a request; `point` is a hash of what keeps it with its like.
    pub fn service_for(&self, point: u64) -> Option<&ServiceName> {
        let total: f64 = self.shares.iter().map(|share| share.weight.max(0.0)).sum();
        // 53 bits make a float in [0, 1).
        let mut at = (point >> 11) as f64 / (1u64 << 53) as f64 * total;
        for share in &self.shares {
            if at < share.weight {
                return Some(&share.service);
            }
            at -= share.weight.max(0.0);
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
    /// Returns a table of `routes`; of two with the same host and prefix the later one stays.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> RouteTable {
        RouteTable::default().with_changes(routes, &[])
    }

    /// Returns the table without the routes of `removed`, and with those of `put` added or replaced.
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

    /// Returns the route of `host` with the longest prefix that begins `target`'s path.
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
