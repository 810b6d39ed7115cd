//! A caller's connection: reads requests, admits them, and responds to each.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};

use super::{
    Gateway,
    attempts::Refusal,
    buffers::{BufferHold, RELAY_WINDOW, append},
    forward::Forwarding,
    in_flight::Completion,
    request::{Request, RequestMetadata},
    request_log,
    response::LocalResponse,
};
use crate::{
    adapter,
    contract::outcome::Outcome,
    link::{
        http1::{BodyReader, Conn, HeadError, ReadError, RequestHead, body::BodyFraming},
        listener::{ConnOutcome, lingering_close},
    },
    names::TeamName,
    routing::{BufferDenial, BufferKind, Intent, Route},
    zone::rendezvous::ChatKey,
};

/// Limits that apply until the intent with the operator's limits has been read.
const HEAD_BYTES_DEFAULT: usize = 16 << 10;
const HEAD_TIMEOUT_DEFAULT: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);

/// How long the first connections wait while the instance is starting. Callers give up on a connection that is not read
/// for a second.
const STARTUP_WAIT_MAX: Duration = Duration::from_millis(300);

/// How long a thread waits for the next request of a connection before it hands the connection to the poller of idle
/// connections. The first request of a new connection follows at once.
const NEXT_REQUEST_WAIT: Duration = Duration::from_millis(20);

/// `Retry-After` if the instance has no intent, or one that may be outdated.
const RETRY_AFTER_NO_INTENT: Duration = Duration::from_millis(200);

/// `Retry-After` if the instance has no room for the body of a request: a body is forwarded within some hundredths of a
/// second.
const RETRY_AFTER_NO_ROOM: Duration = Duration::from_millis(200);

/// `Retry-After` if the instance is draining: another instance can serve the request at once.
const RETRY_AFTER_DRAINING: Duration = Duration::from_millis(20);

/// Priority of requests whose route has none: midway between the most and the least urgent.
const PRIORITY_DEFAULT: u8 = 5;

/// What happens to a connection after a request.
enum Disposition {
    /// The connection stays open for another request.
    KeepAlive,
    /// The connection is closed at once. A request that arrives meanwhile is not read, so that the caller may send it
    /// again even if it may run only once.
    Close,
    /// The connection is closed after a refusal; the rest of the refused request is read and discarded for a short
    /// time.
    LingeringClose,
}

impl Disposition {
    fn of(keep_alive: bool) -> Disposition {
        if keep_alive { Disposition::KeepAlive } else { Disposition::Close }
    }
}

/// Serves the requests of a connection until it closes or the next request does not follow at once.
pub fn serve(gateway: &Gateway, mut conn: Conn) -> ConnOutcome {
    // After a start, the intent and the server list arrive within some hundredths of a second.
    gateway.cluster_state.wait_complete(STARTUP_WAIT_MAX);
    loop {
        conn.release_buffer();
        match conn.wait_for_data(gateway.clock.now() + NEXT_REQUEST_WAIT) {
            Ok(true) => {}
            Ok(false) => return ConnOutcome::Idle(conn),
            Err(_) => return ConnOutcome::Closed,
        }
        match serve_one(gateway, &mut conn) {
            Disposition::KeepAlive => {}
            Disposition::Close => return ConnOutcome::Closed,
            Disposition::LingeringClose => {
                lingering_close(&mut conn);
                return ConnOutcome::Closed;
            }
        }
    }
}

/// Returns when a caller's connection that has been idle since `since` is closed.
pub fn idle_deadline(gateway: &Gateway, since: Instant) -> Instant {
    let timeout = gateway.cluster_state.idle_time();
    since + if timeout.is_zero() { IDLE_TIMEOUT_DEFAULT } else { timeout }
}

