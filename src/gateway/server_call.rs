//! One attempt at one backend server: the request is sent once, and each failure says whether it can have run.

use std::time::Instant;

use http::Method;

use super::{
    request::{AttemptHeaders, Request},
    response::ResponseMetadata,
};
use crate::{
    adapter,
    contract::outcome::AttemptFault,
    link::http1::{
        BodyEnd, BodyFraming, Conn, ReadError, ResponseBody, ResponseHead,
        head::{write_header, write_headers},
    },
};

/// Largest head of a response.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// Largest request body that is copied behind its head, to be sent in the same packet.
const COPIED_BODY_MAX: usize = 8 << 10;

/// Responses to other requests that are skipped on one connection.
const FOREIGN_RESPONSES_MAX: usize = 2;

/// Bytes of bodies of responses to other requests that are skipped on one connection.
const FOREIGN_BYTES_MAX: usize = 1 << 20;

/// How long to wait for the head of a response.
pub struct HeadWait<'a> {
    /// When the wait ends, or `extend` is called.
    pub deadline: Instant,
    /// Returns the next deadline; `None` ends the attempt.
    pub extend: &'a dyn Fn() -> Option<Instant>,
    /// Receives the metadata of each response head, including responses to other requests.
    pub on_metadata: &'a dyn Fn(&ResponseMetadata),
}

/// A response of a backend server whose body has not been read.
pub struct ServerResponse {
    /// Head.
    pub head: ResponseHead,
    /// Metadata from the head.
    pub metadata: ResponseMetadata,
    conn: Conn,
    body: ResponseBody,
    /// Whether the request was sent to its end before the response head arrived.
    request_sent: bool,
}

/// Sends a request on `conn` and waits for the head of the response as `wait` says.
///
/// With a `caller`, the attempt ends as soon as the caller closes its connection.
///
/// # Errors
///
/// The fault says whether the request can have run.
pub fn send(
    mut conn: Conn,
    request: &Request,
    attempt_headers: &AttemptHeaders<'_>,
    wait: &HeadWait<'_>,
    caller: Option<&Conn>,
) -> Result<ServerResponse, AttemptFault> {
    let deadline = wait.deadline;
    let request_sent = send_request(&mut conn, request, attempt_headers, deadline, caller)?;
    let mut foreign_bytes = 0;
    for _ in 0..=FOREIGN_RESPONSES_MAX {
        let head = read_head(&mut conn, wait, caller)?;
        let metadata = adapter::responses::decode(&head);
        (wait.on_metadata)(&metadata);
        let framing = head.framing(&request.method).map_err(|_| AttemptFault::Garbage)?;
        let mut body = ResponseBody::new(&head.headers, framing);
        let is_own = metadata.request_id.as_deref().is_none_or(|id| id == request.metadata.id);
        if is_own {
            return Ok(ServerResponse { head, metadata, conn, body, request_sent });
        }
        // A second response to an earlier request; the response to this one follows it.
        log::warn!(
            "event=foreign_answer request={} server={}",
            request.metadata.id,
            attempt_headers.server
        );
        while let Some(piece) = next_piece(&mut conn, &mut body, deadline, caller)? {
            foreign_bytes += piece.len();
            if foreign_bytes > FOREIGN_BYTES_MAX {
                return Err(AttemptFault::Foreign);
            }
        }
    }
    Err(AttemptFault::Foreign)
}

impl ServerResponse {
    /// Returns the next piece of the body as soon as it arrives; `None` at the end of the complete response.
    ///
    /// # Errors
    ///
    /// The body was cut or stalled, its framing is invalid, or the caller disconnected.
    pub fn next_piece(
        &mut self,
        deadline: Instant,
        caller: Option<&Conn>,
    ) -> Result<Option<Vec<u8>>, AttemptFault> {
        next_piece(&mut self.conn, &mut self.body, deadline, caller)
    }

    /// Returns what marks the end of the body; `None` if it has not been read to its end or was broken off.
    pub fn end(&self) -> Option<BodyEnd> {
        self.body.end()
    }

    /// Returns the length of the body that the head announces.
    pub fn announced_length(&self, method: &Method) -> Option<u64> {
        match self.head.framing(method) {
            Ok(BodyFraming::Length(length)) => Some(length),
            _ => None,
        }
    }

