//! A caller's connection: reads requests, admits them, and answers each.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};

use super::{
    Gateway,
    flight::{Decided, Done},
    forward::Forwarding,
    reply::OwnAnswer,
    request::{Asked, Request},
};
use crate::{
    adapter,
    contract::outcome::Outcome,
    link::{
        http1::{BodyReader, Conn, HeadError, ReadError, RequestHead, body::BodyFraming},
        listener::{ConnOutcome, lingering_close},
    },
    names::TeamName,
    routing::{Intent, Route},
    utils::usage::UsageGuard,
    zone::rendezvous::ChatKey,
};

/// Head and idle limits until the operator's are known.
const HEAD_BYTES_FIRST: usize = 16 << 10;
const HEAD_TIME_FIRST: Duration = Duration::from_secs(3);
const IDLE_TIME_FIRST: Duration = Duration::from_secs(15);

/// How long the first connections wait for an instance that is starting; callers give up on a
/// connection that is not read for a second.
const START_PATIENCE: Duration = Duration::from_millis(300);

/// How long a thread waits for a connection's next request before the connection is left to the watch over idle
/// ones: a new connection's first request comes right behind it.
const BUSY: Duration = Duration::from_millis(20);

/// When to come back to an instance that does not know enough to answer.
const RETRY_AFTER_UNKNOWING: Duration = Duration::from_millis(200);

/// When to come back to an instance that holds as many bytes as it may: bodies are sent on within
/// some hundredths of a second.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(200);

/// When to come back to another instance than one that is leaving: at once.
const RETRY_AFTER_LEAVING: Duration = Duration::from_millis(20);

/// Rank of requests whose route states none: between the most and the least urgent.
const PRIORITY_DEFAULT: u8 = 5;

/// What becomes of a connection after a request.
enum After {
    /// It may carry another request.
    GoesOn,
    /// It ends at once. A request that comes meanwhile is not read, so that its caller may send it
    /// again, also where it may run only once.
    Ends,
    /// It ends after a refusal, while the rest of the refused request may still be coming in.
    EndsUnread,
}

impl After {
    fn of(keep: bool) -> After {
        if keep { After::GoesOn } else { After::Ends }
    }
}

/// Serves a connection as long as one request closely follows the other.
pub fn serve(gateway: &Gateway, mut conn: Conn) -> ConnOutcome {
    // An instance that has just started knows enough within some hundredths of a second.
    gateway.cluster_state.wait_complete(START_PATIENCE);
    loop {
        conn.release_buffer();
        match conn.wait_for_data(gateway.clock.now() + BUSY) {
            Ok(true) => {}
            Ok(false) => return ConnOutcome::Idle(conn),
            Err(_) => return ConnOutcome::Closed,
        }
        match serve_one(gateway, &mut conn) {
            After::GoesOn => {}
            After::Ends => return ConnOutcome::Closed,
            After::EndsUnread => {
                lingering_close(&mut conn);
                return ConnOutcome::Closed;
            }
        }
    }
}

/// Returns until when a caller's connection may wait for its next request that has been idle since then.
pub fn idle_until(gateway: &Gateway, since: Instant) -> Instant {
    let idle_time = gateway.cluster_state.idle_time();
    since + if idle_time.is_zero() { IDLE_TIME_FIRST } else { idle_time }
}

/// Serves one request.
fn serve_one(gateway: &Gateway, conn: &mut Conn) -> After {
    let intent = gateway.cluster_state.intent();
    let limits = intent.as_ref().map(|intent| &intent.limits);
    let head_bytes = limits.map_or(HEAD_BYTES_FIRST, |limits| limits.head_bytes);
    let head_time = limits.map_or(HEAD_TIME_FIRST, |limits| limits.head_time);
    let until = gateway.clock.now() + head_time;
    let head = match RequestHead::read(conn, head_bytes, until) {
        Ok(head) => head,
        Err(fault) => return refuse_head(conn, &fault),
    };
    let began = gateway.clock.now();
    let Some(_busy) = gateway.drain.enter() else {
        // The process is about to end and has not read the body; nothing has run.
        return After::Ends;
    };
    // Only bytes are limited here: connections have a limit of their own.
    let Some(mut usage) = gateway.usage.enter(u32::MAX) else { return After::Ends };
    gateway.metrics.request_began();
    let body_bytes = limits.map_or(usize::MAX, |limits| limits.body_bytes);
    let (outcome, after) = match read_body(gateway, conn, &head, began, body_bytes, &mut usage) {
        Ok(body) => {
            let ended = answer(gateway, conn, head, body, intent.as_deref(), began);
            let after = After::of(ended.done.is_some_and(|done| done.keep));
            (ended, after)
        }
        Err(own) => {
            own.send(conn, false, false);
            log::info!("event=refused status={} reason={:?}", own.status.as_u16(), own.reason);
            let ended = Ended { done: Some(done_of(&own, false)), service: String::new() };
            (ended, After::EndsUnread)
        }
    };
    let took = gateway.clock.now().saturating_duration_since(began);
    let done = outcome.done;
    let status = done.map_or(0, |done| done.status);
    let result = done.map_or(Outcome::Unknown, |done| done.outcome);
    gateway.metrics.request_ended(&outcome.service, status, result, took);
    after
}

