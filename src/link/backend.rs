//! Connections to backend servers: each attempt sends the request once, and every error says whether the server can
//! have received any byte of it.
//!
//! For the reasons not to use `ureq`, see docs/DESIGN.md, "Towards backend servers".

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use http::{HeaderMap, Method, StatusCode};

use crate::{
    clock::Clock,
    contract::outcome::AttemptFault,
    link::http1::{
        BodyEnd, Conn, HeadError, ReadError, ResponseBody, ResponseHead,
        conn::ConnState,
        head::{write_header, write_headers},
    },
    link::pool_check::take_unusable,
    utils::sync::lock,
};

/// Maximum size of a response's head in bytes.
const HEAD_MAX: usize = 64 << 10;

/// Maximum number of idle connections for each backend server.
const IDLE_MAX_PER_SERVER: usize = 64;

/// Age from which an idle connection is not reused.
const IDLE_AGE_MAX: Duration = Duration::from_secs(20);

/// Header with the id of the attempt. A backend server that supports it echoes it.
pub const ATTEMPT_HEADER: &str = "cartvane-attempt";

/// Header with which a backend server reports that it has not run the request.
pub const OUTCOME_HEADER: &str = "cartvane-outcome";

struct IdleConn {
    conn: Conn,
    since: Instant,
}

/// Pool of connections to backend servers.
pub struct BackendPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConn>>>,
    clock: Clock,
    connect_timeout: Duration,
}

/// One attempt at one backend server.
pub struct Attempt<'a> {
    /// Address of the server.
    pub address: SocketAddr,
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// End-to-end headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a [u8],
    /// Id of the attempt.
    pub id: &'a str,
    /// Whether to use a new connection only. A pooled one may have been closed by the server, and after a send on it
    /// fails, it is unknown whether the server ran the request.
    pub new_connection: bool,
    /// Deadline for the response's head.
    pub head_deadline: Instant,
}

/// A response whose body is still to be read.
pub struct BackendResponse {
    /// Head.
    pub head: ResponseHead,
    conn: Conn,
    body: ResponseBody,
    address: SocketAddr,
}

impl BackendPool {
    /// Returns an empty pool; `connect_timeout` is for new connections.
    pub fn new(clock: Clock, connect_timeout: Duration) -> BackendPool {
        BackendPool { idle: Mutex::default(), clock, connect_timeout }
    }

    /// Sends the request once and reads the response's head.
    ///
    /// While waiting for the head, `keep_waiting` is called every 50 ms; when it returns false, the connection is
    /// closed.
    ///
    /// # Errors
    ///
    /// The fault says whether the server can have received or run the request. This method never sends it again.
    pub fn send(
        &self,
        attempt: &Attempt<'_>,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Result<BackendResponse, AttemptFault> {
        let idle_conn = if attempt.new_connection { None } else { self.take_idle(attempt.address) };
        let mut conn = match idle_conn {
            Some(conn) => conn,
            None => self.connect(attempt)?,
        };
        let message = attempt.bytes();
        let stall = attempt.head_deadline.saturating_duration_since(self.clock.now());
        if let Err((sent, _)) = conn.send(&message, stall) {
            return Err(if sent == 0 { AttemptFault::BeforeSend } else { AttemptFault::AfterSend });
        }
        let head = ResponseHead::read(&mut conn, HEAD_MAX, attempt.head_deadline, keep_waiting)
            .map_err(attempt_fault)?;
        let framing = head.framing(attempt.method).map_err(|_| AttemptFault::Garbage)?;
        let echoed_id = head.header(ATTEMPT_HEADER);
        if echoed_id.is_some_and(|id| id != attempt.id) {
            return Err(AttemptFault::Foreign);
        }
        let body = ResponseBody::new(&head.headers, framing);
        let response = BackendResponse { head, conn, body, address: attempt.address };
        if response.is_not_run() {
            self.finish(response);
            return Err(AttemptFault::Refused);
        }
        Ok(response)
    }

    /// Returns a response's connection to the pool if the response was read completely.
    pub fn finish(&self, mut response: BackendResponse) {
        if response.body.end().is_none() {
            // A last part that has already arrived completes the response; otherwise the connection is closed.
            let deadline = self.clock.now() + Duration::from_millis(1);
            let fill = |conn: &mut Conn| conn.fill(deadline, &mut || false);
            if response.body.next_with(&mut response.conn, fill).is_err() {
                return;
            }
        }
        if response.body.end() != Some(BodyEnd::Framed) {
            return;
        }
        if !response.head.keep_alive() || !response.conn.buffered().is_empty() {
            return;
        }
        let since = self.clock.now();
        let mut idle = lock(&self.idle);
        let conns = idle.entry(response.address).or_default();
        if conns.len() < IDLE_MAX_PER_SERVER {
            conns.push(IdleConn { conn: response.conn, since });
        }
    }

