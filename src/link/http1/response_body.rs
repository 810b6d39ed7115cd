//! The body of a response, and the decision whether its end is the end of the response.
//!
//! A connection that is closed in order ends a body without a length or chunks, whether the server has sent all of it or
//! has crashed. An event stream tells the two apart, unless it ends between two events.

use std::{fmt, time::Duration};

use http::{HeaderMap, header::CONTENT_TYPE};

use super::{BodyFraming, BodyReader, Conn, ReadError};
use crate::contract::event_scanner::EventScanner;

/// Maximum time for the bytes between two chunks: a sound server sends them at once, and a lost packet comes again sooner.
const FRAMING_TIME_MAX: Duration = Duration::from_millis(500);

/// What marks the end of the body of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// Its length or its last chunk.
    Framed,
    /// Nothing but the end of its connection, which was closed in order.
    Connection,
}

impl fmt::Display for BodyEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyEnd::Framed => "framed",
            BodyEnd::Connection => "connection",
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
        let reader = BodyReader::new(framing).with_framing_time_max(FRAMING_TIME_MAX);
        ResponseBody { reader, events }
    }

    /// Returns the next bytes as [`BodyReader::next_with`] does; `None` only at the end of a complete response, as far as
    /// its server lets one tell.
    ///
    /// # Errors
    ///
    /// Those of [`BodyReader::next_with`], and [`ReadError::CutEvent`] for a stream that was broken off.
    pub fn next_with(
        &mut self,
        conn: &mut Conn,
        fill: impl FnMut(&mut Conn) -> Result<(), ReadError>,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        let piece = self.reader.next_with(conn, fill)?;
        let Some(events) = &mut self.events else { return Ok(piece) };
        match &piece {
            Some(bytes) => {
                events.scan(bytes);
            }
            None if events.is_inside_event() => return Err(ReadError::CutEvent),
            None => {}
        }
        Ok(piece)
    }

    /// Returns what marks the end of the response; `None` if it has not been read to its end or was broken off.
    pub fn end(&self) -> Option<BodyEnd> {
        let is_cut = self.events.as_ref().is_some_and(EventScanner::is_inside_event);
        if !self.reader.is_done() || is_cut {
            return None;
        }
        Some(if self.reader.has_ended_with_connection() {
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
