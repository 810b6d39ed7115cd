//! The HTTP side that the stand-ins share: read a request, answer it, have its fault.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    link::{
        http1::{BodyReader, ChunkWriter, Conn, RequestHead, body::LAST_CHUNK},
        listener::Listener,
    },
    utils::sync::lock,
};

use crate::fault::{Fault, Faults};

/// Header by which tests count runs.
pub const RUN_HEADER: &str = "x-run-id";

/// Longest wait for a request's bytes.
const READ_TIME: Duration = Duration::from_secs(60);

/// Longest wait for a router to take bytes.
const WRITE_TIME: Duration = Duration::from_secs(5);

/// Largest request.
const REQUEST_MAX: usize = 64 << 20;

/// A request as a stand-in sees it.
#[derive(Debug, Clone)]
pub struct Received {
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Vec<u8>,
    /// When all of it had come.
    pub at: Instant,
}

impl Received {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.head.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn param(&self, name: &str) -> Option<&str> {
        let query = self.head.target.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    /// Returns what tests count runs by: the run header, else the idempotency key.
    pub fn run_id(&self) -> Option<&str> {
        self.head.header(RUN_HEADER).or_else(|| self.head.header("idempotency-key"))
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Headers beside length and attempt.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns an answer.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Reply {
        Reply { status, headers: Vec::new(), body: body.into() }
    }

    /// Returns a JSON answer.
    pub fn json(value: &impl serde::Serialize) -> Reply {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Reply::new(200, body).with("content-type", "application/json")
    }

    /// Returns the answer with one more header.
    pub fn with(mut self, name: &str, value: impl ToString) -> Reply {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// Returns the answer's bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut buf = format!("HTTP/1.1 {} X\r\n", self.status).into_bytes();
        for (name, value) in &self.headers {
            buf.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        buf.extend_from_slice(format!("content-length: {}\r\n\r\n", self.body.len()).as_bytes());
        buf.extend_from_slice(&self.body);
        buf
    }
}

/// Counts runs by id.
#[derive(Debug, Default)]
pub struct Runs(Mutex<HashMap<String, u32>>);

impl Runs {
    /// Counts a run.
    pub fn add(&self, received: &Received) {
        if let Some(id) = received.run_id() {
            *lock(&self.0).entry(id.to_owned()).or_default() += 1;
        }
    }

    /// Returns the runs of `id`.
    pub fn of(&self, id: &str) -> u32 {
        lock(&self.0).get(id).copied().unwrap_or(0)
    }

    /// Returns the number of runs of all ids.
    pub fn total(&self) -> u32 {
        lock(&self.0).values().sum()
    }

    /// Returns the greatest number of runs of one id.
    pub fn most(&self) -> u32 {
        lock(&self.0).values().copied().max().unwrap_or(0)
    }
}

/// One exchange in the hands of a stand-in.
pub struct Exchange<'e> {
    /// The connection.
    pub conn: &'e mut Conn,
    /// The request.
    pub received: Received,
    /// What goes wrong with it.
    pub fault: Fault,
    /// The faults of the stand-in.
    pub faults: &'e Faults,
}

/// Whether a connection goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It takes another request.
    KeepAlive,
    /// It is closed.
    Close,
}

/// Listens and serves each request with `serve`, handing it the next fault.
///
/// # Errors
///
/// The address cannot be listened on.
pub fn listen(
    address: SocketAddr,
    faults: Arc<Faults>,
    serve: impl Fn(Exchange<'_>) -> Next + Send + Sync + 'static,
) -> io::Result<Listener> {
    let clock = Clock::system();
    Listener::bind(
        address,
        clock,
        10_000,
        move |conn| serve_connection(conn, &faults, &serve),
        drop,
    )
}

fn serve_connection(mut conn: Conn, faults: &Faults, serve: &impl Fn(Exchange<'_>) -> Next) {
    loop {
        let until = conn.clock().now() + READ_TIME;
        let Ok(head) = RequestHead::read(&mut conn, REQUEST_MAX, until) else { return };
        let control = head.target.starts_with("/engine/") || head.target.starts_with("/control/");
        let fault = match (control, faults.is_down()) {
            (true, false) => Fault::None,
            (true, true) => Fault::CloseBeforeRead,
            (false, _) => faults.take(),
        };
        if fault == Fault::CloseBeforeRead {
            conn.shutdown();
            return;
        }
        let Ok(framing) = head.framing() else { return };
        let Ok(body) = BodyReader::new(framing).read_all(&mut conn, REQUEST_MAX, until) else {
            return;
        };
        if fault == Fault::CloseAfterRead {
            return;
        }
        let exchange = Exchange {
            conn: &mut conn,
            received: Received { head, body, at: Instant::now() },
            fault,
            faults,
        };
        if serve(exchange) == Next::Close {
            return;
        }
    }
}

/// Answers with `make`, which runs the request, as the exchange's fault has it.
pub fn answer(exchange: Exchange<'_>, make: impl FnOnce(&Received) -> Reply) -> Next {
    let Exchange { conn, received, fault, .. } = exchange;
    match fault {
        Fault::RefuseNotRun => {
            let reply = Reply::new(503, "full").with("cartvane-outcome", "not-run");
            return send(conn, &reply.bytes(), Next::KeepAlive);
        }
        Fault::RefusePlain => return send(conn, &Reply::new(503, "down").bytes(), Next::KeepAlive),
        _ => {}
    }
    let attempt = received.head.header("cartvane-attempt").unwrap_or("none").to_owned();
    let mut reply = make(&received);
    let shown = if fault == Fault::Foreign { "another-attempt" } else { &attempt };
    reply = reply.with("cartvane-attempt", shown);
    let half = reply.bytes().len() - reply.body.len().div_ceil(2);
    match fault {
        Fault::CloseAfterRun => Next::Close,
        Fault::StallHead(time) => {
            thread::sleep(time);
            Next::Close
        }
        Fault::Late(time) => {
            thread::sleep(time);
            send(conn, &reply.bytes(), Next::KeepAlive)
        }
        Fault::CutBody => send(conn, &reply.bytes()[..half], Next::Close),
        Fault::StallBody(time) => {
            let sent = send(conn, &reply.bytes()[..half], Next::Close);
            thread::sleep(time);
            sent
        }
        Fault::Garbage => send(conn, b"NOT HTTP AT ALL\r\n\r\n", Next::Close),
        Fault::Oversize => {
            let reply = reply.with("x-padding", "x".repeat(256 << 10));
            send(conn, &reply.bytes(), Next::Close)
        }
        Fault::Duplicate => send(conn, &[reply.bytes(), reply.bytes()].concat(), Next::KeepAlive),
        _ => send(conn, &reply.bytes(), Next::KeepAlive),
    }
}

/// Sends bytes; a router that is gone ends the connection.
pub fn send(conn: &mut Conn, bytes: &[u8], next: Next) -> Next {
    if conn.send(bytes, WRITE_TIME).is_ok() { next } else { Next::Close }
}

/// Sends one chunk of a chunked body; false when the router is gone.
pub fn send_chunk(conn: &mut Conn, piece: &[u8]) -> bool {
    conn.send(ChunkWriter::default().frame(piece), WRITE_TIME).is_ok()
}

/// Sends the last chunk; false when the router is gone.
pub fn send_last_chunk(conn: &mut Conn) -> bool {
    conn.send(LAST_CHUNK, WRITE_TIME).is_ok()
}
