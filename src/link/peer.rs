//! Exchanges between instances: HTTP/1.1 with `rmp-serde` bodies on kept connections.
//!
//! Two kinds: short calls, a request and its answer; and streams, one request whose body and
//! answer both go on in chunks, each chunk a message. Heads are the shortest that HTTP allows and
//! the credential is shown once a connection, since every byte counts against the control budget;
//! see docs/DESIGN.md, "Between instances", for the figures.

use std::{
    io::Write as _,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::Mutex,
    time::Duration,
};

use http::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    clock::Clock,
    configs::fleet::chunks::{decode, encode},
    link::{
        call::{CallTimeouts, MESSAGE_TIMEOUT},
        conn_pool::{Call, ConnPool, PoolError},
        http1::{BodyFraming, BodyReader, ChunkWriter, Conn, HeadError, RequestHead, ResponseHead},
        listener::ConnOutcome,
        traffic::{Purpose, TrafficCounter},
    },
    utils::{
        secret::{Secret, any_matches},
        sync::lock,
    },
};

/// Path of streams.
const STREAM_PATH: &str = "/p";

/// Head with which a stream is answered.
const STREAM_ANSWER: &[u8] = b"HTTP/1.1 200 \r\ntransfer-encoding:chunked\r\n\r\n";

/// Largest head between instances.
const HEAD_MAX: usize = 2 << 10;

/// Largest message between instances.
const MESSAGE_MAX: usize = 16 << 20;

/// Idle time after which a peer's connection is closed by its server.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Longest wait for a peer to take a message of a stream; one that takes longer is cut.
const STREAM_SEND_TIME: Duration = Duration::from_millis(250);

/// Why an exchange with a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer was not reached.
    #[error("instance at {0} is not reached ({1}); it is passed over for a while")]
    Unreachable(SocketAddr, String),
    /// The exchange broke off; the peer may have acted on it.
    #[error(
        "exchange with the instance at {0} broke off ({1}); it is repeated where that does no harm"
    )]
    Interrupted(SocketAddr, String),
    /// The peer refused.
    #[error(
        "the instance at {0} refused with status {1}; check that both have the same peers' credential and version"
    )]
    Rejected(SocketAddr, u16),
}

/// Connections to other instances.
pub struct PeerClient {
    conns: ConnPool,
    credential: Option<Secret>,
    timeouts: CallTimeouts,
    traffic: TrafficCounter,
}

impl PeerClient {
    /// Returns links that show `credential`, if instances have one; no pause in a call may take longer than
    /// `timeout`.
    pub fn new(
        clock: Clock,
        credential: Option<Secret>,
        timeout: Duration,
        traffic: TrafficCounter,
    ) -> PeerClient {
        let conns = ConnPool::new(clock, timeout);
        let timeouts = CallTimeouts { head: timeout, stall: timeout, total: MESSAGE_TIMEOUT };
        PeerClient { conns, credential, timeouts, traffic }
    }

