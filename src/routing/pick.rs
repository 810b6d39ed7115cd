//! Parameters and results of a pick.

use std::{sync::Arc, time::Duration};

use super::{BackendServer, HomeRegions, Incarnation, VersionRule};
use crate::names::{ServiceName, Tag};

/// Parameters of one pick of a server.
#[derive(Debug)]
pub struct PickRequest<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Hash of the shared prompt, if the request has one.
    pub affinity: Option<u64>,
    /// Hash that spreads requests without a shared prompt over equally suitable servers.
    pub spread: u64,
    /// Servers that must not be used again.
    pub tried: &'a [Incarnation],
    /// Regions in which the request may be served.
    pub homes: &'a HomeRegions,
    /// Software versions that may run the request.
    pub version: &'a VersionRule,
    /// Cold servers for which no grant was obtained. If there are any, warm servers are preferred.
    pub denied: &'a [Incarnation],
    /// Target latency of the request, which bounds its wait for a slot.
    pub target: Duration,
    /// Terms of a request that may be rejected beyond capacity; `None` for one that has been sent already.
    pub admission: Option<AdmissionTerms>,
    /// Server on which a broker has leased a slot to the request: no other one is picked, and the request is not rejected
    /// because of overload.
    pub leased: Option<Tag>,
}

/// What decides whether a request is admitted beyond capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionTerms {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Team of the caller. All callers without a team count as one team.
    pub team: Tag,
}

impl<'a> PickRequest<'a> {
    /// Returns a pick of any server of `service`.
    pub fn new(service: &'a ServiceName) -> PickRequest<'a> {
        PickRequest {
            service,
            affinity: None,
            spread: 0,
            tried: &[],
            denied: &[],
            homes: &HomeRegions::Anywhere,
            version: &VersionRule::Any,
            target: Duration::ZERO,
            admission: None,
            leased: None,
        }
    }

    /// Returns a number in [0, 1) derived from the spread hash, which differs between requests.
    pub fn draw(&self) -> f64 {
        // A float in [0, 1) has 53 significant bits.
        (self.spread >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Reasons why no server was picked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PickError {
    /// No server may be used.
    NoServer,
    /// All servers that could be used have requested a backoff.
    Backoff {
        /// Time until the first of the backoffs ends.
        left: Duration,
    },
    /// More requests arrive than can be served in time, and this one is not admitted.
    Overload {
        /// Admitted share of the requests of its priority.
        admitted: f64,
        /// How long it would have waited for a slot.
        wait: Duration,
    },
    /// The requests of its team exceed the team's share of capacity, and this one is not admitted.
    TeamShare {
        /// Share of the team's requests that is admitted.
        share: f64,
    },
}

/// A picked server, with the values that decided the pick.
#[derive(Debug, Clone)]
pub struct Picked {
    /// The server.
    pub server: Arc<BackendServer>,
    /// Index of the server in the rendezvous order of the request, from 0; skipped servers count.
    pub rank: usize,
    /// Estimated load of the server, in requests.
    pub load: f64,
    /// Age of the counts of the other instances in that estimate; `None` if it was made without.
    pub counts_age: Option<Duration>,
    /// Bound with which the load was compared, in requests.
    pub bound: f64,
    /// How long the request is expected to wait for a slot there.
    pub wait: Duration,
    /// Whether the server is cold.
    pub cold: bool,
    /// Number of servers that were considered, which determines the cost of the pick.
    pub considered: usize,
    /// Server that most likely holds the KV cache of the shared prompt, if the picked one does not.
    pub holder: Option<Arc<BackendServer>>,
}

/// A server whose load was found over its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Crowded {
    /// The server.
    pub server: Incarnation,
    /// Load at the last exchange, in requests.
    pub load: f64,
    /// Limit, in requests.
    pub limit: f64,
}