fn serve_one(gateway: &Gateway, conn: &mut Conn) -> Disposition {
    let intent = gateway.cluster_state.intent();
    let limits = intent.as_ref().map(|intent| &intent.limits);
    let head_bytes = limits.map_or(HEAD_BYTES_DEFAULT, |limits| limits.head_bytes);
    let head_timeout = limits.map_or(HEAD_TIMEOUT_DEFAULT, |limits| limits.head_time);
    let head_deadline = gateway.clock.now() + head_timeout;
    let head = match RequestHead::read(conn, head_bytes, head_deadline) {
        Ok(head) => head,
        Err(fault) => return refuse_head(conn, &fault),
    };
    let received_at = gateway.clock.now();
    let Some(_in_flight) = gateway.drain.enter() else {
        // The process is about to end. The body has not been read, so nothing has run.
        return Disposition::Close;
    };
    // Bytes are limited by the buffer budget, connections by the listener.
    let Some(_usage) = gateway.usage.enter(u32::MAX) else { return Disposition::Close };
    gateway.metrics.request_started();
    let body_bytes = limits.map_or(usize::MAX, |limits| limits.body_bytes);
    // Released when the response has been sent.
    let mut hold = gateway.buffer_hold(team_of(&head, intent.as_deref()));
    let (served, disposition) =
        match read_body(gateway, conn, &head, received_at, body_bytes, &mut hold) {
            Ok(body) => {
                let served = respond(gateway, conn, head, body, intent.as_deref(), received_at);
                let disposition = Disposition::of(served.completion.is_some_and(|c| c.keep_alive));
                (served, disposition)
            }
            Err(refusal) => {
                refusal.send(conn, false, false);
                log::info!(
                    "event=refused status={} reason={:?}",
                    refusal.status.as_u16(),
                    refusal.reason
                );
                let served = ServedRequest {
                    completion: Some(refused_completion(&refusal, false)),
                    service: String::new(),
                };
                (served, Disposition::LingeringClose)
            }
        };
    let took = gateway.clock.now().saturating_duration_since(received_at);
    let completion = served.completion;
    let status = completion.map_or(0, |completion| completion.status);
    let outcome = completion.map_or(Outcome::Unknown, |completion| completion.outcome);
    gateway.metrics.request_finished(&served.service, status, outcome, took);
    disposition
}

/// A request that was served or refused, for metrics.
struct ServedRequest {
    completion: Option<Completion>,
    /// Empty if the request was refused.
    service: String,
}

fn refused_completion(refusal: &LocalResponse, keep_alive: bool) -> Completion {
    Completion {
        status: refusal.status.as_u16(),
        outcome: Outcome::NotRun,
        keep_alive,
        reason: refusal.reason,
    }
}

fn refuse_head(conn: &mut Conn, fault: &HeadError) -> Disposition {
    let refusal = match fault {
        HeadError::Read(ReadError::Timeout) => {
            LocalResponse::new(StatusCode::REQUEST_TIMEOUT, "the head did not come in time")
        }
        HeadError::Read(_) => return Disposition::Close,
        HeadError::TooLarge => LocalResponse::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the head is larger than allowed; send fewer or shorter headers",
        ),
        HeadError::Invalid(reason) => LocalResponse::new(StatusCode::BAD_REQUEST, reason),
        HeadError::UnsupportedCoding => LocalResponse::new(
            StatusCode::NOT_IMPLEMENTED,
            "only the transfer coding chunked is understood",
        ),
    };
    log::info!("event=refused status={} reason={:?}", refusal.status.as_u16(), refusal.reason);
    refusal.send(conn, false, false);
    Disposition::LingeringClose
}

