//! Relays an event stream to the caller event by event, and resumes it at another backend server if the route allows
//! it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, StatusCode};

use super::{
    buffers::{BufferHold, RELAY_WINDOW},
    forward::Forwarding,
    in_flight::{Completion, OpenResponse},
    response::CALLER_WRITE_TIMEOUT,
    server_call::ServerResponse,
    stream_version::NotResumed,
};
use crate::{
    adapter,
    contract::outcome::{AttemptFault, Outcome},
    link::{
        http1::{Conn, response_body::is_event_stream},
        response::{ResponseFraming, ResponseOptions, ResponseWriter, SEND_BUFFER_BYTES},
    },
    routing::{BufferKind, EventSplitter, ResponseObservation, RouteKind},
};

/// Time without a byte after which a resumable stream is resumed at another server, in gap targets of the route. Callers
/// give up after eight gap targets.
const STALL_GAP_TARGETS: u32 = 3;

/// Minimum time without a byte after which a stream is resumed at another server: longer than a sound server may be
/// silent, and early enough for a caller that gives up after two seconds.
const STALL_TIMEOUT_MIN: Duration = Duration::from_millis(1400);

/// Time without a byte after which a stream is resumed at another server if this instance has lost the path to its own.
const LOST_PATH_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum number of pieces after the first for a stream's interval between pieces to be known.
const INTERVAL_PIECES_MIN: u32 = 3;

/// Measures the mean interval between the pieces of a stream. Unlike the time of the first piece, it does not depend on
/// how much of the prompt the server has cached.
struct PieceInterval {
    first_at: Instant,
    pieces: u32,
}

/// A response that events are read from.
struct Source<'g> {
    open: OpenResponse<'g>,
    /// Whether the body is split into events; otherwise each piece is relayed as it arrives.
    is_event_stream: bool,
}

/// Events of a stream and the hold on the bytes of the incomplete one.
struct HeldEvents<'g> {
    splitter: EventSplitter,
    hold: BufferHold<'g>,
    /// How long the caller has kept the stream waiting, which does not count against the server.
    blocked: Duration,
}

/// A stream whose first events have arrived.
struct BeganStream<'g> {
    status: StatusCode,
    headers: HeaderMap,
    source: Source<'g>,
    events: HeldEvents<'g>,
    first: Vec<u8>,
}

/// The result of reading from a source.
enum SourceRead {
    Events(Vec<u8>),
    End,
    Fault(AttemptFault),
}

/// Relays a stream to the caller; `None` if it failed before its first event and another attempt is allowed.
pub fn relay(
    forwarding: &mut Forwarding<'_>,
    conn: &mut Conn,
    open: OpenResponse<'_>,
) -> Option<Completion> {
    let mut events = HeldEvents {
        splitter: EventSplitter::after(forwarding.request.metadata.last_event_id.clone()),
        hold: forwarding.gateway.buffer_hold(forwarding.request.team.clone()),
        blocked: Duration::ZERO,
    };
    let status = open.response.head.status;
    let headers = adapter::responses::forwarded_headers(&open.response.head);
    let mut source = Source::new(open);
    let first = match next_events(forwarding, &mut source, &mut events, conn) {
        SourceRead::Events(events) => events,
        SourceRead::End => Vec::new(),
        SourceRead::Fault(fault) => {
            let picked = source.open.picked.clone();
            drop(source);
            forwarding.note_fault(&picked, fault);
            return forwarding.respond_failed_unless_retry(conn);
        }
    };
    forwarding.note_running();
    forwarding.note_first_byte();
    forwarding.bind_version(&source.open.picked.server);
    forwarding.record_version(&source.open.picked.server);
    forwarding.wait_for_checkpoint();
    let server = Arc::clone(&source.open.picked.server);
    let began = BeganStream { status, headers, source, events, first };
    let (completion, is_complete) = relay_began(forwarding, conn, began);
    forwarding.note_stream_end(&server, is_complete);
    Some(completion)
}

