//! What one request has come to: where it is under way, what decided that, and how it ended.

use std::time::{Duration, Instant};

use super::{Gateway, exchange::ServerAnswer};
use crate::{
    contract::outcome::Outcome,
    routing::{Incarnation, Picked},
    utils::sync::lock,
};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Done {
    /// Status that the caller got; 0 where it left before any.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Whether the connection may serve another request.
    pub keep: bool,
    /// What decided the end.
    pub reason: &'static str,
}

/// What decided where a request went, for its log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Decided {
    /// Last server that it was sent to.
    pub server: Incarnation,
    /// The server's place in the request's rank.
    pub rank: usize,
    /// Its load as believed, in requests.
    pub load: f64,
    /// The bound that the load was held against.
    pub bound: f64,
    /// Times that the request may have arrived somewhere.
    pub arrivals: u32,
    /// Since when the server's answer has events or a part of its body.
    pub running: Option<Instant>,
    /// Time until the caller had the first bytes of a server's answer.
    pub first: Option<Duration>,
}

/// An answer whose head has come from the server that was picked for it.
pub struct Opened<'g> {
    /// The answer.
    pub answer: ServerAnswer,
    /// The server.
    pub picked: Picked,
    /// Counts the request at the server until it ends.
    pub flight: Flight<'g>,
    /// When the request was sent.
    pub sent: Instant,
    /// When the answer's head came.
    pub head: Instant,
}

/// Counts a request at a server for as long as it lives.
pub struct Flight<'g> {
    /// The instance.
    pub gateway: &'g Gateway,
    /// The server.
    pub server: Incarnation,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        lock(&self.gateway.picker).finish_request(&self.server);
    }
}