    /// Returns the connection, if it may carry another request.
    pub fn into_reusable(self) -> Option<Conn> {
        let is_clean = self.end() == Some(BodyEnd::Framed) && self.conn.buffered().is_empty();
        (is_clean && self.request_sent && self.head.keep_alive()).then_some(self.conn)
    }
}

/// Sends the request; returns whether it was sent to its end before a response began.
fn send_request(
    conn: &mut Conn,
    request: &Request,
    attempt_headers: &AttemptHeaders<'_>,
    deadline: Instant,
    caller: Option<&Conn>,
) -> Result<bool, AttemptFault> {
    let mut head = request_head(request, attempt_headers);
    let copied = if request.body.len() <= COPIED_BODY_MAX { &request.body[..] } else { &[] };
    head.extend_from_slice(copied);
    let mut before = 0;
    for part in [&head[..], &request.body[copied.len()..]] {
        match conn.send_until_response(part, deadline, caller) {
            Ok(sent) if sent < part.len() => return Ok(false),
            Ok(sent) => before += sent,
            Err((_, ReadError::Cancelled)) => return Err(AttemptFault::CallerGone),
            Err((0, _)) if before == 0 => return Err(AttemptFault::BeforeSend),
            Err((_, ReadError::Timeout)) => return Err(AttemptFault::HeadTimeout),
            Err(_) => return Err(AttemptFault::AfterSend),
        }
    }
    Ok(true)
}

fn read_head(
    conn: &mut Conn,
    wait: &HeadWait<'_>,
    caller: Option<&Conn>,
) -> Result<ResponseHead, AttemptFault> {
    let mut deadline = wait.deadline;
    loop {
        match ResponseHead::take_buffered(conn, HEAD_BYTES_MAX) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(_) => return Err(AttemptFault::Garbage),
        }
        match conn.fill_until(deadline, caller) {
            Ok(()) => {}
            Err(ReadError::Timeout) => {
                if let Some(extended) = (wait.extend)() {
                    deadline = extended;
                } else if !has_arrived(conn)? {
                    return Err(AttemptFault::HeadTimeout);
                }
            }
            Err(ReadError::Cancelled) => return Err(AttemptFault::CallerGone),
            Err(_) => return Err(AttemptFault::AfterSend),
        }
    }
}

/// Returns whether more of a response has arrived since the last read: the decision to give it up takes time too.
fn has_arrived(conn: &mut Conn) -> Result<bool, AttemptFault> {
    conn.fill_arrived().map_err(|_| AttemptFault::AfterSend)
}

fn next_piece(
    conn: &mut Conn,
    body: &mut ResponseBody,
    deadline: Instant,
    caller: Option<&Conn>,
) -> Result<Option<Vec<u8>>, AttemptFault> {
    body.next_with(conn, |conn| conn.fill_until(deadline, caller)).map_err(body_fault)
}

fn body_fault(fault: ReadError) -> AttemptFault {
    match fault {
        ReadError::Timeout => AttemptFault::StalledBody,
        ReadError::Cancelled => AttemptFault::CallerGone,
        ReadError::Closed | ReadError::Io(_) => AttemptFault::CutBody,
        ReadError::CutEvent => AttemptFault::CutEvent,
        ReadError::Protocol(_) | ReadError::TooLarge => AttemptFault::Garbage,
    }
}

fn request_head(request: &Request, attempt_headers: &AttemptHeaders<'_>) -> Vec<u8> {
    let headers = adapter::headers::encode_request(&request.headers, attempt_headers);
    let mut buf = Vec::with_capacity(1024);
    buf.extend_from_slice(request.method.as_str().as_bytes());
    buf.push(b' ');
    buf.extend_from_slice(request.target.as_bytes());
    buf.extend_from_slice(b" HTTP/1.1\r\n");
    write_headers(&mut buf, &headers);
    let has_no_body =
        matches!(request.method, Method::GET | Method::HEAD) && request.body.is_empty();
    if !has_no_body {
        write_header(&mut buf, "content-length", request.body.len().to_string().as_bytes());
    }
    buf.extend_from_slice(b"\r\n");
    buf
}
