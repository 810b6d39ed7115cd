//! HTTP server for short plain-text responses: readiness checks and metrics.
//!
//! `rouille` would need seven threads for each address it listens on; see docs/DESIGN.md, "Callers' side".

use std::time::Duration;

use http::StatusCode;

use super::{
    http1::{Conn, RequestHead},
    listener::ConnOutcome,
};

/// Maximum size of a request's head in bytes.
const HEAD_MAX: usize = 8 << 10;

/// Timeout for a request's head, and for the client to accept a response: several round trips within a region.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time that a thread waits for the next request before it hands the connection to the idle monitor. The first request
/// follows a new connection at once.
const NEXT_REQUEST_TIMEOUT: Duration = Duration::from_millis(20);

/// Plain-text response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextResponse {
    /// Status.
    pub status: StatusCode,
    /// Text.
    pub text: String,
}

/// Responds to every request on a connection, whatever its method and path, until no request follows within 20 ms.
pub fn serve(mut conn: Conn, respond: impl Fn() -> TextResponse) -> ConnOutcome {
    loop {
        match conn.wait_for_data(conn.clock().now() + NEXT_REQUEST_TIMEOUT) {
            Ok(true) => {}
            Ok(false) => return ConnOutcome::Idle(conn),
            Err(_) => return ConnOutcome::Closed,
        }
        let deadline = conn.clock().now() + MESSAGE_TIMEOUT;
        let Ok(head) = RequestHead::read(&mut conn, HEAD_MAX, deadline) else {
            return ConnOutcome::Closed;
        };
        let keep_alive = head.keep_alive() && !has_body(&head);
        let reply = encode(&respond(), keep_alive, head.method == http::Method::HEAD);
        if conn.send(reply.as_bytes(), MESSAGE_TIMEOUT).is_err() || !keep_alive {
            return ConnOutcome::Closed;
        }
        conn.release_buffer();
    }
}

/// Returns whether the request has a body, which would have to be read before the next request.
fn has_body(head: &RequestHead) -> bool {
    head.header("content-length").is_some_and(|length| length != "0")
        || head.header("transfer-encoding").is_some()
}

fn encode(response: &TextResponse, keep_alive: bool, head_only: bool) -> String {
    let TextResponse { status, text } = response;
    let (code, length) = (status.as_u16(), text.len());
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let reason = status.canonical_reason().unwrap_or_default();
    let body = if head_only { "" } else { text.as_str() };
    format!(
        "HTTP/1.1 {code} {reason}\r\ncontent-type: text/plain; charset=utf-8\r\n\
         content-length: {length}\r\nconnection: {connection}\r\n\r\n{body}"
    )
}
