//! Writes answers to callers, so that a cut answer never looks whole.

use std::{io, time::Duration};

use http::{HeaderMap, StatusCode};

use crate::{
    contract::outcome::{Outcome, Refusal},
    link::http1::{
        ChunkWriter, Conn,
        body::LAST_CHUNK,
        head::{write_header, write_headers},
    },
};

/// What every answer carries.
#[derive(Debug, Clone)]
pub struct ResponseOptions {
    /// What the router adds of its own; nothing where callers speak another interface.
    pub router_headers: Option<RouterHeaders>,
    /// Whether the connection stays open afterwards.
    pub keep_alive: bool,
}

/// Headers that the router adds to an answer.
#[derive(Debug, Clone)]
pub struct RouterHeaders {
    /// Id of the request.
    pub request_id: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Placement hint for the caller to send back.
    pub placement: Option<String>,
}

impl ResponseOptions {
    /// Returns a note that adds no headers of the router's own.
    pub fn plain(keep_alive: bool) -> ResponseOptions {
        ResponseOptions { router_headers: None, keep_alive }
    }

    /// Returns the same note with another outcome.
    pub fn with_outcome(&self, outcome: Outcome) -> ResponseOptions {
        let router_headers = self
            .router_headers
            .clone()
            .map(|router_headers| RouterHeaders { outcome, ..router_headers });
        ResponseOptions { router_headers, keep_alive: self.keep_alive }
    }
}

/// How the body is framed towards the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFraming {
    /// By length.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Up to the end of the connection, for HTTP/1.0.
    UntilClose,
    /// None, by the method or status.
    None,
}

/// An answer being written.
pub struct ResponseWriter<'c> {
    conn: &'c mut Conn,
    stall: Duration,
    body: ResponseFraming,
    chunks: ChunkWriter,
    /// Bytes of the body handed over so far.
    pub written: u64,
}

impl<'c> ResponseWriter<'c> {
    /// Writes the head and, in the same packet, the first bytes of the body.
    ///
    /// # Errors
    ///
    /// The caller is gone or takes nothing for `stall`.
    pub fn start(
        conn: &'c mut Conn,
        stall: Duration,
        status: StatusCode,
        headers: &HeaderMap,
        note: &ResponseOptions,
        body: ResponseFraming,
        first: &[u8],
    ) -> io::Result<ResponseWriter<'c>> {
        let mut writer = ResponseWriter {
            conn,
            stall,
            body,
            chunks: ChunkWriter::default(),
            written: first.len() as u64,
        };
        let mut buf = head_bytes(status, headers, note, body);
        if !first.is_empty() {
            buf.extend_from_slice(&writer.framed(first));
        }
        writer.send(&buf)?;
        Ok(writer)
    }

    /// Writes a piece of the body at once.
    ///
    /// # Errors
    ///
    /// The caller is gone or takes nothing for the stall time.
    pub fn write(&mut self, piece: &[u8]) -> io::Result<()> {
        self.written += piece.len() as u64;
        if self.body == ResponseFraming::Chunked {
            let framed = self.chunks.frame(piece);
            return self.conn.send(framed, self.stall).map_err(|(_, e)| e);
        }
        self.send(piece)
    }

    /// Ends a whole body.
    ///
    /// # Errors
    ///
    /// The caller is gone or takes nothing for the stall time.
    pub fn finish(mut self) -> io::Result<()> {
        if self.body == ResponseFraming::Chunked { self.send(LAST_CHUNK) } else { Ok(()) }
    }

    /// Ends a body that cannot be completed: `last_words` go out and the connection is cut.
    pub fn abort(mut self, last_words: &[u8]) {
        if !last_words.is_empty() {
            // A caller that is gone needs no last words.
            let _ = self.write(last_words);
        }
        self.conn.shutdown();
    }

    /// Returns the connection's state as the caller left it.
    pub fn conn(&self) -> &Conn {
        self.conn
    }

    fn framed(&mut self, piece: &[u8]) -> Vec<u8> {
        if self.body == ResponseFraming::Chunked {
            self.chunks.frame(piece).to_vec()
        } else {
            piece.to_vec()
        }
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.conn.send(bytes, self.stall).map_err(|(_, e)| e)
    }
}

/// Writes a whole answer of known length.
///
/// # Errors
///
/// The caller is gone or takes nothing for `stall`.
pub fn send_response(
    conn: &mut Conn,
    stall: Duration,
    status: StatusCode,
    headers: &HeaderMap,
    note: &ResponseOptions,
    body: &[u8],
    head_only: bool,
) -> io::Result<()> {
    let framing = ResponseFraming::Length(body.len() as u64);
    let first = if head_only { &[] } else { body };
    ResponseWriter::start(conn, stall, status, headers, note, framing, first)?.finish()
}

/// Writes the router's own refusal as `problem+json`.
///
/// # Errors
///
/// The caller is gone or takes nothing for `stall`.
pub fn send_refusal(
    conn: &mut Conn,
    stall: Duration,
    refusal: &Refusal,
    note: &ResponseOptions,
    head_only: bool,
) -> io::Result<()> {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", http::HeaderValue::from_static("application/problem+json"));
    if let Some(secs) = refusal.retry_after_secs() {
        headers.insert("retry-after", http::HeaderValue::from(secs));
    }
    if refusal.status == 401 {
        headers.insert("www-authenticate", http::HeaderValue::from_static("Bearer"));
    }
    let note = note.with_outcome(refusal.outcome);
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    send_response(conn, stall, status, &headers, &note, &refusal.body(), head_only)
}

fn head_bytes(
    status: StatusCode,
    headers: &HeaderMap,
    note: &ResponseOptions,
    body: ResponseFraming,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(512);
    let reason = status.canonical_reason().unwrap_or_default();
    buf.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    write_headers(&mut buf, headers);
    if let Some(router_headers) = &note.router_headers {
        write_header(&mut buf, "cartvane-request-id", router_headers.request_id.as_bytes());
        write_header(&mut buf, "cartvane-outcome", router_headers.outcome.to_string().as_bytes());
        if let Some(placement) = &router_headers.placement {
            write_header(&mut buf, "cartvane-placement", placement.as_bytes());
        }
    }
    match body {
        ResponseFraming::Length(length) => {
            write_header(&mut buf, "content-length", length.to_string().as_bytes())
        }
        ResponseFraming::Chunked => write_header(&mut buf, "transfer-encoding", b"chunked"),
        ResponseFraming::UntilClose | ResponseFraming::None => {}
    }
    if !note.keep_alive || body == ResponseFraming::UntilClose {
        write_header(&mut buf, "connection", b"close");
    }
    buf.extend_from_slice(b"\r\n");
    buf
}