fn read_body(
    gateway: &Gateway,
    conn: &mut Conn,
    head: &RequestHead,
    received_at: Instant,
    max_bytes: usize,
    hold: &mut BufferHold<'_>,
) -> Result<Vec<u8>, LocalResponse> {
    let too_large = || {
        LocalResponse::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is larger than allowed; send less",
        )
    };
    let framing = head.framing().map_err(|_| {
        LocalResponse::new(StatusCode::BAD_REQUEST, "the body's framing is contradictory")
    })?;
    if matches!(framing, BodyFraming::Length(length) if length > max_bytes as u64) {
        return Err(too_large());
    }
    reserve_relay_window(hold, &framing).map_err(|denial| no_room(gateway, hold, denial))?;
    send_continue(conn, head);
    let mut reader = BodyReader::new(framing);
    let timeout = gateway.cluster_state.idle_time().max(IDLE_TIMEOUT_DEFAULT);
    let mut body = Vec::new();
    loop {
        let piece =
            match reader.next_with(conn, |conn| conn.fill_until(received_at + timeout, None)) {
                Ok(Some(piece)) => piece,
                Ok(None) => return Ok(body),
                Err(ReadError::TooLarge) => return Err(too_large()),
                Err(fault) => return Err(body_refusal(&fault)),
            };
        if body.len() + piece.len() > max_bytes {
            return Err(too_large());
        }
        hold.reserve(BufferKind::Request, piece.len())
            .map_err(|denial| no_room(gateway, hold, denial))?;
        append(&mut body, &piece);
    }
}

/// Holds the bytes of the relay window, if there is room for them and for a body of the announced length.
fn reserve_relay_window(
    hold: &mut BufferHold<'_>,
    framing: &BodyFraming,
) -> Result<(), BufferDenial> {
    let announced = match framing {
        BodyFraming::Length(length) => *length,
        _ => 0,
    };
    hold.check(BufferKind::Request, announced + RELAY_WINDOW as u64)?;
    hold.reserve(BufferKind::Request, RELAY_WINDOW)
}

