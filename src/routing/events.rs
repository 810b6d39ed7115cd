//! Splits an event stream into complete events, so that a broken stream can be resumed after the last event that the
//! caller has received completely.

/// Longest event, in bytes; a longer one is forwarded in pieces.
const EVENT_MAX_BYTES: usize = 64 << 10;

/// Collects bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Returns a splitter of a stream that is resumed after the event `last_id`.
    pub fn after(last_id: Option<String>) -> EventSplitter {
        EventSplitter { buf: Vec::new(), last_id }
    }

    /// Adds received bytes and returns the events that are complete now; may be empty.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buf.extend_from_slice(bytes);
        let end = match self.buf.windows(2).rposition(|pair| pair == b"\n\n") {
            Some(at) => at + 2,
            None if self.buf.len() > EVENT_MAX_BYTES => self.buf.len(),
            None => return Vec::new(),
        };
        let complete: Vec<u8> = self.buf.drain(..end).collect();
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        complete
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