    /// Closes idle connections that are too old, that the server has closed, or on which bytes have arrived since the last
    /// response. To be called each [`POOL_CHECK_PERIOD`](super::pool_check::POOL_CHECK_PERIOD).
    pub fn close_unusable(&self) {
        let now = self.clock.now();
        let is_fresh = |idle: &IdleConn| now.saturating_duration_since(idle.since) < IDLE_AGE_MAX;
        let unusable = take_unusable(&mut lock(&self.idle), is_fresh, |idle| &idle.conn);
        drop(unusable);
    }

    fn connect(&self, attempt: &Attempt<'_>) -> Result<Conn, AttemptFault> {
        let remaining = attempt.head_deadline.saturating_duration_since(self.clock.now());
        let timeout = remaining.min(self.connect_timeout);
        Conn::connect(attempt.address, timeout, &self.clock).map_err(|_| AttemptFault::Connect)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Conn> {
        let now = self.clock.now();
        loop {
            let idle_conn = {
                let mut idle = lock(&self.idle);
                idle.get_mut(&address)?.pop()?
            };
            let is_fresh = now.saturating_duration_since(idle_conn.since) < IDLE_AGE_MAX;
            if is_fresh && idle_conn.conn.state() == ConnState::Open {
                return Some(idle_conn.conn);
            }
        }
    }
}

impl BackendResponse {
    /// Returns the next bytes of the body as soon as there are any; `None` at the end of the complete body.
    ///
    /// # Errors
    ///
    /// The body is truncated, stalled or framed incorrectly, or `keep_waiting` returned false.
    pub fn next(
        &mut self,
        deadline: Instant,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Result<Option<Vec<u8>>, AttemptFault> {
        let fill = |conn: &mut Conn| conn.fill(deadline, keep_waiting);
        self.body.next_with(&mut self.conn, fill).map_err(|e| match e {
            ReadError::Timeout => AttemptFault::StalledBody,
            ReadError::Cancelled => AttemptFault::CallerGone,
            ReadError::Closed | ReadError::Io(_) => AttemptFault::CutBody,
            ReadError::CutEvent => AttemptFault::CutEvent,
            ReadError::Protocol(_) | ReadError::TooLarge => AttemptFault::Garbage,
        })
    }

    /// Returns the body's length, if the head has a valid one.
    pub fn content_length(&self) -> Option<u64> {
        self.head.header("content-length")?.parse().ok()
    }

    fn is_not_run(&self) -> bool {
        let is_rejection = matches!(
            self.head.status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        is_rejection && self.head.header(OUTCOME_HEADER) == Some("not-run")
    }
}

fn attempt_fault(error: HeadError) -> AttemptFault {
    match error {
        HeadError::Read(ReadError::Timeout) => AttemptFault::HeadTimeout,
        HeadError::Read(ReadError::Cancelled) => AttemptFault::CallerGone,
        HeadError::Read(ReadError::Closed | ReadError::Io(_)) => AttemptFault::AfterSend,
        _ => AttemptFault::Garbage,
    }
}

impl Attempt<'_> {
    /// Returns the encoded request.
    pub fn bytes(&self) -> Vec<u8> {
        request_bytes(self)
    }
}

fn request_bytes(attempt: &Attempt<'_>) -> Vec<u8> {
    let mut buf = Vec::with_capacity(512 + attempt.body.len());
    buf.extend_from_slice(attempt.method.as_str().as_bytes());
    buf.push(b' ');
    buf.extend_from_slice(attempt.target.as_bytes());
    buf.extend_from_slice(b" HTTP/1.1\r\n");
    write_header(&mut buf, "host", attempt.address.to_string().as_bytes());
    write_headers(&mut buf, attempt.headers);
    write_header(&mut buf, ATTEMPT_HEADER, attempt.id.as_bytes());
    let has_no_body =
        matches!(*attempt.method, Method::GET | Method::HEAD) && attempt.body.is_empty();
    if !has_no_body {
        write_header(&mut buf, "content-length", attempt.body.len().to_string().as_bytes());
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(attempt.body);
    buf
}
