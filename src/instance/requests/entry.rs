//! The callers' side of an instance: reads requests, has them answered, keeps connections.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::Method;

use crate::{
    contract::outcome::{Outcome, Refusal},
    instance::{
        knowledge::snapshot::{ServiceView, Snapshot},
        requests::{
            forward::{self, Ended},
            request::{Request, split_target},
        },
        shared::Shared,
    },
    link::{
        http1::{BodyFraming, BodyReader, Conn, HeadError, ReadError, RequestHead},
        listener::lingering_close,
        response::{ResponseOptions, RouterHeaders, send_refusal},
    },
    utils::usage::UsageGuard,
};

/// Longest wait for a refused connection's caller to take the answer.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Serves one caller's connection until it ends.
pub fn serve(shared: &Arc<Shared>, mut conn: Conn) {
    while wait_for_request(shared, &mut conn) {
        let began = shared.clock.now();
        let until = began + shared.settings.timeouts.head.0;
        let id = shared.next_request_id();
        match RequestHead::read(&mut conn, shared.settings.limits.head.bytes(), until) {
            Ok(head) => {
                if !serve_request(shared, &mut conn, head, id) {
                    return lingering_close(&mut conn);
                }
            }
            Err(fault) => {
                refuse_head(shared, &mut conn, &fault, id);
                return lingering_close(&mut conn);
            }
        }
    }
}

/// Answers a connection beyond the limit.
pub fn refuse_connection(shared: &Shared, mut conn: Conn) {
    let refusal = Refusal::not_run(
        503,
        "too many connections",
        "this instance has as many connections as it may; try again, or another instance",
    )
    .retry_after(Duration::from_secs(1));
    let note = note(shared.next_request_id(), false);
    // Whether the caller still takes the answer changes nothing here.
    let _ = send_refusal(&mut conn, REFUSAL_TIME, &refusal, &note, false);
}

fn note(request_id: String, keep_alive: bool) -> ResponseOptions {
    let own = RouterHeaders { request_id, outcome: Outcome::NotRun, placement: None };
    ResponseOptions { router_headers: Some(own), keep_alive }
}

/// Waits for the first byte of a request; false when the connection is to end.
fn wait_for_request(shared: &Shared, conn: &mut Conn) -> bool {
    if !conn.buffered().is_empty() {
        return true;
    }
    let until = shared.clock.now() + shared.settings.timeouts.idle.0;
    let idle_ends = || {
        let age = shared.drain.age(shared.clock.now());
        age.is_some_and(|age| age >= shared.settings.timeouts.drain_grace.0)
    };
    conn.fill(until, &mut || !idle_ends()).is_ok()
}

fn refuse_head(shared: &Shared, conn: &mut Conn, fault: &HeadError, id: String) {
    let refusal = match fault {
        HeadError::Read(ReadError::Timeout) => Refusal::not_run(
            408,
            "request too slow",
            format!(
                "the head did not come within {}; send it at once",
                shared.settings.timeouts.head
            ),
        ),
        HeadError::TooLarge => Refusal::not_run(
            431,
            "head too large",
            format!(
                "the head may have {}; send fewer or shorter headers",
                shared.settings.limits.head
            ),
        ),
        HeadError::Invalid(what) => Refusal::not_run(400, "bad request", *what),
        HeadError::UnsupportedCoding => {
            Refusal::not_run(501, "unknown transfer coding", fault.to_string())
        }
        HeadError::Read(_) => return,
    };
    refuse(shared, conn, &refusal, id, "-", shared.clock.now(), false, false);
}

/// Serves one request; returns whether the connection may carry another.
fn serve_request(shared: &Arc<Shared>, conn: &mut Conn, head: RequestHead, id: String) -> bool {
    let began = shared.clock.now();
    let keep_alive = head.keep_alive() && !shared.drain.is_draining();
    let head_only = head.method == Method::HEAD;
    let service_name = split_target(&head.target).0.to_owned();
    shared.metrics.request_started();
    let done = take_in(shared, conn, head, &id, began);
    let team = done
        .as_ref()
        .map_or_else(|_| "-".to_owned(), |t| t.snapshot.team_id(t.team_tag).to_string());
    let (ended, body_read) = match done {
        Ok(taken) => {
            let note = note(id.clone(), keep_alive);
            (
                forward::run(
                    shared,
                    conn,
                    &taken.snapshot,
                    taken.service(),
                    &taken.team_tag,
                    &taken.request,
                    note,
                ),
                true,
            )
        }
        Err(refused) => (Ended::Refused(refused.refusal), refused.body_read),
    };
    match ended {
        Ended::Answered { status, outcome, reusable, server } => {
            let took = shared.clock.now() - began;
            shared.metrics.request_finished(&service_name, status, outcome, took);
            let server = server.map_or_else(|| "-".to_owned(), |id| id.to_string());
            log::info!(
                "request id={id} service={service_name} team={team} backend_server={server} status={status} outcome={outcome} ms={}",
                took.as_millis()
            );
            reusable && keep_alive
        }
        Ended::Refused(refusal) => {
            let keep_alive = keep_alive && body_read;
            refuse(shared, conn, &refusal, id, &service_name, began, keep_alive, head_only)
        }
    }
}