struct Ended {
    done: Option<Done>,
    service: String,
}

fn done_of(own: &OwnAnswer, keep: bool) -> Done {
    Done { status: own.status.as_u16(), outcome: Outcome::NotRun, keep, reason: own.reason }
}

fn refuse_head(conn: &mut Conn, fault: &HeadError) -> After {
    let own = match fault {
        HeadError::Read(ReadError::Timeout) => {
            OwnAnswer::new(StatusCode::REQUEST_TIMEOUT, "the head did not come in time")
        }
        HeadError::Read(_) => return After::Ends,
        HeadError::TooLarge => OwnAnswer::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the head is larger than allowed; send fewer or shorter headers",
        ),
        HeadError::Invalid(what) => OwnAnswer::new(StatusCode::BAD_REQUEST, what),
        HeadError::UnsupportedCoding => OwnAnswer::new(
            StatusCode::NOT_IMPLEMENTED,
            "only the transfer coding chunked is understood",
        ),
    };
    log::info!("event=refused status={} reason={:?}", own.status.as_u16(), own.reason);
    own.send(conn, false, false);
    After::EndsUnread
}

fn read_body(
    gateway: &Gateway,
    conn: &mut Conn,
    head: &RequestHead,
    began: Instant,
    most: usize,
    usage: &mut UsageGuard<'_>,
) -> Result<Vec<u8>, OwnAnswer> {
    let too_large = || {
        OwnAnswer::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than allowed; send less")
    };
    let framing = head.framing().map_err(|_| {
        OwnAnswer::new(StatusCode::BAD_REQUEST, "the body's framing is contradictory")
    })?;
    if matches!(framing, BodyFraming::Length(length) if length > most as u64) {
        return Err(too_large());
    }
    let continues = head.header("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
    if continues {
        // A caller that is gone is noticed by the read that follows.
        let _ = conn.send(b"HTTP/1.1 100 Continue\r\n\r\n", super::reply::CALLER_STALL);
    }
    let mut reader = BodyReader::new(framing);
    let idle = gateway.cluster_state.idle_time().max(IDLE_TIME_FIRST);
    let mut body = Vec::new();
    loop {
        let piece = match reader.next_with(conn, |conn| conn.fill_until(began + idle, None)) {
            Ok(Some(piece)) => piece,
            Ok(None) => return Ok(body),
            Err(ReadError::TooLarge) => return Err(too_large()),
            Err(fault) => return Err(cut_body(&fault)),
        };
        if body.len() + piece.len() > most {
            return Err(too_large());
        }
        if !usage.reserve(piece.len() as u64, gateway.settings.body_bytes) {
            return Err(OwnAnswer::not_run(
                "this instance holds as many bytes of bodies as it may; try another one",
                RETRY_AFTER_FULL,
            ));
        }
        body.extend_from_slice(&piece);
    }
}

fn cut_body(fault: &ReadError) -> OwnAnswer {
    if matches!(fault, ReadError::Timeout) {
        return OwnAnswer::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time");
    }
    OwnAnswer::new(StatusCode::BAD_REQUEST, "the body was cut or is not framed")
}

fn answer(
    gateway: &Gateway,
    conn: &mut Conn,
    head: RequestHead,
    body: Vec<u8>,
    intent: Option<&Intent>,
    began: Instant,
) -> Ended {
    let keep = head.keep_alive() && !gateway.drain.is_draining();
    let head_only = head.method == Method::HEAD;
    let target = head.target.clone();
    let id = adapter::headers::request_id(&head).unwrap_or_default().to_owned();
    let admitted = admit(gateway, head, body, intent, began);
    match admitted.and_then(|request| refuse_held(gateway, request, began)) {
        Ok(request) => {
            gateway.note_request(began, &request);
            let (done, decided) = Forwarding::new(gateway, &request).run(conn);
            log_end(gateway, &request, &done, decided.as_ref());
            Ended { done: Some(done), service: request.service.to_string() }
        }
        Err(own) => {
            let keep = own.send(conn, keep, head_only);
            log::info!(
                "event=refused request={id} status={} reason={:?} target={target:?} version={} \
                 version_age_ms={}",
                own.status.as_u16(),
                own.reason,
                gateway.cluster_state.version(),
                gateway.cluster_state.intent_age(began).map_or(-1, |age| age.as_millis() as i64)
            );
            Ended { done: Some(done_of(&own, keep)), service: String::new() }
        }
    }
}

/// Refuses a request that ends the servers that run it: at once, at every instance alike, and with the time after
/// which it may be tried again.
fn refuse_held(gateway: &Gateway, request: Request, now: Instant) -> Result<Request, OwnAnswer> {
    let Some((digest, left)) = gateway.crash_suspects.held(now, &request) else {
        return Ok(request);
    };
    gateway.metrics.refusal(&request.service, "ends_servers");
    log::info!("event=request_held request={} digest={digest}", request.asked.id);
    Err(OwnAnswer::not_run(
        "backend servers ended as they ran this request; it has not run again",
        left,
    ))
}

fn log_end(gateway: &Gateway, request: &Request, done: &Done, decided: Option<&Decided>) {
    let now = gateway.clock.now();
    let millis = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i64);
    let decided = decided.map_or_else(String::new, |d| {
        format!(
            " server={} rank={} load={:.1} bound={:.1} arrivals={} first_ms={}",
            d.server,
            d.rank,
            d.load,
            d.bound,
            d.arrivals,
            millis(d.first)
        )
    });
    log::info!(
        "event=request request={} route={} service={} team={} status={} outcome={} reason={:?} \
         took_ms={} target_ms={} version={} version_age_ms={} servers_age_ms={}{decided}",
        request.asked.id,
        request.route.name,
        request.service,
        request.team.as_ref().map_or("", TeamName::as_str),
        done.status,
        done.outcome,
        done.reason,
        now.saturating_duration_since(request.began).as_millis(),
        request.route.target_latency.as_millis(),
        request.version,
        millis(gateway.cluster_state.intent_age(now)),
        millis(gateway.cluster_state.servers_age(now)),
    );
}

