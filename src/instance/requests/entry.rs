//! Callers' connections: reads requests, forwards or rejects them, and keeps connections open.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::Method;

use crate::{
    contract::outcome::{Outcome, Refusal},
    instance::{
        cluster_state::snapshot::{ServiceView, Snapshot},
        requests::{
            forward::{self, ForwardResult},
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

/// Time within which the caller of a rejected connection must take the response.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves one caller's connection until it is closed.
pub fn serve(shared: &Arc<Shared>, mut conn: Conn) {
    while wait_for_request(shared, &mut conn) {
        let received_at = shared.clock.now();
        let deadline = received_at + shared.settings.timeouts.head.0;
        let id = shared.next_request_id();
        match RequestHead::read(&mut conn, shared.settings.limits.head.bytes(), deadline) {
            Ok(head) => {
                if !serve_request(shared, &mut conn, head, id) {
                    return lingering_close(&mut conn);
                }
            }
            Err(error) => {
                reject_head(shared, &mut conn, &error, id);
                return lingering_close(&mut conn);
            }
        }
    }
}

/// Rejects a connection beyond the limit.
pub fn reject_connection(shared: &Shared, mut conn: Conn) {
    let refusal = Refusal::not_run(
        503,
        "too many connections",
        "this instance has as many connections as it may; try again, or another instance",
    )
    .retry_after(Duration::from_secs(1));
    let options = response_options(shared.next_request_id(), false);
    // The connection is closed whether or not the caller takes the response.
    let _ = send_refusal(&mut conn, REJECTION_TIMEOUT, &refusal, &options, false);
}

fn response_options(request_id: String, keep_alive: bool) -> ResponseOptions {
    let router_headers = RouterHeaders { request_id, outcome: Outcome::NotRun, placement: None };
    ResponseOptions { router_headers: Some(router_headers), keep_alive }
}

/// Waits for the first byte of a request; returns false when the connection is to be closed.
fn wait_for_request(shared: &Shared, conn: &mut Conn) -> bool {
    if !conn.buffered().is_empty() {
        return true;
    }
    let deadline = shared.clock.now() + shared.settings.timeouts.idle.0;
    let drain_grace_over = || {
        let age = shared.drain.age(shared.clock.now());
        age.is_some_and(|age| age >= shared.settings.timeouts.drain_grace.0)
    };
    conn.fill(deadline, &mut || !drain_grace_over()).is_ok()
}

fn reject_head(shared: &Shared, conn: &mut Conn, error: &HeadError, id: String) {
    let refusal = match error {
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
            Refusal::not_run(501, "unknown transfer coding", error.to_string())
        }
        HeadError::Read(_) => return,
    };
    reject(shared, conn, &refusal, id, "-", shared.clock.now(), false, false);
}

/// Serves one request; returns whether the connection may be reused.
fn serve_request(shared: &Arc<Shared>, conn: &mut Conn, head: RequestHead, id: String) -> bool {
    let received_at = shared.clock.now();
    let keep_alive = head.keep_alive() && !shared.drain.is_draining();
    let head_only = head.method == Method::HEAD;
    let service_name = split_target(&head.target).0.to_owned();
    shared.metrics.request_started();
    let admission = admit(shared, conn, head, &id, received_at);
    let team = admission
        .as_ref()
        .map_or_else(|_| "-".to_owned(), |t| t.snapshot.team_id(t.team_tag).to_string());
    let (result, body_read) = match admission {
        Ok(admitted) => {
            let options = response_options(id.clone(), keep_alive);
            (
                forward::run(
                    shared,
                    conn,
                    &admitted.snapshot,
                    admitted.service(),
                    &admitted.team_tag,
                    &admitted.request,
                    options,
                ),
                true,
            )
        }
        Err(rejected) => (ForwardResult::Rejected(rejected.refusal), rejected.body_read),
    };
    match result {
        ForwardResult::Responded { status, outcome, reusable, server } => {
            let took = shared.clock.now() - received_at;
            shared.metrics.request_finished(&service_name, status, outcome, took);
            let server = server.map_or_else(|| "-".to_owned(), |id| id.to_string());
            log::info!(
                "request id={id} service={service_name} team={team} backend_server={server} status={status} outcome={outcome} ms={}",
                took.as_millis()
            );
            reusable && keep_alive
        }
        ForwardResult::Rejected(refusal) => {
            let keep_alive = keep_alive && body_read;
            reject(shared, conn, &refusal, id, &service_name, received_at, keep_alive, head_only)
        }
    }
}

#[expect(clippy::too_many_arguments, reason = "one response, described in full")]
fn reject(
    shared: &Shared,
    conn: &mut Conn,
    refusal: &Refusal,
    id: String,
    service: &str,
    received_at: Instant,
    keep_alive: bool,
    head_only: bool,
) -> bool {
    let stall = shared.settings.timeouts.slow_reader.0;
    let sent =
        send_refusal(conn, stall, refusal, &response_options(id.clone(), keep_alive), head_only);
    let took = shared.clock.now() - received_at;
    if service != "-" {
        let is_configured =
            shared.snapshot.load().as_ref().is_some_and(|s| s.service(service).is_some());
        let label = if is_configured { service } else { "-" };
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

/// A request that passed all checks, with its share of the limits.
struct AdmittedRequest<'s> {
    request: Request,
    snapshot: Arc<Snapshot>,
    service_name: String,
    team_tag: crate::names::Tag,
    _usage: UsageGuard<'s>,
}

impl AdmittedRequest<'_> {
    fn service(&self) -> &ServiceView {
        self.snapshot
            .service(&self.service_name)
            .expect("the snapshot contains the service of the admitted request")
    }
}

/// A request that is not forwarded.
struct RejectedRequest {
    refusal: Refusal,
    body_read: bool,
}

impl RejectedRequest {
    fn body_unread(refusal: Refusal) -> RejectedRequest {
        RejectedRequest { refusal, body_read: false }
    }
}

/// Checks a request against the active configuration and reads its body.
fn admit<'s>(
    shared: &'s Shared,
    conn: &mut Conn,
    head: RequestHead,
    id: &str,
    received_at: Instant,
) -> Result<AdmittedRequest<'s>, RejectedRequest> {
    let framing = head.framing().map_err(|error| {
        let status = if matches!(error, HeadError::UnsupportedCoding) { 501 } else { 400 };
        RejectedRequest::body_unread(Refusal::not_run(status, "bad request", error.to_string()))
    })?;
    let has_no_body = framing == BodyFraming::Length(0);
    let rejected = |refusal| RejectedRequest { refusal, body_read: has_no_body };
    let Some(snapshot) = shared.snapshot.load_full() else {
        let refusal = Refusal::not_run(
            503,
            "not ready",
            "this instance has no configuration yet; try another",
        );
        return Err(rejected(refusal.retry_after(Duration::from_secs(1))));
    };
    if matches!(head.method, Method::CONNECT | Method::TRACE) {
        return Err(rejected(Refusal::not_run(
            405,
            "method not allowed",
            "CONNECT and TRACE are not passed on",
        )));
    }
    let team = head.bearer_token().and_then(|key| snapshot.team_by_key(key)).cloned();
    let Some(team) = team else {
        return Err(rejected(Refusal::not_run(
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
        return Err(rejected(Refusal::not_run(404, "unknown service", detail)));
    };
    let Some(mut usage) = shared.usage.enter(shared.settings.limits.requests) else {
        let detail = "this instance has as many requests in flight as it may; try again, or another instance";
        let refusal = Refusal::not_run(503, "too many requests in flight", detail);
        return Err(rejected(refusal.retry_after(Duration::from_secs(1))));
    };
    let body = read_body(shared, conn, &head, framing, &mut usage)
        .map_err(RejectedRequest::body_unread)?;
    let body_read_at = if has_no_body { received_at } else { shared.clock.now() };
    let request = Request::new(id.to_owned(), head, body, &view.service, &team, body_read_at)
        .map_err(|refusal| RejectedRequest { refusal, body_read: true })?;
    let team_tag = team.id.tag();
    Ok(AdmittedRequest {
        request,
        snapshot: Arc::clone(&snapshot),
        service_name,
        team_tag,
        _usage: usage,
    })
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
        // If the caller has disconnected, reading the body fails.
        let _ = conn.send(b"HTTP/1.1 100 Continue\r\n\r\n", stall);
    }
    let deadline = shared.clock.now() + shared.settings.timeouts.body.0;
    let mut reader = BodyReader::new(framing);
    reader.read_all(conn, limits.body.bytes(), deadline).map_err(|error| match error {
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
