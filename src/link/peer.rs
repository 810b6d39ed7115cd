//! Communication between instances: HTTP/1.1 with `rmp-serde` bodies on pooled connections.
//!
//! There are calls, with one request and one reply, and streams, whose request and response bodies are open-ended
//! sequences of chunks, each chunk a message. Heads are the shortest that HTTP allows and the credential is sent once
//! per connection, since every byte counts against the budget of control traffic; see docs/DESIGN.md, "Between
//! instances", for the figures.

use std::{
    io::{ErrorKind, Write as _},
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
        call::{CallError, CallTimeouts, MESSAGE_TIMEOUT},
        conn_pool::{Call, ConnPool, PoolError},
        http1::{
            BodyFraming, BodyReader, ChunkWriter, Conn, HeadError, ReadError, RequestHead,
            ResponseHead,
        },
        listener::ConnOutcome,
        traffic::{Purpose, TrafficCounter},
        tunnel::{SERVER_HEADER, TUNNEL_PATH},
    },
    utils::{
        secret::{Secret, any_matches},
        sync::lock,
    },
};

/// Path of a stream's request.
pub const STREAM_PATH: &str = "/p";

/// Head of the response to a stream's request.
const STREAM_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 \r\ntransfer-encoding:chunked\r\n\r\n";

/// Maximum size of a head between instances in bytes.
const HEAD_MAX: usize = 2 << 10;

/// Maximum size of a message between instances in bytes.
const MESSAGE_MAX: usize = 16 << 20;

/// Time after which the server closes a peer's idle connection.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Maximum time for a peer to accept a message of a stream. A stream whose peer takes longer is closed.
const STREAM_SEND_TIMEOUT: Duration = Duration::from_millis(250);

/// Error of a call to a peer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No connection to the peer could be established.
    #[error("instance at {0} is not reached ({1}); it is passed over for a while")]
    Unreachable(SocketAddr, String),
    /// No connection was established in time, or no complete reply arrived in time. The peer may have failed, or it may
    /// be slow.
    #[error("instance at {0} is silent ({1}); it is passed over for a while")]
    Silent(SocketAddr, String),
    /// The call failed after the connection was established. The peer may have processed it.
    #[error(
        "exchange with the instance at {0} broke off ({1}); it is repeated where that does no harm"
    )]
    Interrupted(SocketAddr, String),
    /// The peer replied with an error status.
    #[error(
        "the instance at {0} refused with status {1}; check that both have the same peers' credential and version"
    )]
    Rejected(SocketAddr, u16),
}

impl PeerError {
    fn new(to: SocketAddr, error: &PoolError) -> PeerError {
        let reason = error.to_string();
        match error {
            PoolError::Connect(e) if e.kind() == ErrorKind::TimedOut => {
                PeerError::Silent(to, reason)
            }
            PoolError::Connect(_) => PeerError::Unreachable(to, reason),
            // A reply that has begun shows that the peer was running a moment ago.
            PoolError::Call(CallError::Timeout(_) | CallError::Truncated { .. }) => {
                PeerError::Silent(to, reason)
            }
            PoolError::Call(CallError::Closed(_)) => PeerError::Interrupted(to, reason),
        }
    }
}

/// Client for calls and streams to other instances.
pub struct PeerClient {
    conns: ConnPool,
    credential: Option<Secret>,
    timeouts: CallTimeouts,
    traffic: TrafficCounter,
}

impl PeerClient {
    /// Returns a client that sends `credential`, if there is one; `timeout` is for connecting and for each pause in a
    /// call.
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

