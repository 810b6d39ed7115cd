//! Heads of HTTP/1.1 requests and responses.

use std::time::Instant;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

use super::{
    body::BodyFraming,
    conn::{Conn, ReadError},
};

/// Maximum number of header lines in a head.
const HEADER_LINES_MAX: usize = 100;

/// Headers of a single connection, which are never forwarded (RFC 9110, 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Error of reading or parsing a head.
#[derive(Debug, thiserror::Error)]
pub enum HeadError {
    /// Reading failed.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The head violates the protocol.
    #[error("bad request: {0}")]
    Invalid(&'static str),
    /// The head exceeds the size limit.
    #[error("the head is larger than allowed; send fewer or shorter headers")]
    TooLarge,
    /// The transfer coding is not chunked.
    #[error("only the transfer coding chunked is understood")]
    UnsupportedCoding,
}

/// Head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query, as received.
    pub target: String,
    /// Whether the sender uses HTTP/1.0.
    pub http10: bool,
    /// Headers.
    pub headers: HeaderMap,
}

/// Head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Whether the sender uses HTTP/1.0.
    pub http10: bool,
    /// Headers.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Reads the head of a request, of at most `max` bytes, before `deadline`.
    ///
    /// # Errors
    ///
    /// See [`HeadError`]. If the connection is closed before the head is complete, the error is `Read(Closed)`.
    pub fn read(conn: &mut Conn, max: usize, deadline: Instant) -> Result<RequestHead, HeadError> {
        skip_blank_lines(conn);
        let length = wait_for_head(conn, max, |conn| conn.fill_until(deadline, None))?;
        let head = RequestHead::parse(&conn.buffered()[..length])?;
        conn.consume(length);
        Ok(head)
    }

    /// Parses a complete head.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid head, or other HTTP implementations could interpret them differently.
    pub fn parse(bytes: &[u8]) -> Result<RequestHead, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADER_LINES_MAX];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(bytes) {
            Ok(httparse::Status::Complete(parsed)) => check_length(parsed, bytes.len())?,
            Ok(httparse::Status::Partial) => {
                return Err(HeadError::Invalid("the head is not whole"));
            }
            Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Invalid("the head cannot be read")),
        }
        let method = request.method.unwrap_or_default();
        let method = Method::from_bytes(method.as_bytes())
            .map_err(|_| HeadError::Invalid("unknown method"))?;
        let target = request.path.unwrap_or_default().to_owned();
        if !target.starts_with('/') {
            return Err(HeadError::Invalid("the target must be a path that starts with /"));
        }
        let http10 = request.version == Some(0);
        let headers = header_map(request.headers)?;
        if !http10 && headers.get_all("host").iter().count() != 1 {
            return Err(HeadError::Invalid("send exactly one Host header"));
        }
        Ok(RequestHead { method, target, http10, headers })
    }

    /// Returns how the request's body is framed.
    ///
    /// # Errors
    ///
    /// The framing is ambiguous: other HTTP implementations could interpret it differently (RFC 9112, 6.3).
    pub fn framing(&self) -> Result<BodyFraming, HeadError> {
        let length = content_length(&self.headers)?;
        match (is_chunked(&self.headers)?, length) {
            (true, Some(_)) => {
                Err(HeadError::Invalid("both Content-Length and Transfer-Encoding; send one"))
            }
            (true, None) if self.http10 => Err(HeadError::Invalid("Transfer-Encoding in HTTP/1.0")),
            (true, None) => Ok(BodyFraming::Chunked),
            (false, Some(length)) => Ok(BodyFraming::Length(length)),
            (false, None) => Ok(BodyFraming::Length(0)),
        }
    }

    /// Returns whether the connection may carry another request.
    pub fn keep_alive(&self) -> bool {
        keep_alive(self.http10, &self.headers)
    }

    /// Returns the value of a header, if it is present and consists of visible ASCII characters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the request's bearer token (RFC 6750).
    pub fn bearer_token(&self) -> Option<&str> {
        let (scheme, key) = self.header("authorization")?.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    }
}

