//! Splits an event stream into complete events, so that a broken stream can be resumed after the last event that the
//! caller has received completely.

/// Longest event, in bytes; a longer one is forwarded in pieces.
const EVENT_MAX_BYTES: usize = 64 << 10;

/// Collects bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    last_id: Option<String>,
    /// Whether a part of an incomplete event was returned.
    has_split_event: bool,
}

impl EventSplitter {
    /// Returns a splitter of a stream that is resumed after the event `last_id`.
    pub fn after(last_id: Option<String>) -> EventSplitter {
        EventSplitter { last_id, ..EventSplitter::default() }
    }

    /// Adds received bytes and returns the events that are complete now; may be empty.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        // What was held before has no end of an event; one may begin with its last byte.
        let from = self.buf.len().saturating_sub(1);
        self.buf.extend_from_slice(bytes);
        match self.buf[from..].windows(2).rposition(|pair| pair == b"\n\n") {
            Some(at) => self.take(from + at + 2, false),
            None if self.buf.len() > EVENT_MAX_BYTES => self.take_partial(),
            None => Vec::new(),
        }
    }

    /// Returns the bytes of an incomplete event, of which no more may be held.
    pub fn take_partial(&mut self) -> Vec<u8> {
        self.take(self.buf.len(), true)
    }

    fn take(&mut self, end: usize, splits_event: bool) -> Vec<u8> {
        let rest = self.buf.split_off(end);
        let taken = std::mem::replace(&mut self.buf, rest);
        if let Some(id) = last_event_id(&taken) {
            self.last_id = Some(id);
        }
        self.has_split_event = splits_event;
        taken
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
    }

    /// Takes the remaining bytes after a regular end of the stream.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buf)
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let line = events.split(|&b| b == b'\n').rev().find(|line| line.starts_with(b"id:"))?;
    let id = std::str::from_utf8(&line[3..]).ok()?;
    Some(id.trim().to_owned())
}
