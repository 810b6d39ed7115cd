//! A caller's request, understood and admitted.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, Method, header::HOST};

use crate::{
    names::{ServerId, ServiceName, TeamName},
    routing::{HomeRegions, RequestDigest, Route},
    zone::rendezvous::ChatKey,
};

/// What a request's head asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's id of the request.
    pub id: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Hash of the part of the prompt that other requests share.
    pub affinity: Option<u64>,
    /// Last event that the caller has of an earlier try.
    pub last_event_id: Option<String>,
}

/// A request whose head cannot be understood.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct BadRequest {
    /// What is wrong and how to mend it.
    pub reason: &'static str,
}

/// What one attempt adds to the caller's headers.
#[derive(Debug)]
pub struct AttemptHeaders<'a> {
    /// Time left for the whole answer.
    pub time_left: Duration,
    /// The only server that may run it.
    pub server: &'a ServerId,
    /// Team of the caller.
    pub team: Option<&'a TeamName>,
    /// Rank among requests; 0 goes first.
    pub priority: u8,
    /// Last event that the caller has.
    pub last_event_id: Option<&'a str>,
    /// Server from which the shared prompt's memory is fetched, where the one that runs the
    /// request does not keep it.
    pub prompt_holder: Option<SocketAddr>,
}

/// A request that was admitted.
#[derive(Debug)]
pub struct Request {
    /// What its head asks for.
    pub metadata: RequestMetadata,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that serves it.
    pub service: ServiceName,
    /// Team of its caller.
    pub team: Option<TeamName>,
    /// Where it may be served.
    pub homes: HomeRegions,
    /// Rank among requests; 0 goes first.
    pub priority: u8,
    /// Method.
    pub method: Method,
    /// Path and query, as sent.
    pub target: String,
    /// Headers, as sent.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
    /// When its head had come.
    pub received_at: Instant,
    /// When the final answer is due.
    pub deadline: Instant,
    /// Whether the connection may serve another request.
    pub keep_alive: bool,
    /// Whether the caller speaks HTTP/1.0.
    pub http10: bool,
    /// Version of the intent by which it was admitted.
    pub version: u64,
}

impl Request {
    /// Returns what the request has in common with the same one, sent again; hashes the whole body.
    pub fn digest(&self) -> RequestDigest {
        let host = self.headers.get(HOST).map_or(&b""[..], |host| host.as_bytes());
        let team = self.team.as_ref().map_or("", TeamName::as_str);
        RequestDigest::of(&[
            team.as_bytes(),
            host,
            self.method.as_str().as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ])
    }

    /// Returns the hash that spreads requests without a shared prompt.
    pub fn spread(&self) -> u64 {
        ChatKey::of(&[&self.metadata.id]).0
    }

    /// Returns the hash by which the request finds its like, if its route asks for that.
    pub fn affinity(&self) -> Option<u64> {
        if self.route.affinity { self.metadata.affinity } else { None }
    }
}
