//! Relays a whole response: collects it, so that it can be retried at another server if it breaks off, or passes it on
//! at the pace of its caller where the budget of buffered bytes has no room for it.

use std::time::{Duration, Instant};

use super::{
    buffers::{BufferHold, HeldBody, append},
    forward::Forwarding,
    in_flight::{Completion, OpenResponse},
    response::CALLER_WRITE_TIMEOUT,
    send_queue::SendQueue,
    server_call::ServerResponse,
};
use crate::{
    adapter,
    contract::outcome::{AttemptFault, Outcome},
    link::{
        http1::Conn,
        response::{ResponseFraming, ResponseOptions, ResponseWriter, SEND_BUFFER_BYTES},
    },
    routing::BufferKind,
};

/// Largest response that is collected before it is sent to the caller.
const COLLECTED_BYTES_MAX: usize = 32 << 20;

/// Time without a read after which a response is read ahead of its caller. Servers cut off a response that stays unread
/// for some seconds.
const READ_AHEAD_AFTER: Duration = Duration::from_secs(1);

/// Bytes that are reserved at once for reading ahead.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// Wait for data that a server should have sent long ago, when a response is read ahead.
const READ_AHEAD_WAIT: Duration = Duration::from_millis(1);

/// Size in bytes from which a body is sent with a limited send buffer of the kernel.
const LARGE_BODY: usize = 64 << 10;

/// The result of collecting a response.
pub enum Collected<'g> {
    /// The whole body.
    Whole(HeldBody<'g>),
    /// The beginning of the body: the budget has no room for the rest.
    Partial(HeldBody<'g>),
    /// The response broke off.
    Fault(AttemptFault),
}

/// Collects the body of a response as far as the budget allows.
pub fn collect<'g>(
    forwarding: &Forwarding<'g>,
    caller: &Conn,
    response: &mut ServerResponse,
) -> Collected<'g> {
    let request = forwarding.request;
    let watched = forwarding.watched_caller(Some(caller));
    let mut body = HeldBody::new(forwarding.gateway.buffer_hold(request.team.clone()));
    loop {
        let piece = match response.next_piece(request.deadline, watched) {
            Ok(Some(piece)) => piece,
            Ok(None) => return Collected::Whole(body),
            Err(fault) => return Collected::Fault(fault),
        };
        let has_room = body.hold.reserve(BufferKind::Response, piece.len()).is_ok();
        append(&mut body.bytes, &piece);
        if !has_room || body.bytes.len() > COLLECTED_BYTES_MAX {
            return Collected::Partial(body);
        }
    }
}

/// Limits the kernel's send buffer of a caller that is about to receive a large body.
pub fn prepare_caller(conn: &Conn, body: &[u8]) {
    if body.len() >= LARGE_BODY {
        conn.limit_send_buffer(SEND_BUFFER_BYTES);
    }
}

/// Passes a response on as it comes, beginning with what was collected.
pub fn pass_on<'g>(
    forwarding: &mut Forwarding<'g>,
    conn: &mut Conn,
    open: OpenResponse<'g>,
    collected: HeldBody<'g>,
) -> Completion {
    let request = forwarding.request;
    let status = open.response.head.status;
    let framing = match open.response.announced_length(&request.method) {
        Some(length) => ResponseFraming::Length(length),
        None if request.http10 => ResponseFraming::UntilClose,
        None => ResponseFraming::Chunked,
    };
    let keep_alive = forwarding.keep_alive() && framing != ResponseFraming::UntilClose;
    let headers = adapter::responses::forwarded_headers(&open.response.head);
    forwarding.gateway.metrics.response_relayed(&request.service);
    log_relayed(forwarding, &open, &collected);
    forwarding.note_first_byte();
    conn.limit_send_buffer(SEND_BUFFER_BYTES);
    let options = ResponseOptions::plain(keep_alive);
    let started =
        ResponseWriter::start(conn, CALLER_WRITE_TIMEOUT, status, &headers, &options, framing, &[]);
    let result = match started {
        Ok(_) => Relay::new(forwarding, conn, open, collected, framing).run(),
        Err(_) => Err("caller left"),
    };
    if result.is_err() {
        // Nothing that follows may make the response look complete.
        if framing == ResponseFraming::UntilClose { conn.reset_on_close() } else { conn.shutdown() }
    }
    Completion {
        status: status.as_u16(),
        outcome: Outcome::Run,
        keep_alive: keep_alive && result.is_ok(),
        reason: result.err().unwrap_or("answered"),
    }
}

