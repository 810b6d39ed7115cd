//! Framing of message bodies: by length, in chunks, or by the end of the connection.

use std::time::{Duration, Instant};

use super::conn::{Conn, ReadError};

/// Maximum length of the line with a chunk's size, in bytes, including chunk extensions.
const CHUNK_LINE_MAX: usize = 256;

/// Maximum number of digits of a chunk's size: those of the largest size, in hexadecimal.
const SIZE_DIGITS_MAX: usize = 16;

/// Maximum size of all trailers in bytes.
const TRAILERS_MAX: usize = 8 << 10;

/// Maximum number of bytes returned at once.
const PIECE_MAX: usize = 64 << 10;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// After this many bytes.
    Length(u64),
    /// By the last chunk, of size zero.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Data(u64),
    ChunkLine,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
    Done,
    /// The connection that frames the body was closed in order.
    Closed,
}

/// Incremental reader of one body.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    /// How long the bytes between two chunks, or after the last one, may take.
    framing_time_max: Option<Duration>,
    /// When the first of these bytes was awaited or seen.
    framing_since: Option<Instant>,
}

impl BodyReader {
    /// Returns a reader of a body with the given framing.
    pub fn new(framing: BodyFraming) -> BodyReader {
        let state = match framing {
            BodyFraming::Length(0) => State::Done,
            BodyFraming::Length(length) => State::Data(length),
            BodyFraming::Chunked => State::ChunkLine,
            BodyFraming::UntilClose => State::UntilClose,
        };
        BodyReader { state, framing_time_max: None, framing_since: None }
    }

    /// Limits the time that the bytes between two chunks, or after the last one, may take from the first to the last of
    /// them. A sender that stays silent meanwhile is not affected.
    pub fn with_framing_time_max(self, time: Duration) -> BodyReader {
        BodyReader { framing_time_max: Some(time), ..self }
    }

    /// Returns whether the complete body has been read.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done | State::Closed)
    }

    /// Returns whether the body has ended with its connection: nothing else marks its end.
    pub fn has_ended_with_connection(&self) -> bool {
        self.state == State::Closed
    }

    /// Returns the next bytes as soon as there are any; `None` at the end of the complete body.
    ///
    /// # Errors
    ///
    /// [`ReadError::Closed`] means that the body is truncated.
    pub fn next(
        &mut self,
        conn: &mut Conn,
        deadline: Instant,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        self.next_with(conn, |conn| conn.fill(deadline, keep_waiting))
    }

    /// Returns the next bytes as [`BodyReader::next`] does; `fill` reads more bytes into the buffer.
    ///
    /// # Errors
    ///
    /// Those of `fill`, and [`ReadError::Closed`] for a truncated body.
    pub fn next_with(
        &mut self,
        conn: &mut Conn,
        mut fill: impl FnMut(&mut Conn) -> Result<(), ReadError>,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            if self.is_done() {
                return Ok(None);
            }
            if let Some(piece) = self.advance(conn)? {
                self.framing_since = None;
                return Ok(Some(piece));
            }
            if self.is_done() {
                continue;
            }
            self.check_framing_time(conn)?;
            match fill(conn) {
                Err(ReadError::Closed) if self.state == State::UntilClose => {
                    self.state = State::Closed
                }
                filled => filled?,
            }
        }
    }

    /// Returns the next complete chunk; `None` at the end of the complete body.
    ///
    /// # Errors
    ///
    /// As [`BodyReader::next`]; [`ReadError::TooLarge`] for a chunk of more than `max` bytes.
    pub fn next_chunk(
        &mut self,
        conn: &mut Conn,
        max: usize,
        deadline: Instant,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        self.next_chunk_with(conn, max, |conn| conn.fill(deadline, keep_waiting))
    }

    /// Returns the next complete chunk as [`BodyReader::next_chunk`] does; `fill` reads more bytes into the buffer.
    ///
    /// # Errors
    ///
    /// Those of `fill`, and as [`BodyReader::next_chunk`].
    pub fn next_chunk_with(
        &mut self,
        conn: &mut Conn,
        max: usize,
        mut fill: impl FnMut(&mut Conn) -> Result<(), ReadError>,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        let mut chunk = Vec::new();
        loop {
            let Some(piece) = self.next_with(conn, &mut fill)? else { return Ok(None) };
            if chunk.is_empty() {
                chunk = piece
            } else {
                chunk.extend_from_slice(&piece)
            }
            if chunk.len() > max {
                return Err(ReadError::TooLarge);
            }
            if !matches!(self.state, State::ChunkData(_)) {
                return Ok(Some(chunk));
            }
        }
    }

    /// Reads the complete body of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// [`ReadError::TooLarge`] as soon as the announced length or the bytes read exceed `max`.
    pub fn read_all(
        &mut self,
        conn: &mut Conn,
        max: usize,
        deadline: Instant,
    ) -> Result<Vec<u8>, ReadError> {
        if let State::Data(length) = self.state
            && length > max as u64
        {
            return Err(ReadError::TooLarge);
        }
        let mut body = Vec::new();
        while let Some(piece) = self.next_with(conn, |conn| conn.fill_until(deadline, None))? {
            body.extend_from_slice(&piece);
            if body.len() > max {
                return Err(ReadError::TooLarge);
            }
        }
        Ok(body)
    }

    /// Reads the complete body of at most `max` bytes before `deadline`, with no pause between its bytes longer than
    /// `stall`.
    ///
    /// # Errors
    ///
    /// The number of bytes received before the error, and the error.
    pub fn read_all_with_stall_limit(
        &mut self,
        conn: &mut Conn,
        max: usize,
        stall: Duration,
        deadline: Instant,
    ) -> Result<Vec<u8>, (usize, ReadError)> {
        let mut body = Vec::new();
        loop {
            let fill = |conn: &mut Conn| {
                let stall_deadline = conn.clock().now() + stall;
                conn.fill_until(stall_deadline.min(deadline), None)
            };
            let piece = self.next_with(conn, fill).map_err(|error| (body.len(), error))?;
            let Some(piece) = piece else { return Ok(body) };
            body.extend_from_slice(&piece);
            if body.len() > max {
                return Err((body.len(), ReadError::TooLarge));
            }
        }
    }

    /// Returns an error if the bytes between two chunks take too long.
    fn check_framing_time(&mut self, conn: &Conn) -> Result<(), ReadError> {
        let is_framing = match self.state {
            State::ChunkLine | State::ChunkEnd => !conn.buffered().is_empty(),
            State::Trailers(_) => true,
            _ => false,
        };
        let Some(max) = self.framing_time_max.filter(|_| is_framing) else { return Ok(()) };
        let now = conn.clock().now();
        let since = *self.framing_since.get_or_insert(now);
        if now.saturating_duration_since(since) > max {
            return Err(ReadError::Protocol("what comes between two chunks does not end"));
        }
        Ok(())
    }

    /// Consumes the buffered bytes; `None` when more bytes are needed or the body is complete.
    fn advance(&mut self, conn: &mut Conn) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            match self.state {
                State::Done | State::Closed => return Ok(None),
                State::UntilClose => return Ok(take_piece(conn, u64::MAX)),
                State::Data(remaining) => {
                    let Some(piece) = take_piece(conn, remaining) else { return Ok(None) };
                    let remaining = remaining - piece.len() as u64;
                    self.state = if remaining == 0 { State::Done } else { State::Data(remaining) };
                    return Ok(Some(piece));
                }
                State::ChunkData(remaining) => {
                    let Some(piece) = take_piece(conn, remaining) else { return Ok(None) };
                    let remaining = remaining - piece.len() as u64;
                    self.state =
                        if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
                    return Ok(Some(piece));
                }
                State::ChunkEnd => {
                    if conn.buffered().len() < 2 {
                        return Ok(None);
                    }
                    if !conn.buffered().starts_with(b"\r\n") {
                        return Err(ReadError::Protocol("a chunk does not end where it says"));
                    }
                    conn.consume(2);
                    self.state = State::ChunkLine;
                }
                State::ChunkLine => {
                    let Some(line) = take_line(conn, CHUNK_LINE_MAX)? else {
                        check_chunk_line(conn.buffered())?;
                        return Ok(None);
                    };
                    let size = chunk_size(&line)?;
                    self.state =
                        if size == 0 { State::Trailers(0) } else { State::ChunkData(size) };
                }
                State::Trailers(read) => {
                    let Some(line) = take_line(conn, TRAILERS_MAX)? else { return Ok(None) };
                    let read = read + line.len();
                    if read > TRAILERS_MAX {
                        return Err(ReadError::TooLarge);
                    }
                    self.state = if line.is_empty() { State::Done } else { State::Trailers(read) };
                }
            }
        }
    }
}

