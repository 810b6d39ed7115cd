//! Exchanges between instances: HTTP/1.1 with `rmp-serde` bodies on kept connections.
//!
//! Heads are the shortest that HTTP allows and the credential is shown once a connection, since
//! every byte counts against the control budget; see docs/DESIGN.md, "Between instances".

use std::{collections::HashMap, net::SocketAddr, sync::Mutex, time::Duration};

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    clock::Clock,
    configs::fleet::chunks::{decode, encode},
    link::http1::{BodyReader, Conn, HeadFault, RequestHead, ResponseHead},
    metrics::{Metrics, Purpose},
    utils::{
        secret::{Secret, any_matches},
        sync::lock,
    },
};

/// Largest head between instances.
const HEAD_MAX: usize = 2 << 10;

/// Largest message between instances.
const MESSAGE_MAX: usize = 16 << 20;

/// Idle connections kept for each peer.
const IDLE_MAX: usize = 4;

/// Idle time after which a peer's connection is closed by its server.
const IDLE_TIME: Duration = Duration::from_secs(300);

/// Why an exchange with a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerFault {
    /// The peer was not reached.
    #[error("instance at {0} is not reached ({1}); it is passed over for a while")]
    Unreachable(SocketAddr, String),
    /// The exchange broke off; the peer may have acted on it.
    #[error(
        "exchange with the instance at {0} broke off ({1}); it is repeated where that does no harm"
    )]
    Broken(SocketAddr, String),
    /// The peer refused.
    #[error(
        "the instance at {0} refused with status {1}; check that both have the same peers' credential and version"
    )]
    Refused(SocketAddr, u16),
}

/// Connections to other instances.
pub struct PeerLinks {
    idle: Mutex<HashMap<SocketAddr, Vec<Conn>>>,
    clock: Clock,
    credential: Secret,
    timeout: Duration,
    metrics: Metrics,
}

impl PeerLinks {
    /// Returns links that show `credential`.
    pub fn new(clock: Clock, credential: Secret, timeout: Duration, metrics: Metrics) -> PeerLinks {
        PeerLinks { idle: Mutex::default(), clock, credential, timeout, metrics }
    }

    /// Sends `message` and returns the peer's answer.
    ///
    /// Every message between instances may be repeated, so one that fails on a kept connection
    /// is sent once more on a new one.
    ///
    /// # Errors
    ///
    /// See [`PeerFault`].
    pub fn call<T: DeserializeOwned>(
        &self,
        purpose: Purpose,
        to: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, PeerFault> {
        self.call_within(purpose, to, path, message, self.timeout)
    }

    /// Like [`PeerLinks::call`], with a time-out of its own.
    ///
    /// # Errors
    ///
    /// See [`PeerFault`].
    pub fn call_within<T: DeserializeOwned>(
        &self,
        purpose: Purpose,
        to: SocketAddr,
        path: &str,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, PeerFault> {
        let body = encode(message);
        if let Some(conn) = self.take_idle(to)
            && let Ok(reply) = self.exchange(purpose, conn, to, path, &body, false, timeout)
        {
            return reply_of(to, &reply);
        }
        let connect = Conn::connect(to, timeout.min(self.timeout), &self.clock);
        let conn = connect.map_err(|e| PeerFault::Unreachable(to, e.to_string()))?;
        let reply = self.exchange(purpose, conn, to, path, &body, true, timeout)?;
        reply_of(to, &reply)
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Conn> {
        let mut idle = lock(&self.idle);
        idle.get_mut(&to)?.pop()
    }

    fn put_idle(&self, to: SocketAddr, conn: Conn) {
        let mut idle = lock(&self.idle);
        let conns = idle.entry(to).or_default();
        if conns.len() < IDLE_MAX {
            conns.push(conn);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one exchange, described in full")]
    fn exchange(
        &self,
        purpose: Purpose,
        mut conn: Conn,
        to: SocketAddr,
        path: &str,
        body: &[u8],
        first: bool,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerFault> {
        let broken = |e: &dyn std::fmt::Display| PeerFault::Broken(to, e.to_string());
        let credential = if first { Some(&self.credential) } else { None };
        let message = request_bytes(path, body, credential);
        let until = self.clock.now() + timeout;
        self.metrics.control_sent(purpose, message.len());
        conn.send(&message, timeout).map_err(|(_, e)| broken(&e))?;
        let head =
            ResponseHead::read(&mut conn, HEAD_MAX, until, &mut || true).map_err(|e| broken(&e))?;
        let framing = head.framing(&http::Method::POST).map_err(|e| broken(&e))?;
        let mut reader = BodyReader::new(framing);
        let reply = reader.read_all(&mut conn, MESSAGE_MAX, until).map_err(|e| broken(&e))?;
        self.metrics.control_received(purpose, reply_head_len(reply.len()) + reply.len());
        if head.status != http::StatusCode::OK {
            return Err(PeerFault::Refused(to, head.status.as_u16()));
        }
        self.put_idle(to, conn);
        Ok(reply)
    }
}

fn reply_of<T: DeserializeOwned>(to: SocketAddr, reply: &[u8]) -> Result<T, PeerFault> {
    decode(reply).map_err(|e| PeerFault::Broken(to, e.to_string()))
}

fn request_bytes(path: &str, body: &[u8], credential: Option<&Secret>) -> Vec<u8> {
    let mut message = format!("POST {path} HTTP/1.1\r\nhost:\r\n").into_bytes();
    if let Some(credential) = credential {
        message.extend_from_slice(
            format!("authorization:Bearer {}\r\n", credential.expose()).as_bytes(),
        );
    }
    message.extend_from_slice(format!("content-length:{}\r\n\r\n", body.len()).as_bytes());
    message.extend_from_slice(body);
    message
}

fn reply_bytes(status: u16, body: &[u8]) -> Vec<u8> {
    let mut message =
        format!("HTTP/1.1 {status} \r\ncontent-length:{}\r\n\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    message
}

fn reply_head_len(body: usize) -> usize {
    reply_bytes(200, &[]).len() - 1 + body.to_string().len()
}

/// Serves one connection of a peer until it ends.
///
/// `answer` is given the path and the message and returns the encoded answer, or a status.
pub fn serve(
    mut conn: Conn,
    accepted: &[Secret],
    timeout: Duration,
    answer: impl Fn(&str, &[u8]) -> Result<Vec<u8>, u16>,
) {
    let mut shown = false;
    loop {
        let until = conn.clock().now() + IDLE_TIME;
        let Ok(head) = RequestHead::read(&mut conn, HEAD_MAX, until) else { return };
        shown = shown || shows_credential(&head, accepted);
        if !shown {
            // The other side learns why; that it may not get the message is no loss.
            let _ = conn.send(&reply_bytes(401, &[]), timeout);
            return;
        }
        let Ok(body) = read_message(&mut conn, &head, timeout) else { return };
        let reply = match answer(&head.target, &body) {
            Ok(reply) => reply_bytes(200, &reply),
            Err(status) => reply_bytes(status, &[]),
        };
        if conn.send(&reply, timeout).is_err() {
            return;
        }
    }
}

fn shows_credential(head: &RequestHead, accepted: &[Secret]) -> bool {
    let given = head.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    given.is_some_and(|given| any_matches(accepted, given))
}

fn read_message(
    conn: &mut Conn,
    head: &RequestHead,
    timeout: Duration,
) -> Result<Vec<u8>, HeadFault> {
    let until = conn.clock().now() + timeout;
    let mut reader = BodyReader::new(head.framing()?);
    Ok(reader.read_all(conn, MESSAGE_MAX, until)?)
}