fn log_relayed(forwarding: &Forwarding<'_>, open: &OpenResponse<'_>, collected: &HeldBody<'_>) {
    log::info!(
        "event=response_relayed request={} server={} team={} collected={} team_held={} held={}",
        forwarding.request.metadata.id,
        open.picked.server.id,
        collected.hold.team(),
        collected.bytes.len(),
        collected.hold.held_by_team(),
        forwarding.gateway.buffers.total()
    );
}

/// A response that is passed on at the pace of its caller.
struct Relay<'r, 'g> {
    forwarding: &'r mut Forwarding<'g>,
    conn: &'r mut Conn,
    /// The response, until its end has been read.
    source: Option<OpenResponse<'g>>,
    queue: SendQueue,
    hold: BufferHold<'g>,
    last_read: Instant,
    /// When the caller last took bytes.
    last_sent: Instant,
    /// How long the caller has kept the response waiting, which does not count against the server.
    blocked: Duration,
}

impl<'r, 'g> Relay<'r, 'g> {
    fn new(
        forwarding: &'r mut Forwarding<'g>,
        conn: &'r mut Conn,
        open: OpenResponse<'g>,
        collected: HeldBody<'g>,
        framing: ResponseFraming,
    ) -> Relay<'r, 'g> {
        let now = forwarding.gateway.clock.now();
        let mut queue = SendQueue::new(framing);
        queue.push(collected.bytes);
        Relay {
            forwarding,
            conn,
            source: Some(open),
            queue,
            hold: collected.hold,
            last_read: now,
            last_sent: now,
            blocked: Duration::ZERO,
        }
    }

    /// Passes the response on to its end, or returns why it was cut.
    fn run(mut self) -> Result<(), &'static str> {
        loop {
            self.send()?;
            if self.source.is_none() {
                return Ok(());
            }
            let deadline = self.forwarding.request.deadline + self.blocked;
            if let Err(fault) = self.read(deadline) {
                return Err(self.note_cut(fault));
            }
        }
    }

    /// Sends all that is queued.
    fn send(&mut self) -> Result<(), &'static str> {
        let began = self.now();
        self.last_sent = began;
        while !self.queue.is_empty() {
            let sent = self.queue.send(self.conn).map_err(|_| "caller left")?;
            self.hold.shrink(BufferKind::Response, self.queue.len());
            let now = self.now();
            if sent > 0 {
                self.last_sent = now;
                continue;
            }
            let stalled_at = self.last_sent + CALLER_WRITE_TIMEOUT;
            if now >= stalled_at {
                return Err("caller left");
            }
            if self.source.is_some() && now >= self.last_read + READ_AHEAD_AFTER {
                if let Err(fault) = self.read_ahead() {
                    return Err(self.note_cut(fault));
                }
                self.last_read = self.now();
            }
            let until = stalled_at.min(self.now() + READ_AHEAD_AFTER);
            self.conn.wait_for_space(until).map_err(|_| "caller left")?;
        }
        self.blocked += self.now().saturating_duration_since(began);
        Ok(())
    }

    /// Reads what the server has sent, as far as the budget has room.
    fn read_ahead(&mut self) -> Result<(), AttemptFault> {
        while self.source.is_some()
            && self.hold.reserve(BufferKind::Response, READ_AHEAD_BYTES).is_ok()
        {
            let target = self.queue.len() + READ_AHEAD_BYTES;
            while self.source.is_some() && self.queue.len() < target {
                match self.read(self.now() + READ_AHEAD_WAIT) {
                    Ok(()) => {}
                    Err(AttemptFault::StalledBody) => return Ok(()),
                    Err(fault) => return Err(fault),
                }
            }
        }
        Ok(())
    }

    /// Reads the next piece, or notes the end of the response.
    fn read(&mut self, deadline: Instant) -> Result<(), AttemptFault> {
        let watched = self.forwarding.watched_caller(Some(self.conn));
        let Some(source) = &mut self.source else { return Ok(()) };
        match source.response.next_piece(deadline, watched)? {
            Some(piece) => self.queue.push(piece),
            None => {
                self.queue.finish();
                if let Some(source) = self.source.take() {
                    self.forwarding.note_relayed(source);
                }
            }
        }
        self.last_read = self.now();
        Ok(())
    }

    /// Notes that the response was cut; returns the reason.
    fn note_cut(&mut self, fault: AttemptFault) -> &'static str {
        if let Some(source) = self.source.take() {
            let picked = source.picked.clone();
            drop(source);
            self.forwarding.note_fault(&picked, fault);
        }
        if fault == AttemptFault::CallerGone { "caller left" } else { "response broke" }
    }

    fn now(&self) -> Instant {
        self.forwarding.gateway.clock.now()
    }
}
