//! A caller's request: decoded, admitted, and as it is sent to a backend server.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, Method, header::HOST};

use crate::{
    adapter,
    names::{ServerId, ServiceName, Tag, TeamName},
    routing::{
        AdmissionTerms, HomeRegions, PromptPartId, Route, RouteKind, RouteTag, StreamScope,
        SuspectDigest,
    },
    zone::rendezvous::ChatKey,
};

/// Metadata from the headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the request, chosen by the caller.
    pub id: String,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Hash of the prompt prefix that other requests share.
    pub affinity: Option<u64>,
    /// Id of the last stream event that the caller received in an earlier attempt.
    pub last_event_id: Option<String>,
    /// Id of the earlier attempt that brought the first event of the stream that the request resumes.
    pub resumes: Option<String>,
}

/// A request whose head is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct BadRequest {
    /// What is wrong and how to correct it.
    pub reason: &'static str,
}

/// Headers that an attempt adds to those of the caller.
#[derive(Debug)]
pub struct AttemptHeaders<'a> {
    /// Time left for the whole response.
    pub time_left: Duration,
    /// The only server that may run the request.
    pub server: &'a ServerId,
    /// Team of the caller.
    pub team: Option<&'a TeamName>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Id of the last stream event that the caller received.
    pub last_event_id: Option<&'a str>,
    /// Server from which the KV cache of the shared prompt is fetched, if the server that runs the request does not
    /// have it.
    pub prompt_holder: Option<SocketAddr>,
}

/// An admitted request.
#[derive(Debug)]
pub struct Request {
    /// Metadata from its headers.
    pub metadata: RequestMetadata,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that handles it.
    pub service: ServiceName,
    /// Team of its caller.
    pub team: Option<TeamName>,
    /// Regions that may serve it.
    pub homes: HomeRegions,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as received.
    pub target: String,
    /// Headers, as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
    /// When its head was received.
    pub received_at: Instant,
    /// When the response is due.
    pub deadline: Instant,
    /// Whether the connection may serve another request.
    pub keep_alive: bool,
    /// Whether the caller uses HTTP/1.0.
    pub http10: bool,
    /// Version of the intent that it was admitted under.
    pub version: u64,
}

impl Request {
    /// Returns whether the request resumes a stream of which an earlier attempt brought events.
    pub fn is_resumption(&self) -> bool {
        let RequestMetadata { last_event_id, resumes, .. } = &self.metadata;
        self.route.kind == RouteKind::ResumableStream
            && (last_event_id.is_some() || resumes.is_some())
    }

    /// Returns whether its service is the one of all attempts at the stream that it resumes, while the shares of the route
    /// stay the same.
    pub fn has_service_of_stream(&self) -> bool {
        self.metadata.resumes.is_some() || self.affinity().is_some() || !self.route.is_split()
    }

    /// Returns what decides whether the stream that it begins has to be recorded.
    pub fn stream_scope(&self) -> StreamScope {
        StreamScope { service: self.service.clone(), route: RouteTag::of(&self.route) }
    }

    /// Returns a digest that is the same when the request is sent again; hashes the whole body.
    pub fn digest(&self) -> SuspectDigest {
        let host = self.headers.get(HOST).map_or(&b""[..], |host| host.as_bytes());
        let team = self.team_name();
        SuspectDigest::of(&[
            team.as_bytes(),
            host,
            self.method.as_str().as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ])
    }

    /// Returns the ids of the parts of its prompt that other requests may share; decodes the header at each call.
    pub fn shared_parts(&self) -> Vec<PromptPartId> {
        adapter::headers::shared_prompt_parts(&self.headers)
    }

    /// Returns the hash by which requests without a shared prompt are distributed.
    pub fn spread(&self) -> u64 {
        ChatKey::of(&[&self.metadata.id]).0
    }

    /// Returns the name of its caller's team; empty if there is none.
    pub fn team_name(&self) -> &str {
        self.team.as_ref().map_or("", TeamName::as_str)
    }

    /// Returns the tag of its caller's team. Callers without a team count as one team.
    pub fn team_tag(&self) -> Tag {
        Tag::of(self.team_name())
    }

    /// Returns what decides whether the request is admitted beyond capacity.
    pub fn admission_terms(&self) -> AdmissionTerms {
        AdmissionTerms { priority: self.priority, team: self.team_tag() }
    }

    /// Returns the hash of the shared prompt, if the route has prompt affinity.
    pub fn affinity(&self) -> Option<u64> {
        if self.route.affinity { self.metadata.affinity } else { None }
    }
}
