//! Answers: what a backend server's head says, and the router's own final answers.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};

use crate::{
    adapter,
    link::{
        answer::{AnswerNote, send_whole},
        http1::Conn,
    },
    routing::LoadReport,
};

/// Longest wait for a caller that takes no bytes.
pub const CALLER_STALL: Duration = Duration::from_secs(5);

/// What a backend server's head says beside the answer itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerWords {
    /// Id of the request that is answered.
    pub request_id: Option<String>,
    /// Whether the answer is proved to be the server's own.
    pub signed: bool,
    /// Whether the server has not run the request.
    pub not_run: bool,
    /// Whether another server than the expected one answered.
    pub wrong_server: bool,
    /// The server's load.
    pub load: Option<LoadReport>,
    /// How long the server keeps the connection open.
    pub kept_for: Option<Duration>,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// For how long the server, which turned the request away, wants no other one of this instance.
    pub backoff: Option<Duration>,
}

/// A final answer of the router's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnAnswer {
    /// Status.
    pub status: StatusCode,
    /// What happened and what to do, for the caller and the log.
    pub reason: &'static str,
    /// When another try makes sense; only where nothing has run.
    pub retry_after: Option<Duration>,
}

impl OwnAnswer {
    /// Returns an answer without a time to come back.
    pub fn new(status: StatusCode, reason: &'static str) -> OwnAnswer {
        OwnAnswer { status, reason, retry_after: None }
    }

    /// Returns the refusal of a request that has not run and will not.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> OwnAnswer {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        OwnAnswer { status, reason, retry_after: Some(retry_after) }
    }

    /// Writes the answer; returns whether the connection may serve another request.
    pub fn send(&self, conn: &mut Conn, keep_alive: bool, head_only: bool) -> bool {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", HeaderValue::from_static("text/plain"));
        if let Some(after) = self.retry_after {
            headers.insert("retry-after", adapter::responses::retry_after(after));
        }
        let note = AnswerNote::plain(keep_alive);
        let body = self.reason.as_bytes();
        let sent = send_whole(conn, CALLER_STALL, self.status, &headers, &note, body, head_only);
        sent.is_ok() && keep_alive
    }
}
