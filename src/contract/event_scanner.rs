//! Finds the ends of events in an event stream (WHATWG HTML, section 9.2.6): lines end with LF, CR LF or CR, and an empty
//! line ends an event.

/// Longest line that can state the id of an event, in bytes: a longer id could not be sent in a header.
const ID_LINE_MAX: usize = 1 << 10;

/// Where a stream stands after the bytes scanned so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Position {
    /// Between two events.
    #[default]
    Between,
    /// In a comment between two events.
    Comment,
    /// In a line of an event.
    Line,
    /// After a CR that ends a line of an event; an LF may belong to it.
    LineCr,
    /// At the start of a line of an event, after an LF.
    LineStart,
    /// After a CR on an empty line. In a stream whose lines end with CR LF, the LF that completes the event follows.
    EmptyLineCr,
}

/// Scanner of the bytes of one event stream, in pieces of any size.
#[derive(Debug, Default)]
pub struct EventScanner {
    position: Position,
    /// Beginning of the current line.
    line: Vec<u8>,
    /// Id that the current event states.
    event_id: Option<String>,
    /// Whether the current event has data.
    has_data: bool,
    /// Id of the last complete event, after which the stream can be resumed.
    last_id: Option<String>,
}

impl EventScanner {
    /// Returns a scanner of a stream that goes on after the event `last_id`.
    pub fn after(last_id: Option<String>) -> EventScanner {
        EventScanner { last_id, ..EventScanner::default() }
    }

    /// Scans further bytes; returns how many of them belong to complete events and comments, or `None` if no event or
    /// comment ends in them.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut complete = None;
        let mut at = 0;
        while at < bytes.len() {
            if matches!(self.position, Position::Line | Position::Comment) {
                at += self.skip_line(&bytes[at..]);
            } else if self.take(bytes[at]) {
                at += 1;
            } else {
                // The byte before ended an event.
                complete = Some(at);
            }
            if self.position == Position::Between {
                complete = Some(at);
            }
        }
        complete
    }

    /// Returns whether the bytes so far end inside an event or a comment: a stream that ends here was broken off.
    pub fn is_inside_event(&self) -> bool {
        self.position != Position::Between
    }

    /// Returns the id of the last complete event; `None` if it has none, as the stream cannot be resumed after it then.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Skips to the end of a line and its first terminator; returns the number of bytes skipped.
    fn skip_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|&b| b == b'\n' || b == b'\r');
        let text = &bytes[..end.unwrap_or(bytes.len())];
        if self.position == Position::Line {
            let room = ID_LINE_MAX.saturating_sub(self.line.len());
            self.line.extend_from_slice(&text[..room.min(text.len())]);
        }
        let Some(end) = end else { return bytes.len() };
        self.position = match (self.position, bytes[end]) {
            (Position::Comment, _) => Position::Between,
            (_, b'\n') => Position::LineStart,
            _ => Position::LineCr,
        };
        self.end_line();
        end + 1
    }

    /// Takes a byte outside of a line; returns false, and ends the event, if the event ended before it.
    fn take(&mut self, byte: u8) -> bool {
        self.position = match (self.position, byte) {
            (Position::EmptyLineCr, b'\n') | (Position::LineStart, b'\n') => self.end_event(),
            (Position::EmptyLineCr, _) => {
                self.position = self.end_event();
                return false;
            }
            (Position::LineStart, b'\r') => Position::EmptyLineCr,
            (Position::LineCr, b'\n') => Position::LineStart,
            (Position::LineCr, b'\r') => self.end_event(),
            (Position::Between, b'\n' | b'\r') => Position::Between,
            (Position::Between, b':') => Position::Comment,
            _ => {
                self.line.push(byte);
                Position::Line
            }
        };
        true
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if let Some(id) = line.strip_prefix(b"id:")
            && line.len() < ID_LINE_MAX
        {
            self.event_id = std::str::from_utf8(id).ok().map(|id| id.trim().to_owned());
        }
        self.has_data |= line.starts_with(b"data");
    }

    fn end_event(&mut self) -> Position {
        let id = self.event_id.take().filter(|id| !id.is_empty());
        if id.is_some() || self.has_data {
            self.last_id = id;
        }
        self.has_data = false;
        Position::Between
    }
}
