//! Writes responses to callers, so that callers recognize a truncated response as such.

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

/// Largest piece that is copied into its chunk; a larger one is sent between the lines of its chunk.
pub const COPIED_PIECE_MAX: usize = 8 << 10;

/// Limit in bytes on the send buffer of the kernel for large bodies and streams. The kernel reports that a caller has
/// taken bytes only when a third of the buffer is free: with its default of over 2 MB, a caller that reads 100 KB/s would
/// count as stalled, and one that reads nothing would be noticed only after megabytes.
pub const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Options of a response.
#[derive(Debug, Clone)]
pub struct ResponseOptions {
    /// Headers that the router adds; `None` where the interface to callers has no such headers.
    pub router_headers: Option<RouterHeaders>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

/// Headers that the router adds to a response.
#[derive(Debug, Clone)]
pub struct RouterHeaders {
    /// Id of the request.
    pub request_id: String,
    /// Whether a backend server ran the request.
    pub outcome: Outcome,
    /// Placement hint, which the caller sends with its next request.
    pub placement: Option<String>,
}

impl ResponseOptions {
    /// Returns options without headers of the router.
    pub fn plain(keep_alive: bool) -> ResponseOptions {
        ResponseOptions { router_headers: None, keep_alive }
    }

    /// Returns the same options with another outcome.
    pub fn with_outcome(&self, outcome: Outcome) -> ResponseOptions {
        let router_headers =
            self.router_headers.clone().map(|headers| RouterHeaders { outcome, ..headers });
        ResponseOptions { router_headers, keep_alive: self.keep_alive }
    }
}

/// How the body of a response to a caller is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFraming {
    /// By length.
    Length(u64),
    /// In chunks.
    Chunked,
    /// By the end of the connection, for HTTP/1.0.
    UntilClose,
    /// No body, because of the method or status.
    None,
}

/// Writer of one response.
pub struct ResponseWriter<'c> {
    conn: &'c mut Conn,
    stall: Duration,
    framing: ResponseFraming,
    chunks: ChunkWriter,
    /// Number of bytes of the body sent so far.
    pub written: u64,
}

impl<'c> ResponseWriter<'c> {
    /// Writes the head and, in the same packet, the first bytes of the body.
    ///
    /// # Errors
    ///
    /// The caller has disconnected, or accepts no bytes for `stall`.
    pub fn start(
        conn: &'c mut Conn,
        stall: Duration,
        status: StatusCode,
        headers: &HeaderMap,
        options: &ResponseOptions,
        framing: ResponseFraming,
        first: &[u8],
    ) -> io::Result<ResponseWriter<'c>> {
        let mut writer = ResponseWriter {
            conn,
            stall,
            framing,
            chunks: ChunkWriter::default(),
            written: first.len() as u64,
        };
        let mut buf = encode_head(status, headers, options, framing);
        if !first.is_empty() {
            buf.extend_from_slice(&writer.frame(first));
        }
        writer.send(&buf)?;
        Ok(writer)
    }

    /// Writes a part of the body immediately.
    ///
    /// # Errors
    ///
    /// The caller has disconnected, or accepts no bytes for the stall timeout.
    pub fn write(&mut self, piece: &[u8]) -> io::Result<()> {
        self.written += piece.len() as u64;
        if self.framing != ResponseFraming::Chunked {
            return self.send(piece);
        }
        if piece.len() <= COPIED_PIECE_MAX {
            let frame = self.chunks.frame(piece);
            return self.conn.send(frame, self.stall).map_err(|(_, e)| e);
        }
        self.send(format!("{:x}\r\n", piece.len()).as_bytes())?;
        self.send(piece)?;
        self.send(b"\r\n")
    }

    /// Ends a complete body.
    ///
    /// # Errors
    ///
    /// The caller has disconnected, or accepts no bytes for the stall timeout.
    pub fn finish(mut self) -> io::Result<()> {
        if self.framing == ResponseFraming::Chunked { self.send(LAST_CHUNK) } else { Ok(()) }
    }

    /// Ends a body that cannot be completed: sends `final_bytes` and closes the connection, or has it reset when it is
    /// dropped if its regular end would end the body.
    pub fn abort(mut self, final_bytes: &[u8]) {
        if !final_bytes.is_empty() {
            // It fails only if the caller no longer reads the response.
            let _ = self.write(final_bytes);
        }
        if self.framing == ResponseFraming::UntilClose {
            self.conn.reset_on_close();
        } else {
            self.conn.shutdown();
        }
    }

    /// Returns the connection that the response is written to.
    pub fn conn(&self) -> &Conn {
        self.conn
    }

    fn frame(&mut self, piece: &[u8]) -> Vec<u8> {
        if self.framing == ResponseFraming::Chunked {
            self.chunks.frame(piece).to_vec()
        } else {
            piece.to_vec()
        }
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.conn.send(bytes, self.stall).map_err(|(_, e)| e)
    }
}

/// Writes a response with a complete body.
///
/// # Errors
///
/// The caller has disconnected, or accepts no bytes for `stall`.
pub fn send_response(
    conn: &mut Conn,
    stall: Duration,
    status: StatusCode,
    headers: &HeaderMap,
    options: &ResponseOptions,
    body: &[u8],
    head_only: bool,
) -> io::Result<()> {
    let framing = ResponseFraming::Length(body.len() as u64);
    let first = if head_only { &[] } else { body };
    ResponseWriter::start(conn, stall, status, headers, options, framing, first)?.finish()
}

/// Writes a rejection by the router as `problem+json`.
///
/// # Errors
///
/// The caller has disconnected, or accepts no bytes for `stall`.
pub fn send_refusal(
    conn: &mut Conn,
    stall: Duration,
    refusal: &Refusal,
    options: &ResponseOptions,
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
    let options = options.with_outcome(refusal.outcome);
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    send_response(conn, stall, status, &headers, &options, &refusal.body(), head_only)
}

fn encode_head(
    status: StatusCode,
    headers: &HeaderMap,
    options: &ResponseOptions,
    framing: ResponseFraming,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(512);
    let reason = status.canonical_reason().unwrap_or_default();
    buf.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    write_headers(&mut buf, headers);
    if let Some(router_headers) = &options.router_headers {
        write_header(&mut buf, "cartvane-request-id", router_headers.request_id.as_bytes());
        write_header(&mut buf, "cartvane-outcome", router_headers.outcome.to_string().as_bytes());
        if let Some(placement) = &router_headers.placement {
            write_header(&mut buf, "cartvane-placement", placement.as_bytes());
        }
    }
    match framing {
        ResponseFraming::Length(length) => {
            write_header(&mut buf, "content-length", length.to_string().as_bytes())
        }
        ResponseFraming::Chunked => write_header(&mut buf, "transfer-encoding", b"chunked"),
        ResponseFraming::UntilClose | ResponseFraming::None => {}
    }
    if !options.keep_alive || framing == ResponseFraming::UntilClose {
        write_header(&mut buf, "connection", b"close");
    }
    buf.extend_from_slice(b"\r\n");
    buf
}
