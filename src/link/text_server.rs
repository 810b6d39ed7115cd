//! Small answers to whoever looks at an instance from outside: readiness, metrics.
//!
//! `rouille` keeps seven threads for each address it listens on; see docs/DESIGN.md, "Callers' side".

use std::time::Duration;

use http::StatusCode;

use super::{
    http1::{Conn, RequestHead},
    listener::ConnOutcome,
};

/// Largest head of a question.
const HEAD_MAX: usize = 8 << 10;

/// Longest time for a head to come in, and for an answer to be taken: several round trips within a region.
const TIME: Duration = Duration::from_millis(1000);

/// How long a thread waits for the next question before the connection is left to the watch over idle ones: a
/// new connection's first question comes right behind it.
const BUSY: Duration = Duration::from_millis(20);

/// An answer in plain text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextResponse {
    /// Status.
    pub status: StatusCode,
    /// Text.
    pub text: String,
}

/// Answers the questions on a connection, whatever they ask, as long as they follow each other closely.
pub fn serve(mut conn: Conn, answer: impl Fn() -> TextResponse) -> ConnOutcome {
    loop {
        match conn.wait_for_data(conn.clock().now() + BUSY) {
            Ok(true) => {}
            Ok(false) => return ConnOutcome::Idle(conn),
            Err(_) => return ConnOutcome::Closed,
        }
        let until = conn.clock().now() + TIME;
        let Ok(head) = RequestHead::read(&mut conn, HEAD_MAX, until) else {
            return ConnOutcome::Closed;
        };
        let keep = head.keep_alive() && !has_body(&head);
        let reply = encode(&answer(), keep, head.method == http::Method::HEAD);
        if conn.send(reply.as_bytes(), TIME).is_err() || !keep {
            return ConnOutcome::Closed;
        }
        conn.release_buffer();
    }
}

/// Returns whether something follows the head that would have to be read before the next question.
fn has_body(head: &RequestHead) -> bool {
    head.header("content-length").is_some_and(|length| length != "0")
        || head.header("transfer-encoding").is_some()
}

fn encode(answer: &TextResponse, keep: bool, head_only: bool) -> String {
    let TextResponse { status, text } = answer;
    let (code, length) = (status.as_u16(), text.len());
    let connection = if keep { "keep-alive" } else { "close" };
    let reason = status.canonical_reason().unwrap_or_default();
    let body = if head_only { "" } else { text.as_str() };
    format!(
        "HTTP/1.1 {code} {reason}\r\ncontent-type: text/plain; charset=utf-8\r\n\
         content-length: {length}\r\nconnection: {connection}\r\n\r\n{body}"
    )
}