    /// Sends `message` and returns the peer's reply.
    ///
    /// Every message between instances is idempotent, so a call that fails on a pooled connection is retried once on a
    /// new one.
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
        let message = |is_first: bool| {
            let credential = if is_first { self.credential.as_ref() } else { None };
            let message = request_bytes(path, &body, credential);
            self.traffic.count_sent(purpose, message.len());
            message
        };
        let call = Call {
            method: Method::POST,
            message: &message,
            timeouts: self.timeouts,
            reply_max: MESSAGE_MAX,
            may_retry: |_| true,
        };
        let reply = self.conns.call(to, &call).map_err(|error| PeerError::new(to, &error))?;
        self.traffic.count_received(purpose, reply_bytes(200, &reply.body).len());
        if reply.status != StatusCode::OK {
            return Err(PeerError::Rejected(to, reply.status.as_u16()));
        }
        decode(&reply.body).map_err(|e| PeerError::Interrupted(to, e.to_string()))
    }

    /// Closes idle connections that cannot be used again; see [`ConnPool::close_unusable`].
    pub fn close_unusable(&self) {
        self.conns.close_unusable();
    }

    /// Opens a stream to a peer.
    ///
    /// # Errors
    ///
    /// No connection could be established, or the request could not be sent.
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
        let interrupted = |e: std::io::Error| PeerError::Interrupted(to, e.to_string());
        conn.send(head.as_bytes(), self.timeouts.stall).map_err(|(_, e)| interrupted(e))?;
        self.traffic.count_sent(purpose, head.len());
        let sender = StreamSender::new(&conn, purpose, &self.traffic).map_err(interrupted)?;
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

/// Sending side of a stream, for use by any thread.
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
        stream.set_write_timeout(Some(STREAM_SEND_TIMEOUT))?;
        Ok(StreamSender { stream: Mutex::new(stream), purpose, traffic: traffic.clone() })
    }

    /// Sends a message, and closes the stream if the peer does not accept the message within 250 ms.
    ///
    /// Returns whether the message was sent.
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

    /// Closes the stream in both directions.
    pub fn shutdown(&self) {
        shutdown(&lock(&self.stream));
    }
}

fn shutdown(stream: &TcpStream) {
    // It fails only if the stream is closed already.
    let _ = stream.shutdown(Shutdown::Both);
}

/// Receiving side of a stream, for use by one thread.
pub struct StreamReceiver {
    conn: Conn,
    reader: Option<BodyReader>,
    purpose: Purpose,
    traffic: TrafficCounter,
}

impl StreamReceiver {
    /// Waits for the next message; returns `None` when the stream has ended, or when `keep_waiting`, which is called
    /// every 50 ms, returns false.
    pub fn next<T: DeserializeOwned>(
        &mut self,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Option<T> {
        let deadline = self.conn.clock().now() + IDLE_TIMEOUT;
        self.next_with(|conn| conn.fill(deadline, keep_waiting))
    }

    /// Waits for the next message; returns `None` when the stream has ended, which [`StreamSender::shutdown`] brings
    /// about, or has been idle for [`IDLE_TIMEOUT`].
    ///
    /// Unlike [`StreamReceiver::next`], it does not wake up every 50 ms, which matters where hundreds of streams wait.
    pub fn next_until_end<T: DeserializeOwned>(&mut self) -> Option<T> {
        let deadline = self.conn.clock().now() + IDLE_TIMEOUT;
        self.next_with(|conn| conn.fill_until(deadline, None))
    }

    fn next_with<T: DeserializeOwned>(
        &mut self,
        mut fill: impl FnMut(&mut Conn) -> Result<(), ReadError>,
    ) -> Option<T> {
        if self.reader.is_none() {
            let head = loop {
                if let Some(head) = ResponseHead::take_buffered(&mut self.conn, HEAD_MAX).ok()? {
                    break head;
                }
                fill(&mut self.conn).ok()?;
            };
            if head.status != http::StatusCode::OK {
                return None;
            }
            self.traffic.count_received(self.purpose, STREAM_RESPONSE_HEAD.len());
            self.reader = Some(BodyReader::new(head.framing(&http::Method::POST).ok()?));
        }
        let reader = self.reader.as_mut()?;
        let chunk = reader.next_chunk_with(&mut self.conn, MESSAGE_MAX, fill).ok()??;
        self.traffic.count_received(self.purpose, ChunkWriter::default().frame(&chunk).len());
        decode(&chunk).ok()
    }
}

/// Serves a tunnel on a connection to the server with this address, and this id if it was named, until it is closed.
pub type TunnelHandler<'s> = dyn Fn(Conn, &str, Option<&str>) + 's;

/// What serves the connections of peers.
pub struct PeerService<'s, A, S> {
    /// Accepted credentials; `None` where instances have none because their network is private.
    pub credentials: Option<&'s [Secret]>,
    /// Maximum pause within a message, and for the peer to accept a reply.
    pub timeout: Duration,
    /// Counts the bytes sent and received.
    pub traffic: &'s TrafficCounter,
    /// Handles a call: returns the encoded reply to a path and message, or a status.
    pub handle_call: A,
    /// Handles a stream until it ends.
    pub handle_stream: S,
    /// Serves tunnels; `None` if the instance opens none.
    pub handle_tunnel: Option<&'s TunnelHandler<'s>>,
    /// Returns the purpose of the traffic at a path.
    pub purpose: fn(&str) -> Purpose,
}

