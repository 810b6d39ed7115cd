//! One attempt at one backend server: sent once, and every failure says what is known of it.

use std::time::Instant;

use http::Method;

use super::{
    reply::ServerWords,
    request::{Outgoing, Request},
};
use crate::{
    adapter,
    contract::outcome::AttemptFault,
    link::http1::{
        BodyReader, Conn, ReadFault, ResponseHead,
        head::{write_header, write_headers},
    },
};

/// Largest head of an answer, in bytes.
const HEAD_MAX: usize = 64 << 10;

/// Largest answer that is collected before it is passed on, in bytes.
const WHOLE_MAX: usize = 32 << 20;

/// Answers of other requests that are passed over on one connection.
const FOREIGN_MAX: usize = 2;

/// How long the head of an answer is awaited.
pub struct HeadWait<'a> {
    /// When the wait is over, or is looked at anew.
    pub until: Instant,
    /// Says until when to wait on; `None` gives the attempt up.
    pub longer: &'a dyn Fn() -> Option<Instant>,
    /// Takes what the server says of itself, whatever its answer is and whichever request it is for.
    pub heard: &'a dyn Fn(&ServerWords),
}

/// A backend server's answer whose body is still to be read.
pub struct ServerAnswer {
    /// Head.
    pub head: ResponseHead,
    /// What the head says beside the answer.
    pub words: ServerWords,
    conn: Conn,
    body: BodyReader,
    request_whole: bool,
}

/// Sends a request on `conn` and reads the answer's head, as long as `wait` says.
///
/// With a `caller`, the attempt ends as soon as the caller closes its connection.
///
/// # Errors
///
/// The fault says whether the request can have run.
pub fn send(
    mut conn: Conn,
    request: &Request,
    outgoing: &Outgoing<'_>,
    wait: &HeadWait<'_>,
    caller: Option<&Conn>,
) -> Result<ServerAnswer, AttemptFault> {
    let until = wait.until;
    let bytes = request_bytes(request, outgoing);
    let sent = match conn.send_until_answered(&bytes, until, caller) {
        Ok(sent) => sent,
        Err((_, ReadFault::GivenUp)) => return Err(AttemptFault::CallerGone),
        Err((0, _)) => return Err(AttemptFault::BeforeSend),
        Err((_, ReadFault::Timeout)) => return Err(AttemptFault::HeadTimeout),
        Err(_) => return Err(AttemptFault::AfterSend),
    };
    let request_whole = sent == bytes.len();
    for _ in 0..=FOREIGN_MAX {
        let head = read_head(&mut conn, wait, caller)?;
        let words = adapter::responses::decode(&head);
        (wait.heard)(&words);
        let framing = head.framing(&request.method).map_err(|_| AttemptFault::Garbage)?;
        let mut body = BodyReader::new(framing);
        let own = words.request_id.as_deref().is_none_or(|id| id == request.asked.id);
        if own {
            return Ok(ServerAnswer { head, words, conn, body, request_whole });
        }
        // A second answer to an earlier request; this request's own comes behind it.
        log::warn!("event=foreign_answer request={} server={}", request.asked.id, outgoing.server);
        while next_piece(&mut conn, &mut body, until, caller)?.is_some() {}
    }
    Err(AttemptFault::Foreign)
}

impl ServerAnswer {
    /// Returns the next piece of the body as soon as it is there; `None` at its true end.
    ///
    /// # Errors
    ///
    /// The body was cut, stalled, is not framed as announced, or the caller left.
    pub fn next(
        &mut self,
        until: Instant,
        caller: Option<&Conn>,
    ) -> Result<Option<Vec<u8>>, AttemptFault> {
        next_piece(&mut self.conn, &mut self.body, until, caller)
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// As [`ServerAnswer::next`]; a body of over 32 MiB is `Garbage`.
    pub fn whole(
        &mut self,
        until: Instant,
        caller: Option<&Conn>,
    ) -> Result<Vec<u8>, AttemptFault> {
        let mut whole = Vec::new();
        while let Some(piece) = self.next(until, caller)? {
            whole.extend_from_slice(&piece);
            if whole.len() > WHOLE_MAX {
                return Err(AttemptFault::Garbage);
            }
        }
        Ok(whole)
    }

    /// Returns the connection, if it may carry another request.
    pub fn into_reusable(self) -> Option<Conn> {
        let clean = self.body.is_done() && self.conn.buffered().is_empty();
        (clean && self.request_whole && self.head.keep_alive()).then_some(self.conn)
    }
}

fn read_head(
    conn: &mut Conn,
    wait: &HeadWait<'_>,
    caller: Option<&Conn>,
) -> Result<ResponseHead, AttemptFault> {
    let mut until = wait.until;
    loop {
        match ResponseHead::take_buffered(conn, HEAD_MAX) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(_) => return Err(AttemptFault::Garbage),
        }
        match conn.fill_beside(until, caller) {
            Ok(()) => {}
            Err(ReadFault::Timeout) => until = (wait.longer)().ok_or(AttemptFault::HeadTimeout)?,
            Err(ReadFault::GivenUp) => return Err(AttemptFault::CallerGone),
            Err(_) => return Err(AttemptFault::AfterSend),
        }
    }
}

fn next_piece(
    conn: &mut Conn,
    body: &mut BodyReader,
    until: Instant,
    caller: Option<&Conn>,
) -> Result<Option<Vec<u8>>, AttemptFault> {
    body.next_by(conn, |conn| conn.fill_beside(until, caller)).map_err(body_fault)
}

fn body_fault(fault: ReadFault) -> AttemptFault {
    match fault {
        ReadFault::Timeout => AttemptFault::StalledBody,
        ReadFault::GivenUp => AttemptFault::CallerGone,
        ReadFault::Closed | ReadFault::Io(_) => AttemptFault::CutBody,
        ReadFault::Protocol(_) | ReadFault::TooLarge => AttemptFault::Garbage,
    }
}

fn request_bytes(request: &Request, outgoing: &Outgoing<'_>) -> Vec<u8> {
    let headers = adapter::headers::encode_request(&request.headers, outgoing);
    let mut buf = Vec::with_capacity(1024 + request.body.len());
    buf.extend_from_slice(request.method.as_str().as_bytes());
    buf.push(b' ');
    buf.extend_from_slice(request.target.as_bytes());
    buf.extend_from_slice(b" HTTP/1.1\r\n");
    write_headers(&mut buf, &headers);
    let bodiless = matches!(request.method, Method::GET | Method::HEAD) && request.body.is_empty();
    if !bodiless {
        write_header(&mut buf, "content-length", request.body.len().to_string().as_bytes());
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(&request.body);
    buf
}