impl ResponseHead {
    /// Reads the head of a response, skipping interim responses (1xx), of at most `max` bytes with these.
    ///
    /// # Errors
    ///
    /// See [`HeadError`].
    pub fn read(
        conn: &mut Conn,
        max: usize,
        deadline: Instant,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Result<ResponseHead, HeadError> {
        loop {
            if let Some(head) = ResponseHead::take_buffered(conn, max)? {
                return Ok(head);
            }
            conn.fill(deadline, keep_waiting)?;
        }
    }

    /// Consumes the head of a response from the buffer of `conn`, skipping interim responses (1xx), of at most `max` bytes
    /// with these: a faulty server may send interim responses without end.
    ///
    /// Returns `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// See [`HeadError`].
    pub fn take_buffered(conn: &mut Conn, max: usize) -> Result<Option<ResponseHead>, HeadError> {
        let mut start = 0;
        loop {
            let Some(end) = find_end(conn.buffered(), start)? else {
                let fits = conn.buffered().len() <= max;
                return if fits { Ok(None) } else { Err(HeadError::TooLarge) };
            };
            if end > max {
                return Err(HeadError::TooLarge);
            }
            let head = ResponseHead::parse(&conn.buffered()[start..end])?;
            if !head.status.is_informational() {
                conn.consume(end);
                return Ok(Some(head));
            }
            start = end;
        }
    }

    fn parse(bytes: &[u8]) -> Result<ResponseHead, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADER_LINES_MAX];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(bytes) {
            Ok(httparse::Status::Complete(parsed)) => check_length(parsed, bytes.len())?,
            _ => return Err(HeadError::Invalid("the answer's head cannot be read")),
        }
        let code = response.code.unwrap_or_default();
        let status =
            StatusCode::from_u16(code).map_err(|_| HeadError::Invalid("no such status"))?;
        let http10 = response.version == Some(0);
        Ok(ResponseHead { status, http10, headers: header_map(response.headers)? })
    }

    /// Returns how the response's body is framed, given the request's method.
    ///
    /// # Errors
    ///
    /// The headers contradict each other, or the transfer coding is not chunked.
    pub fn framing(&self, method: &Method) -> Result<BodyFraming, HeadError> {
        let bodiless = matches!(self.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if bodiless || *method == Method::HEAD {
            return Ok(BodyFraming::Length(0));
        }
        let length = content_length(&self.headers)?;
        match (is_chunked(&self.headers)?, length) {
            (true, Some(_)) => Err(HeadError::Invalid("both Content-Length and Transfer-Encoding")),
            (true, None) => Ok(BodyFraming::Chunked),
            (false, Some(length)) => Ok(BodyFraming::Length(length)),
            (false, None) => Ok(BodyFraming::UntilClose),
        }
    }

    /// Returns whether the connection may carry another request.
    pub fn keep_alive(&self) -> bool {
        keep_alive(self.http10, &self.headers)
    }

    /// Returns the value of a header, if it is present and consists of visible ASCII characters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Removes the headers of a single connection, including those that `Connection` lists.
pub fn drop_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed.iter().map(String::as_str).chain(HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Appends header lines to a head.
pub fn write_headers(buf: &mut Vec<u8>, headers: &HeaderMap) {
    for (name, value) in headers {
        write_header(buf, name.as_str(), value.as_bytes());
    }
}

/// Appends one header line to a head.
pub fn write_header(buf: &mut Vec<u8>, name: &str, value: &[u8]) {
    buf.extend_from_slice(name.as_bytes());
    buf.extend_from_slice(b": ");
    buf.extend_from_slice(value);
    buf.extend_from_slice(b"\r\n");
}

fn skip_blank_lines(conn: &mut Conn) {
    while conn.buffered().starts_with(b"\r\n") {
        conn.consume(2);
    }
}

/// Reads until the buffer holds a complete head and returns its length.
fn wait_for_head(
    conn: &mut Conn,
    max: usize,
    mut fill: impl FnMut(&mut Conn) -> Result<(), ReadError>,
) -> Result<usize, HeadError> {
    let mut searched = 0;
    loop {
        let buffered = conn.buffered();
        if let Some(end) = find_end(buffered, searched)? {
            return if end > max { Err(HeadError::TooLarge) } else { Ok(end) };
        }
        if buffered.len() > max {
            return Err(HeadError::TooLarge);
        }
        searched = buffered.len().saturating_sub(3);
        fill(conn)?;
    }
}

/// Returns the length of the head, if the bytes hold all of it. This alone decides where a head ends: lines end with CR LF,
/// since one reader that accepts LF alone, and another one that does not, find different ends.
fn find_end(bytes: &[u8], from: usize) -> Result<Option<usize>, HeadError> {
    let end = bytes[from..].windows(4).position(|w| w == b"\r\n\r\n");
    let end = end.map(|position| from + position + 4);
    let head = &bytes[..end.unwrap_or(bytes.len())];
    let is_bare = |at: usize| head[at] == b'\n' && (at == 0 || head[at - 1] != b'\r');
    if (from..head.len()).any(is_bare) {
        return Err(HeadError::Invalid(
            "a line of the head ends with LF alone; end lines with CR LF",
        ));
    }
    Ok(end)
}

/// Returns an error unless the parsed head has this length.
fn check_length(parsed: usize, length: usize) -> Result<(), HeadError> {
    if parsed == length {
        Ok(())
    } else {
        Err(HeadError::Invalid("the end of the head is unclear"))
    }
}

fn header_map(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, HeadError> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| HeadError::Invalid("bad header name"))?;
        let value = HeaderValue::from_bytes(header.value)
            .map_err(|_| HeadError::Invalid("bad header value"))?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, HeadError> {
    let mut length = None;
    for value in headers.get_all("content-length") {
        let text = value.to_str().map_err(|_| HeadError::Invalid("bad Content-Length"))?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(HeadError::Invalid("Content-Length is not a number"));
        }
        let parsed = text.parse().map_err(|_| HeadError::Invalid("Content-Length is too large"))?;
        if length.is_some_and(|previous| previous != parsed) {
            return Err(HeadError::Invalid("two different Content-Length headers"));
        }
        length = Some(parsed);
    }
    Ok(length)
}

fn is_chunked(headers: &HeaderMap) -> Result<bool, HeadError> {
    let mut codings = headers.get_all("transfer-encoding").iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(value), None) if value.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(HeadError::UnsupportedCoding),
    }
}

fn keep_alive(http10: bool, headers: &HeaderMap) -> bool {
    let has_option = |option: &str| {
        let values = headers.get_all("connection").iter().filter_map(|v| v.to_str().ok());
        values.flat_map(|v| v.split(',')).any(|item| item.trim().eq_ignore_ascii_case(option))
    };
    if http10 { has_option("keep-alive") } else { !has_option("close") }
}
