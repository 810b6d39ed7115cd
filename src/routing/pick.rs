//! What is asked of the picker, and what it says.

use std::{sync::Arc, time::Duration};

use super::{BackendServer, HomeRegions, Incarnation};
use crate::names::ServiceName;

/// What the caller's request wants.
#[derive(Debug)]
pub struct PickRequest<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Hash of the shared prompt, if the request has one.
    pub affinity: Option<u64>,
    /// Hash by which requests without a shared prompt are spread among servers that are as good.
    pub spread: u64,
    /// Servers that must not be used again.
    pub tried: &'a [Incarnation],
    /// Where it may be served.
    pub homes: &'a HomeRegions,
    /// Cold servers that do not take it; with one, those that are warm go first.
    pub denied: &'a [Incarnation],
    /// Rank of a request that may be refused beyond capacity; `None` for one that has gone out already.
    pub admission: Option<u8>,
}

impl<'a> PickRequest<'a> {
    /// Returns what a request wants that asks for a service only.
    pub fn new(service: &'a ServiceName) -> PickRequest<'a> {
        PickRequest {
            service,
            affinity: None,
            spread: 0,
            tried: &[],
            denied: &[],
            homes: &HomeRegions::Anywhere,
            admission: None,
        }
    }

    /// Returns a number in [0, 1) that is another one for each request.
    pub fn draw(&self) -> f64 {
        // 53 bits make a float in [0, 1).
        (self.spread >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Why no server was picked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PickError {
    /// None may be used.
    NoServer,
    /// All that could be used want no requests for a while.
    Backoff {
        /// Until the first of them takes requests again.
        left: Duration,
    },
    /// More requests come than can be served in time, and this one is not among those admitted.
    Overload {
        /// Share of the requests of its rank that is admitted.
        admitted: f64,
        /// How long it would have waited for a place.
        wait: Duration,
    },
}

/// A server that was picked, with what decided it.
#[derive(Debug, Clone)]
pub struct Picked {
    /// The server.
    pub server: Arc<BackendServer>,
    /// Its place in the request's rank, from 0; servers passed over count.
    pub rank: usize,
    /// Its estimated load, in requests.
    pub load: f64,
    /// The bound that it was held against, in requests.
    pub bound: f64,
    /// How long the request is expected to wait for a place there.
    pub wait: Duration,
    /// Whether it is cold.
    pub cold: bool,
    /// Servers that were considered: they set what the choice costs.
    pub considered: usize,
    /// Server that most likely keeps the shared prompt, if this one does not.
    pub holder: Option<Arc<BackendServer>>,
}

/// A server that was seen beyond its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Crowded {
    /// The server.
    pub server: Incarnation,
    /// Its load at the last exchange, in requests.
    pub load: f64,
    /// The limit, in requests.
    pub limit: f64,
}
