//! Responses: the metadata in the head of a backend server's response, and the responses that this instance writes
//! itself.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};

use crate::{
    adapter,
    link::{
        http1::Conn,
        response::{ResponseOptions, send_response},
    },
    routing::{LoadReport, RejectionLimit},
};

/// Maximum wait for a caller that accepts no bytes.
pub const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// What the head of a backend server's response carries beside the response itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the request that the response is for.
    pub request_id: Option<String>,
    /// Whether the response has the seal that shows it to be the server's own.
    pub sealed: bool,
    /// Whether the server has not run the request.
    pub not_run: bool,
    /// Whether a server other than the expected one responded.
    pub wrong_server: bool,
    /// The server's load.
    pub load: Option<LoadReport>,
    /// How long the server keeps the connection open while idle.
    pub keep_alive_for: Option<Duration>,
    /// Whether the server announces that it is leaving.
    pub leaving: bool,
    /// How many rejections in a second the server bears; `None` for a server that is not brittle.
    pub brittle: Option<RejectionLimit>,
    /// How long this instance must send no further request to the server, which rejected this one.
    pub backoff: Option<Duration>,
}

/// A response written by this instance itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// What happened and what to do, for the caller and the log.
    pub reason: &'static str,
    /// When to retry; only if the request has not run.
    pub retry_after: Option<Duration>,
}

impl LocalResponse {
    /// Returns a response without `Retry-After`.
    pub fn new(status: StatusCode, reason: &'static str) -> LocalResponse {
        LocalResponse { status, reason, retry_after: None }
    }

    /// Returns the refusal of a request that has not run.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> LocalResponse {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        LocalResponse { status, reason, retry_after: Some(retry_after) }
    }

    /// Sends the response; returns whether the connection may serve another request.
    pub fn send(&self, conn: &mut Conn, keep_alive: bool, head_only: bool) -> bool {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", HeaderValue::from_static("text/plain"));
        if let Some(after) = self.retry_after {
            headers.insert("retry-after", adapter::responses::retry_after(after));
        }
        let note = ResponseOptions::plain(keep_alive);
        let body = self.reason.as_bytes();
        let sent = send_response(
            conn,
            CALLER_WRITE_TIMEOUT,
            self.status,
            &headers,
            &note,
            body,
            head_only,
        );
        sent.is_ok() && keep_alive
    }
}