/// Relays a stream from its first events on; returns also whether the caller received it completely.
fn relay_began(
    forwarding: &mut Forwarding<'_>,
    conn: &mut Conn,
    began: BeganStream<'_>,
) -> (Completion, bool) {
    let BeganStream { status, headers, mut source, mut events, first } = began;
    let request = forwarding.request;
    let keep_alive = forwarding.keep_alive() && !request.http10;
    let note = ResponseOptions::plain(keep_alive);
    let framing =
        if request.http10 { ResponseFraming::UntilClose } else { ResponseFraming::Chunked };
    let completion = |keep_alive, reason| Completion {
        status: status.as_u16(),
        outcome: Outcome::Run,
        keep_alive,
        reason,
    };
    let incomplete = |reason| (completion(false, reason), false);
    conn.limit_send_buffer(SEND_BUFFER_BYTES);
    let started =
        ResponseWriter::start(conn, CALLER_WRITE_TIMEOUT, status, &headers, &note, framing, &first);
    let Ok(mut writer) = started else { return incomplete("caller left") };
    let mut interval = PieceInterval::new(forwarding.gateway.clock.now());
    loop {
        match next_events(forwarding, &mut source, &mut events, writer.conn()) {
            SourceRead::Events(complete) => {
                forwarding.note_running();
                forwarding.record_version(&source.open.picked.server);
                interval.count_piece();
                let began = forwarding.gateway.clock.now();
                if writer.write(&complete).is_err() {
                    return incomplete("caller left");
                }
                events.blocked += forwarding.gateway.clock.now().saturating_duration_since(began);
            }
            SourceRead::End => {
                note_end(forwarding, source.open, &interval);
                let sent = writer.finish().is_ok();
                return (completion(sent && keep_alive, "answered"), sent);
            }
            SourceRead::Fault(AttemptFault::CallerGone) => return incomplete("caller left"),
            SourceRead::Fault(fault) => {
                forwarding.record_version(&source.open.picked.server);
                let picked = source.open.picked.clone();
                drop(source);
                forwarding.note_fault(&picked, fault);
                events.splitter.discard_partial();
                match resume(forwarding, writer.conn(), &events.splitter) {
                    Ok(next) => {
                        source = next;
                        interval = PieceInterval::new(forwarding.gateway.clock.now());
                    }
                    Err(reason) => {
                        forwarding.note_not_resumed(reason);
                        // No further bytes are sent, so that the response does not look complete.
                        writer.abort(&[]);
                        return incomplete("stream broke");
                    }
                }
            }
        }
    }
}

/// Records the end of a complete stream.
fn note_end(forwarding: &mut Forwarding<'_>, open: OpenResponse<'_>, interval: &PieceInterval) {
    let OpenResponse { response, picked, in_flight, sent_at, head_at } = open;
    forwarding.note_success(&picked, sent_at, head_at);
    forwarding.note_prompt_answered(response.head.status, forwarding.began().unwrap_or(head_at));
    forwarding.note_version(&picked, interval.observation(forwarding.gateway.clock.now()));
    drop(in_flight);
    forwarding.note_body_end(&response);
    forwarding.keep_connection(&picked.server.id, response);
}

/// Resumes a broken stream at another server of its software version, or returns why none resumes it.
fn resume<'a>(
    forwarding: &mut Forwarding<'a>,
    caller: &Conn,
    splitter: &EventSplitter,
) -> Result<Source<'a>, NotResumed> {
    if !splitter.is_between_events() {
        return Err(NotResumed::SplitEvent);
    }
    let last_event_id = splitter.last_id().ok_or(NotResumed::NoEventId)?.to_owned();
    while forwarding.may_retry() {
        let open = forwarding.open(Some(caller), Some(&last_event_id));
        let open = open.ok_or_else(|| forwarding.reason_without_server())?;
        if open.response.head.status.is_success() {
            log::info!(
                "event=stream_resumed request={} server={} software={} after_event={last_event_id}",
                forwarding.request.metadata.id,
                open.picked.server.id,
                open.picked.server.version_text()
            );
            forwarding.gateway.metrics.stream_resumed(&forwarding.request.service);
            return Ok(Source::new(open));
        }
        let picked = open.picked.clone();
        drop(open);
        forwarding.note_fault(&picked, AttemptFault::AfterSend);
    }
    Err(NotResumed::NoAttemptLeft)
}