#[expect(clippy::too_many_arguments, reason = "one answer, described in full")]
fn refuse(
    shared: &Shared,
    conn: &mut Conn,
    refusal: &Refusal,
    id: String,
    service: &str,
    began: Instant,
    keep_alive: bool,
    head_only: bool,
) -> bool {
    let stall = shared.settings.timeouts.slow_reader.0;
    let sent = send_refusal(conn, stall, refusal, &note(id.clone(), keep_alive), head_only);
    let took = shared.clock.now() - began;
    if service != "-" {
        let known = shared.snapshot.load().as_ref().is_some_and(|s| s.service(service).is_some());
        let label = if known { service } else { "-" };
        shared.metrics.request_finished(label, refusal.status, refusal.outcome, took);
    }
    log::info!(
        "refused id={id} service={service} status={} outcome={} title={:?} ms={}",
        refusal.status,
        refusal.outcome,
        refusal.title,
        took.as_millis()
    );
    keep_alive && sent.is_ok()
}

/// A request taken in, with the limits it holds.
struct Taken<'s> {
    request: Request,
    snapshot: Arc<Snapshot>,
    service_name: String,
    team_tag: crate::names::Tag,
    _usage: UsageGuard<'s>,
}

impl Taken<'_> {
    fn service(&self) -> &ServiceView {
        self.snapshot
            .service(&self.service_name)
            .expect("the snapshot has the service it was looked up in")
    }
}

/// A request that is not sent on.
struct NotTaken {
    refusal: Refusal,
    body_read: bool,
}

impl NotTaken {
    fn unread(refusal: Refusal) -> NotTaken {
        NotTaken { refusal, body_read: false }
    }
}

/// Checks a request against the file in force and reads its body.
fn take_in<'s>(
    shared: &'s Shared,
    conn: &mut Conn,
    head: RequestHead,
    id: &str,
    now: Instant,
) -> Result<Taken<'s>, NotTaken> {
    let framing = head.framing().map_err(|fault| {
        let status = if matches!(fault, HeadError::UnsupportedCoding) { 501 } else { 400 };
        NotTaken::unread(Refusal::not_run(status, "bad request", fault.to_string()))
    })?;
    let bodiless = framing == BodyFraming::Length(0);
    let not_taken = |refusal| NotTaken { refusal, body_read: bodiless };
    let Some(snapshot) = shared.snapshot.load_full() else {
        let refusal = Refusal::not_run(
            503,
            "not ready",
            "this instance has no configuration yet; try another",
        );
        return Err(not_taken(refusal.retry_after(Duration::from_secs(1))));
    };
    if matches!(head.method, Method::CONNECT | Method::TRACE) {
        return Err(not_taken(Refusal::not_run(
            405,
            "method not allowed",
            "CONNECT and TRACE are not passed on",
        )));
    }
    let team = head.bearer_token().and_then(|key| snapshot.team_of_key(key)).cloned();
    let Some(team) = team else {
        return Err(not_taken(Refusal::not_run(
            401,
            "unknown team",
            "send a team's key as Authorization: Bearer KEY",
        )));
    };
    let service_name = split_target(&head.target).0.to_owned();
    let Some(view) = snapshot.service(&service_name) else {
        let detail = format!(
            "no service is called {service_name:?}; the path starts with the service's name"
        );
        return Err(not_taken(Refusal::not_run(404, "unknown service", detail)));
    };
    let Some(mut usage) = shared.usage.enter(shared.settings.limits.requests) else {
        let detail = "this instance has as many requests in flight as it may; try again, or another instance";
        let refusal = Refusal::not_run(503, "too many requests in flight", detail);
        return Err(not_taken(refusal.retry_after(Duration::from_secs(1))));
    };
    let body = read_body(shared, conn, &head, framing, &mut usage).map_err(NotTaken::unread)?;
    let after_body = if bodiless { now } else { shared.clock.now() };
    let request = Request::new(id.to_owned(), head, body, &view.service, &team, after_body)
        .map_err(|refusal| NotTaken { refusal, body_read: true })?;
    let team_tag = team.id.tag();
    Ok(Taken { request, snapshot: Arc::clone(&snapshot), service_name, team_tag, _usage: usage })
}

fn read_body(
    shared: &Shared,
    conn: &mut Conn,
    head: &RequestHead,
    framing: BodyFraming,
    usage: &mut UsageGuard<'_>,
) -> Result<Vec<u8>, Refusal> {
    let limits = &shared.settings.limits;
    let too_large = || {
        Refusal::not_run(
            413,
            "body too large",
            format!("a body may have {}; send a smaller one", limits.body),
        )
    };
    let expected = match framing {
        BodyFraming::Length(0) => return Ok(Vec::new()),
        BodyFraming::Length(length) if length > limits.body.0 => return Err(too_large()),
        BodyFraming::Length(length) => length,
        _ => limits.body.0,
    };
    if !usage.reserve(expected, limits.buffered.0) {
        let detail =
            "this instance holds as many bytes of bodies as it may; try again, or another instance";
        return Err(Refusal::not_run(503, "no room for the body", detail)
            .retry_after(Duration::from_secs(1)));
    }
    if head.header("expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue")) {
        let stall = shared.settings.timeouts.slow_reader.0;
        // A caller that is gone is noticed when its body does not come.
        let _ = conn.send(b"HTTP/1.1 100 Continue\r\n\r\n", stall);
    }
    let until = shared.clock.now() + shared.settings.timeouts.body.0;
    let mut reader = BodyReader::new(framing);
    reader.read_all(conn, limits.body.bytes(), until).map_err(|fault| match fault {
        ReadError::TooLarge => too_large(),
        ReadError::Timeout => Refusal::not_run(
            408,
            "request too slow",
            format!(
                "the body did not come within {}; send it faster",
                shared.settings.timeouts.body
            ),
        ),
        other => Refusal::not_run(400, "bad body", other.to_string()),
    })
}
