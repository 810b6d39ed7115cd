//! Framing of bodies: by length, in chunks, or up to the end of the connection.

use std::time::{Duration, Instant};

use super::conn::{Conn, ReadError};

/// Longest line that announces a chunk, extensions included.
const CHUNK_LINE_MAX: usize = 256;

/// Most bytes of trailers.
const TRAILERS_MAX: usize = 8 << 10;

/// Most bytes handed out at once.
const PIECE_MAX: usize = 64 << 10;

/// How a body's end is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// After this many bytes.
    Length(u64),
    /// At the last chunk.
    Chunked,
    /// At the end of the connection.
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
}

/// Reads one body piece by piece.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// Returns a reader of a body framed as `framing`.
    pub fn new(framing: BodyFraming) -> BodyReader {
        let state = match framing {
            BodyFraming::Length(0) => State::Done,
            BodyFraming::Length(length) => State::Data(length),
            BodyFraming::Chunked => State::ChunkLine,
            BodyFraming::UntilClose => State::UntilClose,
        };
        BodyReader { state }
    }

    /// Returns whether the whole body has been read.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns the next piece as soon as any of it is there; `None` at the body's true end.
    ///
    /// # Errors
    ///
    /// [`ReadFault::Closed`] means that the body was cut short.
    pub fn next(
        &mut self,
        conn: &mut Conn,
        until: Instant,
        go_on: &mut dyn FnMut() -> bool,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        self.next_with(conn, |conn| conn.fill(until, go_on))
    }

    /// Returns the next piece as [`BodyReader::next`] does; `fill` waits for more bytes.
    ///
    /// # Errors
    ///
    /// Those of `fill`, and [`ReadFault::Closed`] for a body that was cut short.
    pub fn next_with(
        &mut self,
        conn: &mut Conn,
        mut fill: impl FnMut(&mut Conn) -> Result<(), ReadError>,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            if self.state == State::Done {
                return Ok(None);
            }
            if let Some(piece) = self.advance(conn)? {
                return Ok(Some(piece));
            }
            if self.state == State::Done {
                continue;
            }
            match fill(conn) {
                Err(ReadError::Closed) if self.state == State::UntilClose => {
                    self.state = State::Done
                }
                filled => filled?,
            }
        }
    }

    /// Returns the next chunk whole; `None` at the body's true end.
    ///
    /// # Errors
    ///
    /// As [`BodyReader::next`]; [`ReadFault::TooLarge`] for a chunk of more than `max` bytes.
    pub fn next_chunk(
        &mut self,
        conn: &mut Conn,
        max: usize,
        until: Instant,
        go_on: &mut dyn FnMut() -> bool,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        let mut chunk = Vec::new();
        loop {
            let Some(piece) = self.next(conn, until, go_on)? else { return Ok(None) };
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

    /// Reads the whole body of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// [`ReadFault::TooLarge`] as soon as the body is known to be larger.
    pub fn read_all(
        &mut self,
        conn: &mut Conn,
        max: usize,
        until: Instant,
    ) -> Result<Vec<u8>, ReadError> {
        if let State::Data(length) = self.state
            && length > max as u64
        {
            return Err(ReadError::TooLarge);
        }
        let mut body = Vec::new();
        while let Some(piece) = self.next_with(conn, |conn| conn.fill_until(until, None))? {
            body.extend_from_slice(&piece);
            if body.len() > max {
                return Err(ReadError::TooLarge);
            }
        }
        Ok(body)
    }

    /// Reads the whole body of at most `max` bytes for as long as it makes progress: no pause is longer than
    /// `stall`, and it is whole before `end`.
    ///
    /// # Errors
    ///
    /// The bytes that had come, and why there are no more.
    pub fn read_all_with_stall_limit(
        &mut self,
        conn: &mut Conn,
        max: usize,
        stall: Duration,
        end: Instant,
    ) -> Result<Vec<u8>, (usize, ReadError)> {
        let mut body = Vec::new();
        loop {
            let fill = |conn: &mut Conn| {
                let until = conn.clock().now() + stall;
                conn.fill_until(until.min(end), None)
            };
            let piece = self.next_with(conn, fill).map_err(|fault| (body.len(), fault))?;
            let Some(piece) = piece else { return Ok(body) };
            body.extend_from_slice(&piece);
            if body.len() > max {
                return Err((body.len(), ReadError::TooLarge));
            }
        }
    }

    /// Takes what the buffer holds; `None` when more bytes are needed or the body is done.
    fn advance(&mut self, conn: &mut Conn) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::UntilClose => return Ok(take_piece(conn, u64::MAX)),
                State::Data(left) => {
                    let Some(piece) = take_piece(conn, left) else { return Ok(None) };
                    let left = left - piece.len() as u64;
                    self.state = if left == 0 { State::Done } else { State::Data(left) };
                    return Ok(Some(piece));
                }
                State::ChunkData(left) => {
                    let Some(piece) = take_piece(conn, left) else { return Ok(None) };
                    let left = left - piece.len() as u64;
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
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
                    let Some(line) = take_line(conn, CHUNK_LINE_MAX)? else { return Ok(None) };
                    let size = chunk_size(&line)?;
                    self.state =
                        if size == 0 { State::Trailers(0) } else { State::ChunkData(size) };
                }
                State::Trailers(seen) => {
                    let Some(line) = take_line(conn, TRAILERS_MAX)? else { return Ok(None) };
                    let seen = seen + line.len();
                    if seen > TRAILERS_MAX {
                        return Err(ReadError::TooLarge);
                    }
                    self.state = if line.is_empty() { State::Done } else { State::Trailers(seen) };
                }
            }
        }
    }
}

fn take_piece(conn: &mut Conn, left: u64) -> Option<Vec<u8>> {
    let most = usize::try_from(left).unwrap_or(usize::MAX).min(PIECE_MAX);
    let piece = conn.take(most);
    if piece.is_empty() { None } else { Some(piece) }
}

/// Takes a line without its end; `None` when it is not whole yet.
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

fn chunk_size(line: &[u8]) -> Result<u64, ReadError> {
    const FAULT: ReadError = ReadError::Protocol("a chunk's size is not a hexadecimal number");
    let text = std::str::from_utf8(line).map_err(|_| FAULT)?;
    let digits = text.split(';').next().unwrap_or_default().trim_end();
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(FAULT);
    }
    u64::from_str_radix(digits, 16).map_err(|_| FAULT)
}

/// Writes a body in chunks. Nothing is written on drop: an unfinished body stays visibly cut.
#[derive(Debug, Default)]
pub struct ChunkWriter {
    buf: Vec<u8>,
}

/// The last chunk.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

impl ChunkWriter {
    /// Returns `piece` framed as one chunk; an empty piece gives no bytes.
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
