//! The state of a request in flight: its last attempt, its response in progress, and how it completed.

use std::time::{Duration, Instant};

use super::{
    Gateway, server_call::ServerResponse, server_path::ServerPath, slot_leases::SlotLease,
};
use crate::{
    contract::outcome::Outcome,
    link::http1::BodyEnd,
    routing::{Incarnation, Picked, PromptTag},
    utils::sync::lock,
};

/// How a request completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Status sent to the caller; 0 if it disconnected before.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Whether the connection may serve another request.
    pub keep_alive: bool,
    /// Why the request completed this way, for logs.
    pub reason: &'static str,
}

/// The last attempt of a request, for its log line.
#[derive(Debug, Clone, PartialEq)]
pub struct LastAttempt {
    /// Server that the request was sent to.
    pub server: Incarnation,
    /// Software version of that server.
    pub software: String,
    /// Position of the server in the rendezvous order of the request.
    pub rank: usize,
    /// Estimated load of the server, in requests.
    pub load: f64,
    /// Age of the counts of the other instances in that estimate; `None` if it was made without.
    pub counts_age: Option<Duration>,
    /// Number of instances among which the capacity was divided.
    pub instances: usize,
    /// Load bound that applied.
    pub bound: f64,
    /// How often the request may have arrived at a server, over all its attempts.
    pub arrivals: u32,
    /// When the first event or part of the response body arrived.
    pub running_since: Option<Instant>,
    /// Whether the server went on for a while after that.
    pub has_survived: bool,
    /// Time from the arrival of the request until the first bytes of the response were sent to the caller.
    pub first_byte_after: Option<Duration>,
    /// How the body of the response ended; `None` if it was not read to an end.
    pub body_end: Option<BodyEnd>,
    /// Path to the server.
    pub path: ServerPath,
}

/// A response whose head has arrived.
pub struct OpenResponse<'g> {
    /// The response.
    pub response: ServerResponse,
    /// The server that was picked for the request.
    pub picked: Picked,
    /// Counts the request at the server.
    pub in_flight: InFlightGuard<'g>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the head of the response arrived.
    pub head_at: Instant,
}

/// Counts a request as in flight at a server until dropped, and then returns its slot.
pub struct InFlightGuard<'g> {
    /// The instance.
    pub gateway: &'g Gateway,
    /// The server.
    pub server: Incarnation,
    /// Shared prompt of the request.
    pub prompt: Option<PromptTag>,
    /// Lease of the slot that the request occupies there, if the service is small.
    pub lease: Option<SlotLease<'g>>,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut picker = lock(&self.gateway.picker);
        picker.finish_request(&self.server);
        if let Some(prompt) = self.prompt {
            picker.prompts().finish_request(prompt);
        }
    }
}
