//! Forwards a request: its claim, a slot at an engine, the attempts, and the response to the caller.

use std::{
    thread,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Method, StatusCode};

use crate::{
    configs::fleet::{BackendServer, ServiceKind, chunks::Digest},
    contract::{
        claim::{Claim, ClaimState, StoredResponse, row_key},
        outcome::{AttemptFault, Outcome, Refusal, RetrySafety, may_retry},
        permit::ReleaseKind,
        retry::{RetryBudget, backoff},
    },
    instance::{
        cluster_state::snapshot::{ServiceView, Snapshot},
        requests::{
            caller_watch::CallerWatch,
            claims::{ClaimDecision, HeldClaim},
            engine_report::EngineReport,
            engine_slot::{self, EngineSlot, SlotError},
            engine_streams, placement_hint, replay,
            request::{CHAT_HEADER, DEADLINE_HEADER, Request},
            response_parts::{
                RESUMABLE_HEADER, error_event, is_event_stream, response_headers, text_headers,
            },
        },
        shared::Shared,
    },
    link::{
        backend::{Attempt, BackendResponse},
        http1::{Conn, conn::ConnState},
        response::{
            ResponseFraming, ResponseOptions, ResponseWriter, SEND_BUFFER_BYTES, send_response,
        },
    },
    names::{BackendId, Tag},
    utils::sync::lock,
};

/// Largest response of known length, in bytes, that is read completely before its first byte is sent to the caller,
/// so that the request can be retried if the response is truncated.
const BUFFERED_MAX: u64 = 256 << 10;

/// Most attempts to resume a stream after its connection was lost.
const RESUMES_MAX: u32 = 3;

/// `Retry-After` of a rejection that has no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a request ended.
pub enum ForwardResult {
    /// A response was sent to the caller, complete or visibly truncated.
    Responded {
        /// Status of the response.
        status: u16,
        /// Whether the request ran.
        outcome: Outcome,
        /// Whether the caller's connection may be reused.
        reusable: bool,
        /// Server that responded; `None` for a stored response.
        server: Option<BackendId>,
    },
    /// Nothing has been sent to the caller: this is to be its response.
    Rejected(Refusal),
}

/// A response that was sent to the caller.
struct SentResponse {
    status: u16,
    outcome: Outcome,
    reusable: bool,
}

impl SentResponse {
    fn with_server(self, server: &BackendServer) -> ForwardResult {
        let SentResponse { status, outcome, reusable } = self;
        ForwardResult::Responded { status, outcome, reusable, server: Some(server.id.clone()) }
    }
}

/// How one attempt ended.
enum AttemptResult {
    /// A response was sent to the caller.
    Responded(SentResponse),
    /// It failed before anything was sent to the caller.
    Failed(AttemptFault),
    /// It failed after the response head, with this status, was sent: the caller sees a truncated response.
    Aborted(AttemptFault, u16),
}

/// A request that is being forwarded, with its context.
struct RequestForwarder<'f> {
    shared: &'f Shared,
    snapshot: &'f Snapshot,
    view: &'f ServiceView,
    team: Tag,
    request: &'f Request,
    options: ResponseOptions,
    claim: Option<HeldClaim>,
}

/// Forwards a request and sends the response, unless the request is rejected.
pub fn run(
    shared: &Shared,
    conn: &mut Conn,
    snapshot: &Snapshot,
    view: &ServiceView,
    team: &Tag,
    request: &Request,
    options: ResponseOptions,
) -> ForwardResult {
    let mut forwarder =
        RequestForwarder { shared, snapshot, view, team: *team, request, options, claim: None };
    if let Some(key) = &request.idempotency_key {
        match forwarder.claim(key) {
            ClaimDecision::Run(held) => forwarder.claim = Some(held),
            ClaimDecision::Replay(response) => {
                return replay::replay(shared, conn, request, &forwarder.options, &response);
            }
            ClaimDecision::Refuse(refusal) => return ForwardResult::Rejected(refusal),
        }
    }
    let result = forwarder.run_attempts(conn);
    forwarder.finish_claim(&result);
    result
}