/// Finds out what a request is and whether it may be served.
fn admit(
    gateway: &Gateway,
    head: RequestHead,
    body: Vec<u8>,
    intent: Option<&Intent>,
    began: Instant,
) -> Result<Request, OwnAnswer> {
    let unknowing = |reason| OwnAnswer::not_run(reason, RETRY_AFTER_UNKNOWING);
    let Some(intent) = intent else {
        return Err(unknowing("this instance does not know the configuration yet"));
    };
    let asked = adapter::headers::decode_request(&head)
        .map_err(|bad| OwnAnswer::new(StatusCode::BAD_REQUEST, bad.what))?;
    let sure = gateway.intent_is_fresh(began);
    let deny = |status, reason| {
        if sure {
            OwnAnswer::new(status, reason)
        } else {
            unknowing("this instance's configuration may be out of date")
        }
    };
    let host = head.header("host").unwrap_or_default();
    let Some(route) = intent.routes.find(host, &head.target) else {
        return Err(deny(StatusCode::NOT_FOUND, "no route serves this host and path"));
    };
    let team = asked.key.as_deref().and_then(|key| intent.teams.holder(key));
    if team.is_none() && intent.teams.needs_key() && !route.public {
        return Err(deny(StatusCode::UNAUTHORIZED, "the key is not known; send a team's key"));
    }
    let Some(service) = route.service_for(share_point(route, &asked)) else {
        return Err(unknowing("the route has no service with a weight above zero"));
    };
    let limit = route.timeout;
    if !gateway.drain.has_time_for(began, limit) {
        return Err(OwnAnswer::not_run("this instance is leaving", RETRY_AFTER_LEAVING));
    }
    let deadline = asked.deadline.map_or(limit, |deadline| deadline.min(limit));
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
        began,
        until: began + deadline,
        keep_alive,
        http10: head.http10,
        version: intent.version,
        asked,
    })
}

/// Returns the point that decides among a route's services: requests with a shared prompt stay
/// together, the others are spread by their ids.
fn share_point(route: &Route, asked: &Asked) -> u64 {
    match asked.affinity {
        Some(key) if route.affinity => ChatKey::of(&[&route.name, &key.to_string()]).0,
        _ => ChatKey::of(&[&asked.id]).0,
    }
}