/// Serves one connection of a peer until it is closed.
pub fn serve<A, S>(conn: Conn, service: &PeerService<'_, A, S>)
where
    A: Fn(&str, &[u8]) -> Result<Vec<u8>, u16>,
    S: Fn(StreamSender, StreamReceiver),
{
    // A connection that has been idle for this time is closed.
    drop(serve_with_idle_timeout(conn, service, IDLE_TIMEOUT));
}

/// Serves a connection of a peer until it has been idle for `idle_timeout`. It is for services without credentials, as
/// the connection's authentication is lost when the connection is handed back as idle.
pub fn serve_until_idle<A, S>(
    conn: Conn,
    service: &PeerService<'_, A, S>,
    idle_timeout: Duration,
) -> ConnOutcome
where
    A: Fn(&str, &[u8]) -> Result<Vec<u8>, u16>,
    S: Fn(StreamSender, StreamReceiver),
{
    serve_with_idle_timeout(conn, service, idle_timeout)
}

fn serve_with_idle_timeout<A, S>(
    mut conn: Conn,
    service: &PeerService<'_, A, S>,
    idle_timeout: Duration,
) -> ConnOutcome
where
    A: Fn(&str, &[u8]) -> Result<Vec<u8>, u16>,
    S: Fn(StreamSender, StreamReceiver),
{
    let mut is_authenticated = service.credentials.is_none();
    loop {
        match conn.wait_for_data(conn.clock().now() + idle_timeout) {
            Ok(true) => {}
            Ok(false) => return ConnOutcome::Idle(conn),
            Err(_) => return ConnOutcome::Closed,
        }
        let deadline = conn.clock().now() + IDLE_TIMEOUT;
        let Ok(head) = RequestHead::read(&mut conn, HEAD_MAX, deadline) else {
            return ConnOutcome::Closed;
        };
        is_authenticated = is_authenticated
            || has_valid_credential(&head, service.credentials.unwrap_or_default());
        if !is_authenticated {
            // The connection is closed in any case, so a failure to report the status is ignored.
            let _ = conn.send(&reply_bytes(401, &[]), service.timeout);
            return ConnOutcome::Closed;
        }
        if head.target == STREAM_PATH {
            serve_stream(conn, service);
            return ConnOutcome::Closed;
        }
        if let Some(handle_tunnel) = service.handle_tunnel
            && let Some(server) = head.target.strip_prefix(TUNNEL_PATH)
        {
            handle_tunnel(conn, server, head.header(SERVER_HEADER));
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
    if conn.send(STREAM_RESPONSE_HEAD, service.timeout).is_err() {
        return;
    }
    service.traffic.count_sent(purpose, STREAM_RESPONSE_HEAD.len());
    let Ok(sender) = StreamSender::new(&conn, purpose, service.traffic) else { return };
    let reader = Some(BodyReader::new(BodyFraming::Chunked));
    let receiver = StreamReceiver { conn, reader, purpose, traffic: service.traffic.clone() };
    (service.handle_stream)(sender, receiver);
}

fn has_valid_credential(head: &RequestHead, accepted: &[Secret]) -> bool {
    let token = head.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    token.is_some_and(|token| any_matches(accepted, token))
}

fn read_message(
    conn: &mut Conn,
    head: &RequestHead,
    timeout: Duration,
) -> Result<Vec<u8>, HeadError> {
    let deadline = conn.clock().now() + MESSAGE_TIMEOUT;
    let mut reader = BodyReader::new(head.framing()?);
    let body = reader.read_all_with_stall_limit(conn, MESSAGE_MAX, timeout, deadline);
    Ok(body.map_err(|(_, error)| error)?)
}