impl HeldEvents<'_> {
    /// Adds received bytes and returns the events that are complete now. Where the budget has no room for an incomplete
    /// event, its beginning is returned too.
    ///
    /// The bytes returned stay held until the next call: by then they have been written.
    fn push(&mut self, piece: &[u8]) -> Vec<u8> {
        let complete = self.splitter.push(piece);
        if !complete.is_empty() {
            return complete;
        }
        // The relay window of the request has room for a piece.
        let beyond = self.splitter.buffered().saturating_sub(RELAY_WINDOW);
        if self.hold.resize(BufferKind::Stream, beyond) {
            return complete;
        }
        self.splitter.take_partial()
    }
}

impl PieceInterval {
    fn new(first_at: Instant) -> PieceInterval {
        PieceInterval { first_at, pieces: 0 }
    }

    fn count_piece(&mut self) {
        self.pieces += 1;
    }

    /// Returns the evidence on the server's version; the last piece arrived at `end`.
    fn observation(&self, end: Instant) -> ResponseObservation {
        if self.pieces < INTERVAL_PIECES_MIN {
            return ResponseObservation::Untimed;
        }
        ResponseObservation::Took(end.saturating_duration_since(self.first_at) / self.pieces)
    }
}

impl<'g> Source<'g> {
    fn new(open: OpenResponse<'g>) -> Source<'g> {
        let is_event_stream = is_event_stream(&open.response.head.headers);
        Source { open, is_event_stream }
    }

    fn response(&mut self) -> &mut ServerResponse {
        &mut self.open.response
    }
}

fn next_events(
    forwarding: &Forwarding<'_>,
    source: &mut Source<'_>,
    events: &mut HeldEvents<'_>,
    caller: &Conn,
) -> SourceRead {
    let mut waits_since = forwarding.gateway.clock.now();
    loop {
        let end = forwarding.request.deadline + events.blocked;
        let deadline = stall_deadline(forwarding, waits_since, end);
        let piece = match source.response().next_piece(deadline, Some(caller)) {
            Ok(Some(piece)) => piece,
            Ok(None) => return SourceRead::End,
            Err(AttemptFault::StalledBody)
                if keeps_waiting(forwarding, source, waits_since, end) =>
            {
                continue;
            }
            Err(fault) => return SourceRead::Fault(fault),
        };
        waits_since = forwarding.gateway.clock.now();
        let complete = if source.is_event_stream { events.push(&piece) } else { piece };
        if !complete.is_empty() {
            return SourceRead::Events(complete);
        }
    }
}

/// Returns whether to keep waiting for a stalled source: the request has time left until `end`, and its server may go on,
/// or no other server can resume the stream.
fn keeps_waiting(
    forwarding: &Forwarding<'_>,
    source: &Source<'_>,
    waits_since: Instant,
    end: Instant,
) -> bool {
    let now = forwarding.gateway.clock.now();
    if now >= end {
        return false;
    }
    let server = &source.open.picked.server.id;
    let lost_path = forwarding.has_lost_path(server);
    let may_go_on = !lost_path && now < waits_since + stall_timeout(forwarding);
    may_go_on || !forwarding.could_retry_elsewhere(now, server)
}

/// Returns when to check whether a source without further bytes has stalled; at `end` the request is out of time.
fn stall_deadline(forwarding: &Forwarding<'_>, waits_since: Instant, end: Instant) -> Instant {
    if forwarding.request.route.kind != RouteKind::ResumableStream {
        return end;
    }
    let now = forwarding.gateway.clock.now();
    let until_stall = (waits_since + stall_timeout(forwarding)).saturating_duration_since(now);
    // The path may be lost at any time, and another server that can resume the stream may come up.
    let until_check =
        if until_stall.is_zero() { LOST_PATH_TIMEOUT } else { until_stall.min(LOST_PATH_TIMEOUT) };
    end.min(now + until_check)
}

/// Returns the time without a byte after which a stream of the request counts as stalled.
fn stall_timeout(forwarding: &Forwarding<'_>) -> Duration {
    let route = &forwarding.request.route;
    let gap = route.gap_target.unwrap_or(route.target_latency);
    (gap * STALL_GAP_TARGETS).max(STALL_TIMEOUT_MIN)
}