/// Asks the caller for the body, if it waits for that.
fn send_continue(conn: &mut Conn, head: &RequestHead) {
    let expects_continue =
        head.header("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
    if expects_continue {
        // If the caller has disconnected, the following read fails.
        let _ = conn.send(b"HTTP/1.1 100 Continue\r\n\r\n", super::response::CALLER_WRITE_TIMEOUT);
    }
}

/// Returns the team by the key of a request, for which its bytes are held before the request is admitted.
fn team_of(head: &RequestHead, intent: Option<&Intent>) -> Option<TeamName> {
    let team = intent?.teams.holder(head.bearer_token()?)?;
    Some(team.name.clone())
}

/// Returns the refusal of a request that the buffer budget has no room for.
fn no_room(gateway: &Gateway, hold: &BufferHold<'_>, denial: BufferDenial) -> LocalResponse {
    gateway.metrics.refusal(&"", denial.name());
    log::info!(
        "event=buffer_refused reason={} team={} team_held={} held={}",
        denial.name(),
        hold.team(),
        hold.held_by_team(),
        gateway.buffers.total()
    );
    let reason = match denial {
        BufferDenial::Full => {
            "this instance holds as many bytes of bodies as it may; try another one"
        }
        BufferDenial::TeamShare => {
            "this instance holds the team's share of bytes of bodies; try another one"
        }
    };
    LocalResponse::not_run(reason, RETRY_AFTER_NO_ROOM)
}

fn body_refusal(fault: &ReadError) -> LocalResponse {
    if matches!(fault, ReadError::Timeout) {
        return LocalResponse::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time");
    }
    LocalResponse::new(StatusCode::BAD_REQUEST, "the body was cut or is not framed")
}

fn respond(
    gateway: &Gateway,
    conn: &mut Conn,
    head: RequestHead,
    body: Vec<u8>,
    intent: Option<&Intent>,
    received_at: Instant,
) -> ServedRequest {
    let keep_alive = head.keep_alive() && !gateway.drain.is_draining();
    let head_only = head.method == Method::HEAD;
    let target = head.target.clone();
    let id = adapter::headers::request_id(&head).unwrap_or_default().to_owned();
    let admitted = admit(gateway, head, body, intent, received_at);
    match admitted.and_then(|request| refuse_held(gateway, request, received_at)) {
        Ok(request) => {
            gateway.note_request(received_at, &request);
            let (completion, last_attempt) = Forwarding::new(gateway, &request).run(conn);
            request_log::log_completion(gateway, &request, &completion, last_attempt.as_ref());
            ServedRequest { completion: Some(completion), service: request.service.to_string() }
        }
        Err(refusal) => {
            let keep_alive = refusal.send(conn, keep_alive, head_only);
            log::info!(
                "event=refused request={id} status={} reason={:?} target={target:?} version={} \
                 version_age_ms={}",
                refusal.status.as_u16(),
                refusal.reason,
                gateway.cluster_state.version(),
                gateway
                    .cluster_state
                    .intent_age(received_at)
                    .map_or(-1, |age| age.as_millis() as i64)
            );
            ServedRequest {
                completion: Some(refused_completion(&refusal, keep_alive)),
                service: String::new(),
            }
        }
    }
}

/// Refuses a held request: it, or a part of its prompt, crashes the servers that run it. All instances refuse it at once, with the time after
/// which it may be retried.
fn refuse_held(
    gateway: &Gateway,
    request: Request,
    now: Instant,
) -> Result<Request, LocalResponse> {
    let Some(held) = gateway.crash_suspects.held(now, &request) else {
        return Ok(request);
    };
    gateway.note_held(&request, &held);
    let Refusal { reason, retry_after } = held.refusal();
    Err(LocalResponse::not_run(reason, retry_after))
}

/// Decodes a request and finds its route, team and service, or refuses it.
fn admit(
    gateway: &Gateway,
    head: RequestHead,
    body: Vec<u8>,
    intent: Option<&Intent>,
    received_at: Instant,
) -> Result<Request, LocalResponse> {
    let no_intent = |reason| LocalResponse::not_run(reason, RETRY_AFTER_NO_INTENT);
    let Some(intent) = intent else {
        return Err(no_intent("this instance does not know the configuration yet"));
    };
    let metadata = adapter::headers::decode_request(&head)
        .map_err(|error| LocalResponse::new(StatusCode::BAD_REQUEST, error.reason))?;
    let is_fresh = gateway.intent_is_fresh(received_at);
    let deny = |status, reason| {
        if is_fresh {
            LocalResponse::new(status, reason)
        } else {
            no_intent("this instance's configuration may be out of date")
        }
    };
    let host = head.header("host").unwrap_or_default();
    let Some(route) = intent.routes.find(host, &head.target) else {
        return Err(deny(StatusCode::NOT_FOUND, "no route serves this host and path"));
    };
    let team = metadata.key.as_deref().and_then(|key| intent.teams.holder(key));
    if team.is_none() && intent.teams.needs_key() && !route.public {
        return Err(deny(StatusCode::UNAUTHORIZED, "the key is not known; send a team's key"));
    }
    let Some(service) = route.service_for(share_point(route, &metadata)) else {
        return Err(no_intent("the route has no service with a weight above zero"));
    };
    let limit = route.timeout;
    if !gateway.drain.has_time_for(received_at, limit) {
        return Err(LocalResponse::not_run("this instance is leaving", RETRY_AFTER_DRAINING));
    }
    let timeout = metadata.timeout.map_or(limit, |timeout| timeout.min(limit));
    let priority = team.and_then(|team| team.priority).unwrap_or(route.priority);
    let keep_alive = head.keep_alive();
    Ok(Request {
        service: service.clone(),
        team: team.map(|team| team.name.clone()),
        homes: team.map_or_else(|| route.homes.clone(), |team| route.homes.intersect(&team.homes)),
        priority: if priority == u8::MAX { PRIORITY_DEFAULT } else { priority },
        route: route.clone(),
        method: head.method,
        target: head.target,
        headers: head.headers,
        body,
        received_at,
        deadline: gateway.drain.response_due(received_at + timeout),
        keep_alive,
        http10: head.http10,
        version: intent.version,
        metadata,
    })
}

/// Returns the hash that selects one of a route's services: requests with a shared prompt go to the same one, the
/// others are distributed by their ids, and a resumed stream by the id of its first attempt.
fn share_point(route: &Route, metadata: &RequestMetadata) -> u64 {
    match metadata.affinity {
        Some(key) if route.affinity => ChatKey::of(&[&route.name, &key.to_string()]).0,
        _ => ChatKey::of(&[metadata.resumes.as_ref().unwrap_or(&metadata.id)]).0,
    }
}