fn take_piece(conn: &mut Conn, remaining: u64) -> Option<Vec<u8>> {
    let max = usize::try_from(remaining).unwrap_or(usize::MAX).min(PIECE_MAX);
    let piece = conn.take(max);
    if piece.is_empty() { None } else { Some(piece) }
}

/// Removes a line from the buffer and returns it without its line end; `None` when the line is incomplete.
fn take_line(conn: &mut Conn, max: usize) -> Result<Option<Vec<u8>>, ReadError> {
    let Some(end) = conn.buffered().windows(2).position(|w| w == b"\r\n") else {
        return if conn.buffered().len() > max { Err(ReadError::TooLarge) } else { Ok(None) };
    };
    if end > max {
        return Err(ReadError::TooLarge);
    }
    let line = conn.take(end);
    conn.consume(2);
    Ok(Some(line))
}

const INVALID_SIZE: ReadError = ReadError::Protocol("a chunk's size is not a hexadecimal number");

fn chunk_size(line: &[u8]) -> Result<u64, ReadError> {
    let text = std::str::from_utf8(line).map_err(|_| INVALID_SIZE)?;
    let digits = text.split(';').next().unwrap_or_default().trim_end();
    let is_size = digits.len() <= SIZE_DIGITS_MAX && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if digits.is_empty() || !is_size {
        return Err(INVALID_SIZE);
    }
    u64::from_str_radix(digits, 16).map_err(|_| INVALID_SIZE)
}

/// Checks the beginning of a line with a chunk's size: bytes that are no chunk may never have a line end.
fn check_chunk_line(begun: &[u8]) -> Result<(), ReadError> {
    let digits = begun.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let next = begun.get(digits);
    let ends_size = |b: &u8| matches!(b, b';' | b' ' | b'\t' | b'\r');
    let may_be_size = digits <= SIZE_DIGITS_MAX && next.is_none_or(|b| digits > 0 && ends_size(b));
    if may_be_size { Ok(()) } else { Err(INVALID_SIZE) }
}

/// Encoder of the chunked transfer coding. Dropping it writes nothing, so that an unfinished body is recognized as
/// truncated.
#[derive(Debug, Default)]
pub struct ChunkWriter {
    buf: Vec<u8>,
}

/// The last chunk, which ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

impl ChunkWriter {
    /// Returns `piece` as one chunk; an empty piece yields no bytes, since a chunk of size zero would end the body.
    pub fn frame(&mut self, piece: &[u8]) -> &[u8] {
        self.buf.clear();
        if !piece.is_empty() {
            self.buf.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            self.buf.extend_from_slice(piece);
            self.buf.extend_from_slice(b"\r\n");
        }
        &self.buf
    }
}