    /// Sends `message` and returns the peer's answer.
    ///
    /// Every message between instances may be repeated, so one that fails on a kept connection
    /// is sent once more on a new one.
    ///
    /// # Errors
    ///
    /// See [`PeerError`].
    pub fn call<T: DeserializeOwned>(
        &self,
        purpose: Purpose,
        to: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, PeerError> {
        let body = encode(message);
        let message = |first: bool| {
            let credential = if first { self.credential.as_ref() } else { None };
            let message = request_bytes(path, &body, credential);
            self.traffic.count_sent(purpose, message.len());
            message
        };
        let asked = Call {
            method: Method::POST,
            message: &message,
            timeouts: self.timeouts,
            reply_max: MESSAGE_MAX,
            may_retry: |_| true,
        };
        let reply = self.conns.call(to, &asked).map_err(|fault| match fault {
            PoolError::Connect(e) => PeerError::Unreachable(to, e.to_string()),
            PoolError::Call(e) => PeerError::Interrupted(to, e.to_string()),
        })?;
        self.traffic.count_received(purpose, reply_bytes(200, &reply.body).len());
        if reply.status != StatusCode::OK {
            return Err(PeerError::Rejected(to, reply.status.as_u16()));
        }
        decode(&reply.body).map_err(|e| PeerError::Interrupted(to, e.to_string()))
    }

    /// Opens a stream to a peer.
    ///
    /// # Errors
    ///
    /// The peer was not reached.
    pub fn open_stream(
        &self,
        purpose: Purpose,
        to: SocketAddr,
    ) -> Result<(StreamSender, StreamReceiver), PeerError> {
        let conn = self.conns.connect(to);
        let mut conn = conn.map_err(|e| PeerError::Unreachable(to, e.to_string()))?;
        let head = format!(
            "POST {STREAM_PATH} HTTP/1.1\r\nhost:\r\n{}transfer-encoding:chunked\r\n\r\n",
            self.credential.as_ref().map_or_else(String::new, credential_line)
        );
        let broken = |e: std::io::Error| PeerError::Interrupted(to, e.to_string());
        conn.send(head.as_bytes(), self.timeouts.stall).map_err(|(_, e)| broken(e))?;
        self.traffic.count_sent(purpose, head.len());
        let sender = StreamSender::new(&conn, purpose, &self.traffic).map_err(broken)?;
        let receiver =
            StreamReceiver { conn, reader: None, purpose, traffic: self.traffic.clone() };
        Ok((sender, receiver))
    }
}

fn request_bytes(path: &str, body: &[u8], credential: Option<&Secret>) -> Vec<u8> {
    let mut message = format!("POST {path} HTTP/1.1\r\nhost:\r\n").into_bytes();
    if let Some(credential) = credential {
        message.extend_from_slice(credential_line(credential).as_bytes());
    }
    message.extend_from_slice(format!("content-length:{}\r\n\r\n", body.len()).as_bytes());
    message.extend_from_slice(body);
    message
}

fn credential_line(credential: &Secret) -> String {
    format!("authorization:Bearer {}\r\n", credential.expose())
}

fn reply_bytes(status: u16, body: &[u8]) -> Vec<u8> {
    let mut message =
        format!("HTTP/1.1 {status} \r\ncontent-length:{}\r\n\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    message
}

/// The sending side of a stream; any thread may use it.
pub struct StreamSender {
    stream: Mutex<TcpStream>,
    purpose: Purpose,
    traffic: TrafficCounter,
}

impl StreamSender {
    fn new(
        conn: &Conn,
        purpose: Purpose,
        traffic: &TrafficCounter,
    ) -> std::io::Result<StreamSender> {
        let stream = conn.try_clone_stream()?;
        stream.set_write_timeout(Some(STREAM_SEND_TIME))?;
        Ok(StreamSender { stream: Mutex::new(stream), purpose, traffic: traffic.clone() })
    }

    /// Sends a message; one that the peer does not take at once ends the stream.
    ///
    /// Returns whether it was handed over.
    pub fn send(&self, message: &impl Serialize) -> bool {
        let mut chunk = ChunkWriter::default();
        let bytes = chunk.frame(&encode(message)).to_vec();
        let mut stream = lock(&self.stream);
        let sent = stream.write_all(&bytes).is_ok();
        if sent {
            self.traffic.count_sent(self.purpose, bytes.len());
        } else {
            shutdown(&stream);
        }
        sent
    }

    /// Ends the stream in both directions.
    pub fn shutdown(&self) {
        shutdown(&lock(&self.stream));
    }
}

fn shutdown(stream: &TcpStream) {
    // A stream that has ended already needs no cutting.
    let _ = stream.shutdown(Shutdown::Both);
}

/// The receiving side of a stream, for one thread.
pub struct StreamReceiver {
    conn: Conn,
    reader: Option<BodyReader>,
    purpose: Purpose,
    traffic: TrafficCounter,
}

impl StreamReceiver {
    /// Waits for the next message; `None` when the stream has ended.
    ///
    /// `keep_waiting` is asked every 50 ms.
    pub fn next<T: DeserializeOwned>(
        &mut self,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Option<T> {
        let until = self.conn.clock().now() + IDLE_TIMEOUT;
        if self.reader.is_none() {
            let head = ResponseHead::read(&mut self.conn, HEAD_MAX, until, keep_waiting).ok()?;
            if head.status != http::StatusCode::OK {
                return None;
            }
            self.traffic.count_received(self.purpose, STREAM_ANSWER.len());
            self.reader = Some(BodyReader::new(head.framing(&http::Method::POST).ok()?));
        }
        let chunk = self
            .reader
            .as_mut()?
            .next_chunk(&mut self.conn, MESSAGE_MAX, until, keep_waiting)
            .ok()??;
        self.traffic.count_received(self.purpose, ChunkWriter::default().frame(&chunk).len());
        decode(&chunk).ok()
    }
}

/// What a peer's connection is given to.
pub struct PeerService<'s, A, S> {
    /// Credentials accepted; `None` where instances have none and their network is closed.
    pub credentials: Option<&'s [Secret]>,
    /// Longest wait for a message or for the peer to take an answer.
    pub timeout: Duration,
    /// Is told the bytes.
    pub traffic: &'s TrafficCounter,
    /// Answers a call: path and message to the encoded answer, or a status.
    pub handle_call: A,
    /// Serves a stream until it ends.
    pub handle_stream: S,
    /// Names the purpose of a call by its path.
    pub purpose: fn(&str) -> Purpose,
}

/// Serves one connection of a peer until it ends.
pub fn serve<A, S>(conn: Conn, service: &PeerService<'_, A, S>)
where
    A: Fn(&str, &[u8]) -> Result<Vec<u8>, u16>,
    S: Fn(StreamSender, StreamReceiver),
{
    // One on which nothing comes for as long as it may be idle is closed.
    drop(serve_for(conn, service, IDLE_TIMEOUT));
}

/// Serves a connection of a peer until nothing has come on it for `idle`; for services without credentials, as
/// these are shown once a connection.
pub fn serve_until_idle<A, S>(
    conn: Conn,
    service: &PeerService<'_, A, S>,
    idle: Duration,
) -> ConnOutcome
where
    A: Fn(&str, &[u8]) -> Result<Vec<u8>, u16>,
    S: Fn(StreamSender, StreamReceiver),
{
    serve_for(conn, service, idle)
}

fn serve_for<A, S>(mut conn: Conn, service: &PeerService<'_, A, S>, idle: Duration) -> ConnOutcome
where
    A: Fn(&str, &[u8]) -> Result<Vec<u8>, u16>,
    S: Fn(StreamSender, StreamReceiver),
{
    let mut shown = service.credentials.is_none();
    loop {
        match conn.wait_for_data(conn.clock().now() + idle) {
            Ok(true) => {}
            Ok(false) => return ConnOutcome::Idle(conn),
            Err(_) => return ConnOutcome::Closed,
        }
        let until = conn.clock().now() + IDLE_TIMEOUT;
        let Ok(head) = RequestHead::read(&mut conn, HEAD_MAX, until) else {
            return ConnOutcome::Closed;
        };
        shown = shown || shows_credential(&head, service.credentials.unwrap_or_default());
        if !shown {
            // The other side learns why; that it may not get the message is no loss.
            let _ = conn.send(&reply_bytes(401, &[]), service.timeout);
            return ConnOutcome::Closed;
        }
        if head.target == STREAM_PATH {
            serve_stream(conn, service);
            return ConnOutcome::Closed;
        }
        let Ok(body) = read_message(&mut conn, &head, service.timeout) else {
            return ConnOutcome::Closed;
        };
        let purpose = (service.purpose)(&head.target);
        service.traffic.count_received(purpose, request_bytes(&head.target, &body, None).len());
        let reply = match (service.handle_call)(&head.target, &body) {
            Ok(reply) => reply_bytes(200, &reply),
            Err(status) => reply_bytes(status, &[]),
        };
        service.traffic.count_sent(purpose, reply.len());
        if conn.send(&reply, service.timeout).is_err() {
            return ConnOutcome::Closed;
        }
        conn.release_buffer();
    }
}

fn serve_stream<A, S: Fn(StreamSender, StreamReceiver)>(
    mut conn: Conn,
    service: &PeerService<'_, A, S>,
) {
    let purpose = (service.purpose)(STREAM_PATH);
    if conn.send(STREAM_ANSWER, service.timeout).is_err() {
        return;
    }
    service.traffic.count_sent(purpose, STREAM_ANSWER.len());
    let Ok(sender) = StreamSender::new(&conn, purpose, service.traffic) else { return };
    let reader = Some(BodyReader::new(BodyFraming::Chunked));
    let receiver = StreamReceiver { conn, reader, purpose, traffic: service.traffic.clone() };
    (service.handle_stream)(sender, receiver);
}

fn shows_credential(head: &RequestHead, accepted: &[Secret]) -> bool {
    let given = head.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    given.is_some_and(|given| any_matches(accepted, given))
}

fn read_message(
    conn: &mut Conn,
    head: &RequestHead,
    timeout: Duration,
) -> Result<Vec<u8>, HeadError> {
    let end = conn.clock().now() + MESSAGE_TIMEOUT;
    let mut reader = BodyReader::new(head.framing()?);
    let body = reader.read_all_with_stall_limit(conn, MESSAGE_MAX, timeout, end);
    Ok(body.map_err(|(_, fault)| fault)?)
}
