//! Splits a stream into whole events, so that a stream that breaks can go on after the last one
//! that the caller has whole.

/// Longest event; a longer one is passed on in pieces.
const EVENT_MAX: usize = 64 << 10;

/// Collects bytes and hands out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Returns a splitter of a stream that goes on after the event `last_id`.
    pub fn after(last_id: Option<String>) -> EventSplitter {
        EventSplitter { buf: Vec::new(), last_id }
    }

    /// Takes bytes as they came and returns the whole events among them; may be empty.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buf.extend_from_slice(bytes);
        let end = match self.buf.windows(2).rposition(|pair| pair == b"\n\n") {
            Some(at) => at + 2,
            None if self.buf.len() > EVENT_MAX => self.buf.len(),
            None => return Vec::new(),
        };
        let whole: Vec<u8> = self.buf.drain(..end).collect();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Drops the beginning of an event that will not end.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }

    /// Takes what is left at the stream's true end.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buf)
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let line = events.split(|&b| b == b'\n').rev().find(|line| line.starts_with(b"id:"))?;
    let id = std::str::from_utf8(&line[3..]).ok()?;
    Some(id.trim().to_owned())
}
