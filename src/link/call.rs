//! One call over HTTP/1.1 on one connection, which has time for as long as it makes progress.

use std::time::{Duration, Instant};

use http::{HeaderMap, Method, StatusCode};

use super::http1::{BodyReader, Conn, ReadError, ResponseHead};

/// Largest head of a reply, in bytes.
const HEAD_MAX: usize = 8 << 10;

/// Longest time for a whole message: 5.3 MB over the slowest link planned for (1.25 MB a second) take 4.2 s, and
/// twice as long beside other traffic. What makes progress is not to be cut by it.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the parts of a call may take. A body has no time of its own: how long it takes depends on its
/// length and the link, so a limit on the whole would cut every body beyond some length, each time anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimeouts {
    /// From the call's end to the reply's head.
    pub head: Duration,
    /// Longest pause, of the reply's body or in the other side's taking of the call.
    pub stall: Duration,
    /// For all together: what only trickles in is given up then.
    pub total: Duration,
}

/// A whole reply.
#[derive(Debug)]
pub struct CallReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the connection may carry another call.
    pub keep_alive: bool,
}

/// Why a call brought no reply.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection ended before anything of a reply came, as a kept one does that the other side closed.
    #[error("{0}, before anything of a reply came")]
    Closed(String),
    /// The other side said nothing in time.
    #[error("nothing came for {0:?}")]
    Timeout(Duration),
    /// The reply broke off.
    #[error("{reason}, with {read} bytes of the body read")]
    Truncated {
        /// What went wrong.
        reason: String,
        /// Bytes of the body that had come.
        read: usize,
    },
}

/// Sends `message`, a whole request of the method `method`, and returns the reply with a body of at most
/// `reply_max` bytes.
///
/// # Errors
///
/// See [`CallError`]; the connection is of no more use then.
pub fn call(
    conn: &mut Conn,
    method: &Method,
    message: &[u8],
    timeouts: &CallTimeouts,
    reply_max: usize,
) -> Result<CallReply, CallError> {
    let end = conn.clock().now() + timeouts.total;
    conn.send(message, timeouts.stall).map_err(|(_, e)| CallError::Closed(e.to_string()))?;
    let head = read_head(conn, timeouts, end)?;
    let cut =
        |reason: &dyn ToString, read| CallError::Truncated { reason: reason.to_string(), read };
    let framing = head.framing(method).map_err(|e| cut(&e, 0))?;
    let mut reader = BodyReader::new(framing);
    let body = reader.read_all_with_stall_limit(conn, reply_max, timeouts.stall, end);
    let body = body.map_err(|(read, e)| cut(&e, read))?;
    let keep_alive = head.keep_alive() && conn.buffered().is_empty();
    Ok(CallReply { status: head.status, headers: head.headers, body, keep_alive })
}

fn read_head(
    conn: &mut Conn,
    timeouts: &CallTimeouts,
    end: Instant,
) -> Result<ResponseHead, CallError> {
    let until = (conn.clock().now() + timeouts.head).min(end);
    loop {
        match ResponseHead::take_buffered(conn, HEAD_MAX) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(e) => return Err(CallError::Truncated { reason: e.to_string(), read: 0 }),
        }
        let began = !conn.buffered().is_empty();
        match conn.fill_until(until, None) {
            Ok(()) => {}
            Err(ReadError::Timeout) => return Err(CallError::Timeout(timeouts.head)),
            Err(e) if began => return Err(CallError::Truncated { reason: e.to_string(), read: 0 }),
            Err(e) => return Err(CallError::Closed(e.to_string())),
        }
    }
}
