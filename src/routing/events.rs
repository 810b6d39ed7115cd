//! Splits an event stream into complete events, so that a broken stream can be resumed after the last event that the
//! caller has received completely.

use crate::contract::event_scanner::EventScanner;

/// Longest event, in bytes; a longer one is forwarded in pieces.
const EVENT_MAX_BYTES: usize = 64 << 10;

/// Collects bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    /// Bytes of the incomplete event that were not returned.
    buf: Vec<u8>,
    /// Whether a part of the incomplete event was returned.
    has_split_event: bool,
}

impl EventSplitter {
    /// Returns a splitter of a stream that is resumed after the event `last_id`.
    pub fn after(last_id: Option<String>) -> EventSplitter {
        EventSplitter { scanner: EventScanner::after(last_id), ..EventSplitter::default() }
    }

    /// Adds received bytes and returns the events that are complete now; may be empty.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let held = self.buf.len();
        self.buf.extend_from_slice(bytes);
        match self.scanner.scan(bytes) {
            Some(complete) => {
                self.has_split_event = false;
                self.take(held + complete)
            }
            None if self.buf.len() > EVENT_MAX_BYTES => self.take_partial(),
            None => Vec::new(),
        }
    }

    /// Returns the bytes of an incomplete event, of which no more may be held.
    pub fn take_partial(&mut self) -> Vec<u8> {
        self.has_split_event = true;
        self.take(self.buf.len())
    }

    fn take(&mut self, end: usize) -> Vec<u8> {
        let rest = self.buf.split_off(end);
        std::mem::replace(&mut self.buf, rest)
    }

    /// Returns the number of bytes of the incomplete event that is held.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether all bytes returned so far are complete events. Otherwise the stream cannot be resumed: the caller
    /// has received a part of an event that would be sent again, or skipped.
    pub fn is_between_events(&self) -> bool {
        !self.has_split_event
    }

    /// Discards an incomplete event whose stream is broken.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.scanner = EventScanner::after(self.last_id().map(str::to_owned));
    }

    /// Returns the id of the last complete event, if the stream can be resumed after it.
    pub fn last_id(&self) -> Option<&str> {
        self.scanner.last_id()
    }
}
