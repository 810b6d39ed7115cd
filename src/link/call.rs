//! A single HTTP/1.1 call on a connection, with timeouts for stalls rather than for the duration of the body.

use std::time::{Duration, Instant};

use http::{HeaderMap, Method, StatusCode};

use super::http1::{BodyReader, Conn, ReadError, ResponseHead};

/// Maximum size of a reply's head in bytes.
const HEAD_MAX: usize = 8 << 10;

/// Timeout for a complete message: 5.3 MB take 4.2 s over the slowest supported link (1.25 MB/s) and twice as long with
/// concurrent traffic. It is long enough not to abort a transfer that makes progress.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeouts of a call. The body has none of its own: its duration depends on its length and the link, so a fixed
/// timeout would abort every body beyond some length, on every retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimeouts {
    /// From the sent call to the reply's head.
    pub head: Duration,
    /// Maximum pause between bytes of the reply's body, or until the peer accepts more bytes of the call.
    pub stall: Duration,
    /// For the complete call, so that a reply that trickles in is aborted.
    pub total: Duration,
}

/// A complete reply.
#[derive(Debug)]
pub struct CallReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the connection can be reused for another call.
    pub keep_alive: bool,
}

/// Error of a call.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The call was not sent completely, or the connection was closed before the first byte of a reply, as it happens
    /// on a pooled connection that the peer has closed.
    #[error("{0}, before anything of a reply came")]
    Closed(String),
    /// The peer sent no reply in time.
    #[error("nothing came for {0:?}")]
    Timeout(Duration),
    /// The reply is truncated or invalid.
    #[error("{reason}, with {read} bytes of the body read")]
    Truncated {
        /// Text of the error.
        reason: String,
        /// Number of bytes of the body received before.
        read: usize,
    },
}

/// Sends `message`, a complete request with the method `method`, and returns the reply, whose body has at most
/// `reply_max` bytes.
///
/// # Errors
///
/// See [`CallError`]. The connection cannot be used again then.
pub fn call(
    conn: &mut Conn,
    method: &Method,
    message: &[u8],
    timeouts: &CallTimeouts,
    reply_max: usize,
) -> Result<CallReply, CallError> {
    let deadline = conn.clock().now() + timeouts.total;
    conn.send(message, timeouts.stall).map_err(|(_, e)| CallError::Closed(e.to_string()))?;
    let head = read_head(conn, timeouts, deadline)?;
    let truncated =
        |reason: &dyn ToString, read| CallError::Truncated { reason: reason.to_string(), read };
    let framing = head.framing(method).map_err(|e| truncated(&e, 0))?;
    let mut reader = BodyReader::new(framing);
    let body = reader.read_all_with_stall_limit(conn, reply_max, timeouts.stall, deadline);
    let body = body.map_err(|(read, e)| truncated(&e, read))?;
    let keep_alive = head.keep_alive() && conn.buffered().is_empty();
    Ok(CallReply { status: head.status, headers: head.headers, body, keep_alive })
}

fn read_head(
    conn: &mut Conn,
    timeouts: &CallTimeouts,
    deadline: Instant,
) -> Result<ResponseHead, CallError> {
    let head_deadline = (conn.clock().now() + timeouts.head).min(deadline);
    loop {
        match ResponseHead::take_buffered(conn, HEAD_MAX) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(e) => return Err(CallError::Truncated { reason: e.to_string(), read: 0 }),
        }
        let has_begun = !conn.buffered().is_empty();
        match conn.fill_until(head_deadline, None) {
            Ok(()) => {}
            Err(ReadError::Timeout) => return Err(CallError::Timeout(timeouts.head)),
            Err(e) if has_begun => {
                return Err(CallError::Truncated { reason: e.to_string(), read: 0 });
            }
            Err(e) => return Err(CallError::Closed(e.to_string())),
        }
    }
}
