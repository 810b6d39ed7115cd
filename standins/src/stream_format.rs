//! The form in which a backend server sends an event stream, as the query of a request asks for it: `unframed=1` for a
//! stream that has no chunks and ends with its connection, `lines=crlf` or `lines=cr` for other line ends.

use std::time::Duration;

use cartvane::link::http1::Conn;
use xxhash_rust::xxh3::xxh3_64;

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
    /// Returns the form that a caller asks for with the request `id`, and the query that asks for it.
    pub fn drawn(id: &str) -> (StreamFormat, String) {
        let draw = xxh3_64(id.as_bytes());
        let is_unframed = draw.is_multiple_of(2);
        let (lines, line_end) =
            [("lf", "\n"), ("crlf", "\r\n"), ("cr", "\r")][(draw / 2 % 3) as usize];
        let framing = if is_unframed { "&unframed=1" } else { "" };
        (StreamFormat { is_unframed, line_end }, format!("?lines={lines}{framing}"))
    }

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

    /// Breaks a stream off between two events. Without chunks, only a reset tells that from its end.
    pub fn break_off(&self, conn: &Conn) -> Next {
        if self.is_unframed {
            conn.reset_on_close();
        }
        Next::Close
    }

    /// Ends a complete stream.
    pub fn end(&self, conn: &mut Conn) -> Next {
        if !self.is_unframed && send_last_chunk(conn) { Next::KeepAlive } else { Next::Close }
    }
}
