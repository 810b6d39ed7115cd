//! The body of a response, and how it ends.

use std::fmt;

use http::{HeaderMap, header::CONTENT_TYPE};

use super::{BodyFraming, BodyReader, Conn, ReadError};
use crate::contract::event_scanner::EventScanner;

/// What marks the end of the body of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// Its length or its last chunk.
    Framed,
    /// Nothing but the end of its connection, which was closed in order.
    Connection,
    /// Nothing: an event stream ends inside an event, so it was broken off.
    InsideEvent,
}

impl fmt::Display for BodyEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyEnd::Framed => "framed",
            BodyEnd::Connection => "connection",
            BodyEnd::InsideEvent => "inside-event",
        })
    }
}

/// Incremental reader of the body of a response.
#[derive(Debug)]
pub struct ResponseBody {
    reader: BodyReader,
    /// Only for an event stream.
    events: Option<EventScanner>,
}

impl ResponseBody {
    /// Returns a reader of the body of a response with these headers and this framing.
    pub fn new(headers: &HeaderMap, framing: BodyFraming) -> ResponseBody {
        let events = is_event_stream(headers).then(EventScanner::default);
        ResponseBody { reader: BodyReader::new(framing), events }
    }

    /// Returns the next bytes as [`BodyReader::next_with`] does.
    ///
    /// # Errors
    ///
    /// Those of [`BodyReader::next_with`].
    pub fn next_with(
        &mut self,
        conn: &mut Conn,
        fill: impl FnMut(&mut Conn) -> Result<(), ReadError>,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        let piece = self.reader.next_with(conn, fill)?;
        if let (Some(events), Some(piece)) = (&mut self.events, &piece) {
            events.scan(piece);
        }
        Ok(piece)
    }

    /// Returns how the body has ended; `None` if it has not been read to its end.
    pub fn end(&self) -> Option<BodyEnd> {
        if !self.reader.is_done() {
            return None;
        }
        Some(if self.events.as_ref().is_some_and(EventScanner::is_inside_event) {
            BodyEnd::InsideEvent
        } else if self.reader.has_ended_with_connection() {
            BodyEnd::Connection
        } else {
            BodyEnd::Framed
        })
    }
}

/// Returns whether a message with these headers is an event stream.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}
