//! The form in which a backend server sends an event stream, as the query of a request asks for it: `unframed=1` for a
//! stream that has no chunks and ends with its connection, `lines=crlf` or `lines=cr` for other line ends.

use std::time::Duration;

use cartvane::link::http1::Conn;

use crate::server::{Next, Received, send_chunk, send_last_chunk};

/// Longest wait for a router to take bytes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Form of one stream.
#[derive(Debug, Clone)]
pub struct StreamFormat {
    is_unframed: bool,
    line_end: &'static str,
}

impl StreamFormat {
    /// Returns the form that a request asks for.
    pub fn of(received: &Received) -> StreamFormat {
        let line_end = match received.param("lines") {
            Some("crlf") => "\r\n",
            Some("cr") => "\r",
            _ => "\n",
        };
        StreamFormat { is_unframed: received.param("unframed").is_some(), line_end }
    }

    /// Returns the header lines that state the framing.
    pub fn framing(&self) -> &'static str {
        if self.is_unframed { "" } else { "transfer-encoding: chunked\r\n" }
    }

    /// Returns an event, whose lines end with LF, with the line ends of the stream.
    pub fn event(&self, event: &str) -> String {
        event.replace('\n', self.line_end)
    }

    /// Sends a piece; returns whether the router took it.
    pub fn send(&self, conn: &mut Conn, bytes: &[u8]) -> bool {
        if self.is_unframed {
            conn.send(bytes, WRITE_TIMEOUT).is_ok()
        } else {
            send_chunk(conn, bytes)
        }
    }

    /// Ends a complete stream.
    pub fn end(&self, conn: &mut Conn) -> Next {
        if !self.is_unframed && send_last_chunk(conn) { Next::KeepAlive } else { Next::Close }
    }
}