impl RequestForwarder<'_> {
    fn claim(&self, key: &str) -> ClaimDecision {
        let Request { method, target, body, .. } = self.request;
        let digest =
            Digest::of(&[method.as_str().as_bytes(), target.as_bytes(), body].join(&b'\n'));
        let now = self.shared.clock.wall_millis();
        let time_left = self.request.deadline.saturating_duration_since(self.shared.clock.now());
        let ttl = self.shared.settings.timeouts.claim.0;
        let claim = Claim {
            attempt: self.request.id.clone(),
            request: digest,
            state: ClaimState::Running,
            deadline_at: now + time_left.as_millis() as u64,
            expires_at: now + ttl.as_millis() as u64,
        };
        let team = self.snapshot.team_id(self.team);
        let decision = self.shared.claims.begin(&row_key(&self.view.service.id, team, key), &claim);
        self.shared.metrics.claim(match &decision {
            ClaimDecision::Run(_) => "run",
            ClaimDecision::Replay(_) => "replay",
            ClaimDecision::Refuse(_) => "refuse",
        });
        decision
    }

    /// Releases a claim that no response has closed, or marks its outcome as unknown.
    fn finish_claim(&mut self, result: &ForwardResult) {
        let Some(held) = self.claim.take() else { return };
        let outcome = match result {
            ForwardResult::Responded { outcome, .. } => *outcome,
            ForwardResult::Rejected(refusal) => refusal.outcome,
        };
        let state = if outcome == Outcome::NotRun { None } else { Some(ClaimState::Unknown) };
        self.shared.claims.finish(&held, state);
    }

    /// Makes attempts until a backend server responds or no further attempt is allowed.
    fn run_attempts(&mut self, conn: &mut Conn) -> ForwardResult {
        let service = &self.view.service;
        self.with_retry_budget(RetryBudget::note_request);
        let mut avoid = Vec::new();
        // Whether an earlier attempt may have run the request.
        let mut may_have_run = false;
        for number in 0..service.attempts {
            let slot = match self.acquire_slot(conn, &avoid) {
                Ok(slot) => slot,
                Err(refusal) => {
                    return ForwardResult::Rejected(with_unknown_outcome(refusal, may_have_run));
                }
            };
            let Some(server) = self.snapshot.server(slot.engine()).cloned() else {
                engine_slot::release(self.shared, service, slot, ReleaseKind::Unused, None);
                return ForwardResult::Rejected(with_unknown_outcome(
                    no_backend_server(),
                    may_have_run,
                ));
            };
            let result = self.attempt(conn, &server, number, slot);
            let fault = match result {
                AttemptResult::Responded(response) => return response.with_server(&server),
                AttemptResult::Aborted(fault, status) => {
                    return SentResponse { status, outcome: fault.outcome(), reusable: false }
                        .with_server(&server);
                }
                AttemptResult::Failed(fault) => fault,
            };
            may_have_run |= fault.outcome() != Outcome::NotRun;
            log::warn!(
                "attempt id={} service={} backend_server={} fault={fault:?}",
                self.request.id,
                service.id,
                server.id
            );
            let last = number + 1 == service.attempts;
            if last || !self.prepare_retry(fault, number) {
                return ForwardResult::Rejected(with_unknown_outcome(
                    Refusal::from_fault(fault, DEFAULT_RETRY_AFTER),
                    may_have_run,
                ));
            }
            self.shared.metrics.retry(&service.id);
            avoid.push(server.id.tag());
        }
        ForwardResult::Rejected(with_unknown_outcome(no_backend_server(), may_have_run))
    }

    /// Decides whether to retry, and waits for the back-off time.
    fn prepare_retry(&self, fault: AttemptFault, number: u32) -> bool {
        if !may_retry(fault, self.request.retry_safety, false) {
            return false;
        }
        let pause = backoff(number, fastrand::f64());
        let time_left = self.request.deadline.saturating_duration_since(self.shared.clock.now());
        if pause >= time_left || !self.with_retry_budget(RetryBudget::take) {
            return false;
        }
        thread::sleep(pause);
        true
    }

    fn with_retry_budget<T>(&self, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let service = &self.view.service;
        let mut budgets = lock(&self.shared.budgets);
        let share = service.retry_budget;
        let budget = budgets.entry(service.id.clone()).or_insert_with(|| RetryBudget::new(share));
        budget.set_share(share);
        f(budget)
    }

    fn acquire_slot(&self, conn: &mut Conn, avoid: &[Tag]) -> Result<EngineSlot, Refusal> {
        let watch = &mut CallerWatch::new(self.shared, self.request, self.claim.is_some());
        let keep_waiting = &mut || watch.is_waiting(conn);
        engine_slot::acquire(self.shared, self.view, self.team, self.request, avoid, keep_waiting)
            .map_err(|error| match error {
                SlotError::Rejected(refusal) => refusal,
                SlotError::CallerGone => {
                    Refusal::not_run(499, "caller gone", "the caller went away")
                }
            })
    }

    /// Makes one attempt and releases its slot.
    fn attempt(
        &mut self,
        conn: &mut Conn,
        server: &BackendServer,
        number: u32,
        slot: EngineSlot,
    ) -> AttemptResult {
        let service = &self.view.service;
        let id = format!("{}-{number}", self.request.id);
        let mut report = EngineReport::default();
        let result = self.send_attempt(conn, server, &id, &slot, &mut report);
        let fault = match &result {
            AttemptResult::Responded(_) => None,
            AttemptResult::Failed(fault) | AttemptResult::Aborted(fault, _) => Some(*fault),
        };
        self.shared.metrics.attempt(&service.id, fault);
        if fault == Some(AttemptFault::CallerGone) && report.resumable {
            engine_streams::cancel(self.shared, server, &id);
        }
        let kind = match fault {
            None if report.leaving => ReleaseKind::Leaving,
            None => ReleaseKind::Done,
            Some(AttemptFault::Refused) => ReleaseKind::Refused,
            Some(fault) if fault.counts_against_server() => ReleaseKind::Failed,
            Some(_) => ReleaseKind::Unused,
        };
        engine_slot::release(self.shared, service, slot, kind, report.load);
        result
    }

    fn send_attempt(
        &mut self,
        conn: &mut Conn,
        server: &BackendServer,
        id: &str,
        slot: &EngineSlot,
        report: &mut EngineReport,
    ) -> AttemptResult {
        let request = self.request;
        let time_left = request.deadline.saturating_duration_since(self.shared.clock.now());
        let mut headers = request.headers.clone();
        headers.insert(DEADLINE_HEADER, HeaderValue::from(time_left.as_millis() as u64));
        if let Ok(value) = HeaderValue::from_str(&request.id) {
            headers.insert("cartvane-request-id", value);
        }
        let chat = request.chat.filter(|_| self.view.service.kind == ServiceKind::Model);
        if let Some(value) = chat.and_then(|chat| HeaderValue::from_str(&chat.to_string()).ok()) {
            // Engines identify the chat's context by it when they move it to another engine.
            headers.insert(CHAT_HEADER, value);
        }
        let attempt = Attempt {
            address: server.address,
            method: &request.method,
            target: &request.target,
            headers: &headers,
            body: &request.body,
            id,
            new_connection: request.retry_safety == RetrySafety::AtMostOnce,
            head_deadline: request.deadline,
        };
        let mut watch = CallerWatch::new(self.shared, request, self.claim.is_some());
        let sent = self.shared.backends.send(&attempt, &mut || watch.is_waiting(conn));
        let response = match sent {
            Ok(response) => response,
            Err(fault) => return AttemptResult::Failed(fault),
        };
        report.read(&response);
        if let Some(router_headers) = &mut self.options.router_headers {
            router_headers.placement = chat.map(|chat| {
                placement_hint::encode(
                    &self.shared.settings.credentials.placement,
                    chat,
                    slot.engine(),
                )
            });
            router_headers.outcome = Outcome::Run;
        }
        let fits_buffer = response.content_length().is_some_and(|length| length <= BUFFERED_MAX);
        if fits_buffer || request.method == Method::HEAD || request.http10 {
            self.send_buffered(conn, response, &mut watch)
        } else {
            self.send_streamed(conn, response, server, id)
        }
    }

    /// Reads the complete response, then sends it.
    fn send_buffered(
        &mut self,
        conn: &mut Conn,
        mut response: BackendResponse,
        watch: &mut CallerWatch<'_>,
    ) -> AttemptResult {
        let mut body = Vec::new();
        loop {
            match response.next(self.stall_deadline(), &mut || watch.is_waiting(conn)) {
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => break,
                Err(fault) => return AttemptResult::Failed(fault),
            }
            if self.request.http10 && body.len() > self.shared.settings.limits.body.bytes() {
                return AttemptResult::Failed(AttemptFault::Garbage);
            }
        }
        let status = response.head.status;
        let headers = response_headers(&response.head.headers);
        self.store_response(status, &headers, Some(&body));
        self.shared.backends.finish(response);
        let stall = self.shared.settings.timeouts.slow_reader.0;
        let head_only = self.request.method == Method::HEAD;
        let sent = send_response(conn, stall, status, &headers, &self.options, &body, head_only);
        self.note_first_byte();
        let reusable = sent.is_ok();
        AttemptResult::Responded(SentResponse {
            status: status.as_u16(),
            outcome: Outcome::Run,
            reusable,
        })
    }

    /// Sends the response as it arrives.
    fn send_streamed(
        &mut self,
        conn: &mut Conn,
        mut response: BackendResponse,
        server: &BackendServer,
        id: &str,
    ) -> AttemptResult {
        let status = response.head.status;
        let headers = response_headers(&response.head.headers);
        let events = is_event_stream(&headers);
        let resumable = response.head.header(RESUMABLE_HEADER).is_some();
        let stall = self.shared.settings.timeouts.slow_reader.0;
        let framing = ResponseFraming::Chunked;
        let mut stored_body = self.claim.as_ref().map(|_| Vec::new());
        let mut caller_connected = true;
        conn.limit_send_buffer(SEND_BUFFER_BYTES);
        let started =
            ResponseWriter::start(conn, stall, status, &headers, &self.options, framing, &[]);
        let mut writer = match started {
            Ok(writer) => writer,
            Err(_) => return AttemptResult::Aborted(AttemptFault::CallerGone, status.as_u16()),
        };
        let mut received = 0_u64;
        let mut resumes = 0;
        loop {
            let must_complete = self.claim.is_some();
            let mut is_connected = || must_complete || writer.conn().state() != ConnState::Broken;
            match response.next(self.stall_deadline(), &mut is_connected) {
                Ok(None) => break,
                Ok(Some(piece)) => {
                    if received == 0 {
                        self.note_first_byte();
                    }
                    received += piece.len() as u64;
                    self.store_piece(&mut stored_body, &piece);
                    caller_connected = caller_connected && writer.write(&piece).is_ok();
                    if !caller_connected && self.claim.is_none() {
                        return AttemptResult::Aborted(AttemptFault::CallerGone, status.as_u16());
                    }
                }
                Err(AttemptFault::CallerGone) => {
                    return AttemptResult::Aborted(AttemptFault::CallerGone, status.as_u16());
                }
                Err(fault) => {
                    let resumed = (resumable && resumes < RESUMES_MAX)
                        .then(|| engine_streams::resume(self.shared, server, id, received));
                    resumes += 1;
                    if let Some(Some(resumed_response)) = resumed {
                        response = resumed_response;
                        continue;
                    }
                    let event =
                        if events { error_event(fault, &self.request.id) } else { Vec::new() };
                    writer.abort(&event);
                    return AttemptResult::Aborted(fault, status.as_u16());
                }
            }
        }
        self.store_response(status, &headers, stored_body.as_deref());
        let sent = if caller_connected { writer.finish().is_ok() } else { false };
        self.shared.backends.finish(response);
        AttemptResult::Responded(SentResponse {
            status: status.as_u16(),
            outcome: Outcome::Run,
            reusable: sent,
        })
    }

    /// Returns when the next byte of the response must have arrived.
    fn stall_deadline(&self) -> Instant {
        let stall = self.shared.clock.now() + self.shared.settings.timeouts.stall.0;
        stall.min(self.request.deadline)
    }

    fn note_first_byte(&self) {
        let took = self.shared.clock.now().saturating_duration_since(self.request.received_at);
        self.shared.metrics.first_byte(&self.view.service.id, took);
    }

    fn store_piece(&self, stored_body: &mut Option<Vec<u8>>, piece: &[u8]) {
        let max_bytes = self.shared.settings.limits.stored_answer.bytes();
        if let Some(body) = stored_body {
            body.extend_from_slice(piece);
            if body.len() > max_bytes {
                *stored_body = None;
            }
        }
    }

    /// Closes the claim with the complete response, before its end reaches the caller: from then on a repeated
    /// request gets this response, even if this instance crashes.
    fn store_response(&mut self, status: StatusCode, headers: &HeaderMap, body: Option<&[u8]>) {
        let Some(held) = self.claim.take() else { return };
        let max_bytes = self.shared.settings.limits.stored_answer.bytes();
        let state = match body {
            Some(body) if body.len() <= max_bytes => ClaimState::Done(StoredResponse {
                status: status.as_u16(),
                headers: text_headers(headers),
                body: body.to_vec(),
            }),
            _ => ClaimState::DoneTooLarge,
        };
        self.shared.claims.finish(&held, Some(state));
    }
}

fn with_unknown_outcome(refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run && refusal.outcome == Outcome::NotRun {
        let detail = format!("{}; an earlier attempt may have run it", refusal.detail);
        return Refusal { outcome: Outcome::Unknown, detail, ..refusal };
    }
    refusal
}

fn no_backend_server() -> Refusal {
    Refusal::not_run(
        503,
        "no backend server",
        "no backend server can take the request now; send it again later",
    )
    .retry_after(DEFAULT_RETRY_AFTER)
}
