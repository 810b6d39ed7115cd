//! Heads of requests and answers.

use std::time::Instant;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

use super::{
    body::BodyFraming,
    conn::{Conn, ReadError},
};

/// Most header lines of a head.
const HEADERS_MAX: usize = 100;

/// Headers that belong to one connection and are never passed on (RFC 9110, 7.6.1).
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

/// Why a head cannot be taken.
#[derive(Debug, thiserror::Error)]
pub enum HeadError {
    /// Reading failed.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The head does not follow the protocol.
    #[error("bad request: {0}")]
    Invalid(&'static str),
    /// The head is larger than allowed.
    #[error("the head is larger than allowed; send fewer or shorter headers")]
    TooLarge,
    /// A transfer coding other than chunked.
    #[error("only the transfer coding chunked is understood")]
    UnsupportedCoding,
}

/// A request's head.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query as sent.
    pub target: String,
    /// Whether the sender speaks HTTP/1.0.
    pub http10: bool,
    /// Headers.
    pub headers: HeaderMap,
}

/// An answer's head.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Whether the sender speaks HTTP/1.0.
    pub http10: bool,
    /// Headers.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Reads a request's head of at most `max` bytes before `until`.
    ///
    /// # Errors
    ///
    /// See [`HeadError`]; a connection closed before its first byte is `Read(Closed)`.
    pub fn read(conn: &mut Conn, max: usize, until: Instant) -> Result<RequestHead, HeadError> {
        skip_blank_lines(conn);
        let length = wait_for_head(conn, max, |conn| conn.fill_until(until, None))?;
        let head = RequestHead::parse(&conn.buffered()[..length])?;
        conn.consume(length);
        Ok(head)
    }

    /// Parses the bytes of a whole head.
    ///
    /// # Errors
    ///
    /// The bytes are no head, or one that different readers could take differently.
    pub fn parse(bytes: &[u8]) -> Result<RequestHead, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(bytes) {
            Ok(httparse::Status::Complete(_)) => {}
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

    /// Decides how the request's body is framed.
    ///
    /// # Errors
    ///
    /// Framing that different readers could take differently (RFC 9112, 6.3) is refused.
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

    /// Returns the value of a header as text, if it is there and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the key that a caller shows as a bearer token (RFC 6750).
    pub fn bearer_token(&self) -> Option<&str> {
        let (scheme, key) = self.header("authorization")?.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    }
}

impl ResponseHead {
    /// Reads an answer's head, passing over interim answers (1xx).
    ///
    /// # Errors
    ///
    /// See [`HeadError`].
    pub fn read(
        conn: &mut Conn,
        max: usize,
        until: Instant,
        go_on: &mut dyn FnMut() -> bool,
    ) -> Result<ResponseHead, HeadError> {
        loop {
            let length = wait_for_head(conn, max, |conn| conn.fill(until, go_on))?;
            let head = ResponseHead::parse(&conn.buffered()[..length])?;
            conn.consume(length);
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
    }

    /// Takes an answer's head from what `conn` has buffered, passing over interim answers (1xx).
    ///
    /// `None` means that more bytes are needed.
    ///
    /// # Errors
    ///
    /// See [`HeadError`].
    pub fn take_buffered(conn: &mut Conn, max: usize) -> Result<Option<ResponseHead>, HeadError> {
        loop {
            let Some(length) = find_end(conn.buffered(), 0) else {
                let fits = conn.buffered().len() <= max;
                return if fits { Ok(None) } else { Err(HeadError::TooLarge) };
            };
            if length > max {
                return Err(HeadError::TooLarge);
            }
            let head = ResponseHead::parse(&conn.buffered()[..length])?;
            conn.consume(length);
            if !head.status.is_informational() {
                return Ok(Some(head));
            }
        }
    }

    fn parse(bytes: &[u8]) -> Result<ResponseHead, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(bytes) {
            Ok(httparse::Status::Complete(_)) => {}
            _ => return Err(HeadError::Invalid("the answer's head cannot be read")),
        }
        let code = response.code.unwrap_or_default();
        let status =
            StatusCode::from_u16(code).map_err(|_| HeadError::Invalid("no such status"))?;
        let http10 = response.version == Some(0);
        Ok(ResponseHead { status, http10, headers: header_map(response.headers)? })
    }

    /// Decides how the answer's body is framed, given the request's method.
    ///
    /// # Errors
    ///
    /// Contradicting framing.
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

    /// Returns the value of a header as text, if it is there and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Removes the headers that belong to one connection, those that `Connection` names included.
pub fn drop_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Appends header lines to a head being written.
pub fn write_headers(buf: &mut Vec<u8>, headers: &HeaderMap) {
    for (name, value) in headers {
        write_header(buf, name.as_str(), value.as_bytes());
    }
}

/// Appends one header line to a head being written.
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

/// Reads until the buffer holds a whole head and returns its length.
fn wait_for_head(
    conn: &mut Conn,
    max: usize,
    mut fill: impl FnMut(&mut Conn) -> Result<(), ReadError>,
) -> Result<usize, HeadError> {
    let mut searched = 0;
    loop {
        let buffered = conn.buffered();
        if let Some(end) = find_end(buffered, searched) {
            return if end > max { Err(HeadError::TooLarge) } else { Ok(end) };
        }
        if buffered.len() > max {
            return Err(HeadError::TooLarge);
        }
        searched = buffered.len().saturating_sub(3);
        fill(conn)?;
    }
}

fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    let at = bytes[from..].windows(4).position(|w| w == b"\r\n\r\n")?;
    Some(from + at + 4)
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
        if length.is_some_and(|known| known != parsed) {
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
    let says = |word: &str| {
        let values = headers.get_all("connection").iter().filter_map(|v| v.to_str().ok());
        values.flat_map(|v| v.split(',')).any(|part| part.trim().eq_ignore_ascii_case(word))
    };
    if http10 { says("keep-alive") } else { !says("close") }
}
