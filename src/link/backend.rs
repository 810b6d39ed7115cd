//! Connections to backend servers: each request is handed over once, and every failure says
//! whether a byte of it can have been seen.
//!
//! Why this is not `ureq`: see docs/DESIGN.md, "Towards backend servers".

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
        BodyReader, Conn, HeadError, ReadError, ResponseHead,
        conn::ConnState,
        head::{write_header, write_headers},
    },
    utils::sync::lock,
};

/// Largest head of an answer.
const HEAD_MAX: usize = 64 << 10;

/// Idle connections kept for each backend server.
const IDLE_MAX: usize = 64;

/// Age at which an idle connection is not used again.
const IDLE_AGE_MAX: Duration = Duration::from_secs(20);

/// Header that names the attempt; a backend server that knows it echoes it.
pub const ATTEMPT_HEADER: &str = "cartvane-attempt";

/// Header with which a backend server says that it has not run the request.
pub const OUTCOME_HEADER: &str = "cartvane-outcome";

struct Idle {
    conn: Conn,
    since: Instant,
}

/// Kept connections to backend servers.
pub struct BackendPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    clock: Clock,
    connect: Duration,
}

/// One try at one backend server.
pub struct Attempt<'a> {
    /// Where.
    pub address: SocketAddr,
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// End-to-end headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a [u8],
    /// Identity of this attempt.
    pub id: &'a str,
    /// Whether only a new connection will do, so that no failure of a kept one is in doubt.
    pub new_connection: bool,
    /// When the answer's head must have come.
    pub head_deadline: Instant,
}

/// An answer whose body is still to be read.
pub struct BackendResponse {
    /// Head.
    pub head: ResponseHead,
    conn: Conn,
    body: BodyReader,
    address: SocketAddr,
}

impl BackendPool {
    /// Returns links that connect within `connect`.
    pub fn new(clock: Clock, connect: Duration) -> BackendPool {
        BackendPool { idle: Mutex::default(), clock, connect }
    }

    /// Sends the request once and reads the answer's head.
    ///
    /// `keep_waiting` is asked while waiting; when it says no, the connection is cut.
    ///
    /// # Errors
    ///
    /// The fault says what is known of the request; no fault is followed by another send here.
    pub fn send(
        &self,
        attempt: &Attempt<'_>,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Result<BackendResponse, AttemptFault> {
        let kept = if attempt.new_connection { None } else { self.take_idle(attempt.address) };
        let mut conn = match kept {
            Some(conn) => conn,
            None => self.connect(attempt)?,
        };
        let message = attempt.bytes();
        let stall = attempt.head_deadline.saturating_duration_since(self.clock.now());
        if let Err((sent, _)) = conn.send(&message, stall) {
            return Err(if sent == 0 { AttemptFault::BeforeSend } else { AttemptFault::AfterSend });
        }
        let head = ResponseHead::read(&mut conn, HEAD_MAX, attempt.head_deadline, keep_waiting)
            .map_err(head_fault)?;
        let framing = head.framing(attempt.method).map_err(|_| AttemptFault::Garbage)?;
        let echoed = head.header(ATTEMPT_HEADER);
        if echoed.is_some_and(|id| id != attempt.id) {
            return Err(AttemptFault::Foreign);
        }
        let answer = BackendResponse {
            head,
            conn,
            body: BodyReader::new(framing),
            address: attempt.address,
        };
        if answer.is_not_run() {
            self.finish(answer);
            return Err(AttemptFault::Refused);
        }
        Ok(answer)
    }

    /// Takes an answer back; its connection is kept if the answer was read to its end.
    pub fn finish(&self, mut answer: BackendResponse) {
        if !answer.body.is_done() {
            // A short rest that is already here ends the answer; anything else ends the connection.
            let until = self.clock.now() + Duration::from_millis(1);
            let drained = answer.body.next(&mut answer.conn, until, &mut || false);
            if drained.is_err() || !answer.body.is_done() {
                return;
            }
        }
        if !answer.head.keep_alive() || !answer.conn.buffered().is_empty() {
            return;
        }
        let since = self.clock.now();
        let mut idle = lock(&self.idle);
        let conns = idle.entry(answer.address).or_default();
        if conns.len() < IDLE_MAX {
            conns.push(Idle { conn: answer.conn, since });
        }
    }

    fn connect(&self, attempt: &Attempt<'_>) -> Result<Conn, AttemptFault> {
        let left = attempt.head_deadline.saturating_duration_since(self.clock.now());
        let timeout = left.min(self.connect);
        Conn::connect(attempt.address, timeout, &self.clock).map_err(|_| AttemptFault::Connect)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Conn> {
        let now = self.clock.now();
        loop {
            let kept = {
                let mut idle = lock(&self.idle);
                idle.get_mut(&address)?.pop()?
            };
            let young = now.saturating_duration_since(kept.since) < IDLE_AGE_MAX;
            if young && kept.conn.state() == ConnState::Open {
                return Some(kept.conn);
            }
        }
    }
}

impl BackendResponse {
    /// Returns the next piece of the body as soon as it is there; `None` at its true end.
    ///
    /// # Errors
    ///
    /// The body was cut, stalled or is not framed as announced; or `keep_waiting` said no.
    pub fn next(
        &mut self,
        until: Instant,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Result<Option<Vec<u8>>, AttemptFault> {
        self.body.next(&mut self.conn, until, keep_waiting).map_err(|e| match e {
            ReadError::Timeout => AttemptFault::StalledBody,
            ReadError::Cancelled => AttemptFault::CallerGone,
            ReadError::Closed | ReadError::Io(_) => AttemptFault::CutBody,
            ReadError::Protocol(_) | ReadError::TooLarge => AttemptFault::Garbage,
        })
    }

    /// Returns the body's length, if the head states one.
    pub fn content_length(&self) -> Option<u64> {
        self.head.header("content-length")?.parse().ok()
    }

    fn is_not_run(&self) -> bool {
        let refusal = matches!(
            self.head.status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        refusal && self.head.header(OUTCOME_HEADER) == Some("not-run")
    }
}

fn head_fault(fault: HeadError) -> AttemptFault {
    match fault {
        HeadError::Read(ReadError::Timeout) => AttemptFault::HeadTimeout,
        HeadError::Read(ReadError::Cancelled) => AttemptFault::CallerGone,
        HeadError::Read(ReadError::Closed | ReadError::Io(_)) => AttemptFault::AfterSend,
        _ => AttemptFault::Garbage,
    }
}

impl Attempt<'_> {
    /// Returns the bytes of the request.
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
    let bodiless = matches!(*attempt.method, Method::GET | Method::HEAD) && attempt.body.is_empty();
    if !bodiless {
        write_header(&mut buf, "content-length", attempt.body.len().to_string().as_bytes());
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(attempt.body);
    buf
}
