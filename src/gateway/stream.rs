//! Passes a stream of events on, event by event, and goes on at another backend server where the
//! route allows that.

use std::time::{Duration, Instant};

use http::header::CONTENT_TYPE;

use super::{
    exchange::ServerAnswer,
    flight::{Done, Opened},
    forward::Forwarding,
    reply::CALLER_STALL,
};
use crate::{
    adapter,
    contract::outcome::{AttemptFault, Outcome},
    link::{
        answer::{AnswerBody, AnswerNote, AnswerWriter},
        http1::Conn,
    },
    routing::{EventSplitter, ResponseObservation, RouteKind},
};

/// Times the route's longest pause after which a stream that may be resumed is taken to another
/// server: later, its caller gives up (at eight times).
const STALL_PAUSES: u32 = 3;

/// Least time before a silent stream is taken to another server.
const STALL_MIN: Duration = Duration::from_millis(500);

/// Pieces after the first from which a stream's pace is known.
const PACE_PIECES: u32 = 3;

/// How fast a server's pieces come, which, unlike the time of the first, does not hang on what the server keeps of the
/// prompt.
struct Pace {
    first: Instant,
    pieces: u32,
}

/// One source of events: a server's answer and how its bytes become events.
struct Source<'g> {
    opened: Opened<'g>,
    splits: bool,
}

/// What a source brought.
enum Brought {
    Events(Vec<u8>),
    End,
    Fault(AttemptFault),
}

/// Passes an opened stream on; `None` where it failed before its first event and may be tried
/// again.
pub fn pass(forwarding: &mut Forwarding<'_>, conn: &mut Conn, opened: Opened<'_>) -> Option<Done> {
    let mut splitter = EventSplitter::after(forwarding.request.asked.last_event.clone());
    let status = opened.answer.head.status;
    let headers = adapter::responses::forwarded_headers(&opened.answer.head);
    let mut source = Source::new(opened);
    let first = match next_events(forwarding, &mut source, &mut splitter, conn) {
        Brought::Events(events) => events,
        Brought::End => Vec::new(),
        Brought::Fault(fault) => {
            let picked = source.opened.picked.clone();
            drop(source);
            forwarding.note_fault(&picked, fault);
            return if forwarding.may_try_again() { None } else { Some(forwarding.give_up(conn)) };
        }
    };
    let request = forwarding.request;
    forwarding.note_running();
    forwarding.note_first_byte();
    let keep = forwarding.keep_alive() && !request.http10;
    let note = AnswerNote::plain(keep);
    let framing = if request.http10 { AnswerBody::UntilClose } else { AnswerBody::Chunked };
    let code = status.as_u16();
    let ended = |keep, reason| Some(Done { status: code, outcome: Outcome::Run, keep, reason });
    let started = AnswerWriter::start(conn, CALLER_STALL, status, &headers, &note, framing, &first);
    let Ok(mut writer) = started else { return ended(false, "caller left") };
    let mut pace = Pace::new(forwarding.gateway.clock.now());
    loop {
        match next_events(forwarding, &mut source, &mut splitter, writer.conn()) {
            Brought::Events(events) => {
                forwarding.note_running();
                pace.piece();
                if writer.piece(&events).is_err() {
                    return ended(false, "caller left");
                }
            }
            Brought::End => {
                let Opened { picked, sent, head, .. } = &source.opened;
                forwarding.note_good(picked, *sent, *head);
                forwarding.note_version(picked, pace.seen(forwarding.gateway.clock.now()));
                let Opened { answer, picked, .. } = source.opened;
                forwarding.keep_connection(&picked.server.id, answer);
                let sent = writer.end().is_ok();
                return ended(sent && keep, "answered");
            }
            Brought::Fault(AttemptFault::CallerGone) => return ended(false, "caller left"),
            Brought::Fault(fault) => {
                let picked = source.opened.picked.clone();
                drop(source);
                forwarding.note_fault(&picked, fault);
                splitter.discard_partial();
                match resume(forwarding, writer.conn(), &splitter) {
                    Some(next) => {
                        source = next;
                        pace = Pace::new(forwarding.gateway.clock.now());
                    }
                    None => {
                        // Nothing may follow that makes the cut answer look whole.
                        writer.cut(&[]);
                        return ended(false, "stream broke");
                    }
                }
            }
        }
    }
}

/// Opens the rest of a broken stream at another server.
fn resume<'a>(
    forwarding: &mut Forwarding<'a>,
    caller: &Conn,
    splitter: &EventSplitter,
) -> Option<Source<'a>> {
    let last = splitter.last_id()?.to_owned();
    while forwarding.may_try_again() {
        let opened = forwarding.open(Some(caller), Some(&last))?;
        if opened.answer.head.status.is_success() {
            log::info!(
                "event=stream_resumed request={} server={} after_event={last}",
                forwarding.request.asked.id,
                opened.picked.server.id
            );
            forwarding.gateway.metrics.resumed(&forwarding.request.service);
            return Some(Source::new(opened));
        }
        let picked = opened.picked.clone();
        drop(opened);
        forwarding.note_fault(&picked, AttemptFault::AfterSend);
    }
    None
}

impl Pace {
    fn new(first: Instant) -> Pace {
        Pace { first, pieces: 0 }
    }

    fn piece(&mut self) {
        self.pieces += 1;
    }

    /// Returns what the pace says of the server, whose last piece came at `end`.
    fn seen(&self, end: Instant) -> ResponseObservation {
        if self.pieces < PACE_PIECES {
            return ResponseObservation::Untimed;
        }
        ResponseObservation::Took(end.saturating_duration_since(self.first) / self.pieces)
    }
}

impl<'g> Source<'g> {
    fn new(opened: Opened<'g>) -> Source<'g> {
        let headers = &opened.answer.head.headers;
        let kind = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let splits = kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
        Source { opened, splits }
    }

    fn answer(&mut self) -> &mut ServerAnswer {
        &mut self.opened.answer
    }
}

fn next_events(
    forwarding: &Forwarding<'_>,
    source: &mut Source<'_>,
    splitter: &mut EventSplitter,
    caller: &Conn,
) -> Brought {
    loop {
        let until = stall_end(forwarding);
        let piece = match source.answer().next(until, Some(caller)) {
            Ok(Some(piece)) => piece,
            Ok(None) => {
                let rest = splitter.take_remainder();
                return if rest.is_empty() { Brought::End } else { Brought::Events(rest) };
            }
            Err(AttemptFault::StalledBody) if waits_on(forwarding, source) => continue,
            Err(fault) => return Brought::Fault(fault),
        };
        let events = if source.splits { splitter.push(&piece) } else { piece };
        if !events.is_empty() {
            return Brought::Events(events);
        }
    }
}

/// Returns whether a silent source is waited for still: there is time left, and no other server
/// to go on at.
fn waits_on(forwarding: &Forwarding<'_>, source: &Source<'_>) -> bool {
    let now = forwarding.gateway.clock.now();
    let server = &source.opened.picked.server.id;
    now < forwarding.request.until && !forwarding.could_go_elsewhere(now, server)
}

/// Returns when a silent source counts as stalled.
fn stall_end(forwarding: &Forwarding<'_>) -> Instant {
    let request = forwarding.request;
    if request.route.kind != RouteKind::ResumableStream {
        return request.until;
    }
    let pause = request.route.gap_target.unwrap_or(request.route.target_latency);
    let stall = (pause * STALL_PAUSES).max(STALL_MIN);
    request.until.min(forwarding.gateway.clock.now() + stall)
}
