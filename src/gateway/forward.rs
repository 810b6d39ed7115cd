//! Forwards a request: picks a backend server, sends the request, retries, and responds to the caller.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};

use super::{
    Gateway,
    attempts::{Attempts, Refusal},
    buffers::HeldBody,
    in_flight::{Completion, InFlightGuard, LastAttempt, OpenResponse},
    relay::{self, Collected},
    request::{AttemptHeaders, Request},
    response::{CALLER_WRITE_TIMEOUT, ResponseMetadata},
    server_call::{self, HeadWait, ServerResponse},
    slot_leases::SlotOutcome,
    stall_timer::StallTimer,
    stream,
};
use crate::{
    adapter,
    contract::outcome::{AttemptFault, Outcome},
    link::{
        http1::Conn,
        response::{ResponseOptions, send_response},
    },
    names::Tag,
    routing::{Incarnation, PickRequest, Picked, ResponseObservation, ResponseTimes, RouteKind},
    utils::sync::lock,
};

/// Minimum wait for the response head of an idempotent request before a retry at another server.
const HEAD_WAIT_MIN: Duration = Duration::from_millis(250);

/// Maximum wait for the head of a resumable stream before a retry at another server, in target latencies of the route.
/// A server at capacity is late by less, and callers give up after four target latencies.
const STREAM_HEAD_WAIT_TARGETS: u32 = 2;

/// Time since the first event after which the request is taken not to crash the server: servers crashed by a request
/// did so 40 to 104 ms after they began to run it.
const SURVIVED_AFTER: Duration = Duration::from_millis(500);

/// Fraction of the retry budget that is reserved for retries after failures; retries after slow responses cannot use
/// it.
const FAILURE_RESERVE: f64 = 0.5;

/// A response of a server that was read to its end.
struct BufferedResponse<'g> {
    status: StatusCode,
    headers: http::HeaderMap,
    body: HeldBody<'g>,
}

/// A request that is being forwarded.
pub struct Forwarding<'a> {
    /// The instance.
    pub gateway: &'a Gateway,
    /// The request.
    pub request: &'a Request,
    attempts: Attempts,
    last_failure: Option<BufferedResponse<'a>>,
    /// Why the request was refused without being sent.
    pub(super) refusal: Option<Refusal>,
    /// Cold servers that the request has no permit for.
    denied: Vec<Incarnation>,
    last_attempt: Option<LastAttempt>,
    /// When the request was last sent.
    sent_at: Option<Instant>,
    /// Servers on which a slot was leased although this instance may not use them.
    pub(super) unusable: Vec<Tag>,
    /// Time that was spent waiting for slot brokers that did not respond.
    pub(super) broker_silence: Duration,
}

impl<'a> Forwarding<'a> {
    /// Starts to forward `request`.
    pub fn new(gateway: &'a Gateway, request: &'a Request) -> Forwarding<'a> {
        Forwarding {
            gateway,
            request,
            attempts: Attempts::default(),
            last_failure: None,
            refusal: None,
            denied: Vec::new(),
            last_attempt: None,
            sent_at: None,
            unusable: Vec::new(),
            broker_silence: Duration::ZERO,
        }
    }

    /// Forwards the request and sends the response to the caller on `conn`.
    pub fn run(mut self, conn: &mut Conn) -> (Completion, Option<LastAttempt>) {
        let completion = self.forward(conn);
        (completion, self.last_attempt)
    }

    fn forward(&mut self, conn: &mut Conn) -> Completion {
        loop {
            let Some(open) = self.open(Some(conn), None) else { return self.respond_failed(conn) };
            let is_stream = self.request.route.kind.is_stream();
            if is_stream && open.response.head.status.is_success() {
                match stream::relay(self, conn, open) {
                    Some(completion) => return completion,
                    None => continue,
                }
            }
            if let Some(completion) = self.relay_buffered(conn, open) {
                return completion;
            }
        }
    }

    /// Sends the request until a server responds with a head; `None` if no attempt is left.
    ///
    /// `last_event_id` is the last event of a stream that the caller received.
    pub fn open(
        &mut self,
        caller: Option<&Conn>,
        last_event_id: Option<&str>,
    ) -> Option<OpenResponse<'a>> {
        while self.may_retry() {
            let now = self.gateway.clock.now();
            if now >= self.request.deadline {
                self.attempts.note_deadline_passed();
                return None;
            }
            let lease = match self.acquire_slot(now, caller) {
                SlotOutcome::Alone => None,
                SlotOutcome::Leased(lease) => Some(lease),
                SlotOutcome::Rejected(retry_after) => {
                    self.note_slot_rejected(retry_after);
                    return None;
                }
                SlotOutcome::CallerLeft => {
                    self.attempts.note_caller_left();
                    return None;
                }
            };
            let now = self.gateway.clock.now();
            let pick_request = self.pick_request(lease.as_ref().map(|lease| lease.server));
            let (picked, mut in_flight) = match self.gateway.pick(now, &pick_request) {
                Ok(picked) => picked,
                Err(_) if let Some(lease) = lease => {
                    self.unusable.push(lease.server);
                    continue;
                }
                Err(error) => {
                    self.note_pick_error(now, error, pick_request.draw());
                    return None;
                }
            };
            in_flight.lease = lease;
            if !self.gateway.may_send(&picked) {
                self.denied.push(picked.server.id.clone());
                continue;
            }
            if !self.budget_allows(now, &picked) {
                return None;
            }
            match self.attempt(caller, &picked, in_flight, last_event_id) {
                Ok(open) => return Some(open),
                Err(AttemptFault::LeaseExpired) => {
                    let fault = Some(AttemptFault::LeaseExpired);
                    self.gateway.metrics.attempt(&self.request.service, fault);
                }
                Err(fault) => self.note_fault(&picked, fault),
            }
        }
        None
    }

    /// Returns the parameters of the pick for the next attempt; `leased` is the server on which a slot was leased.
    pub(super) fn pick_request(&self, leased: Option<Tag>) -> PickRequest<'_> {
        PickRequest {
            service: &self.request.service,
            affinity: self.request.affinity(),
            spread: self.request.spread(),
            tried: self.attempts.servers(),
            denied: &self.denied,
            homes: &self.request.homes,
            target: self.request.route.target_latency,
            admission: (!self.attempts.may_have_run()).then(|| self.request.admission_terms()),
            leased,
        }
    }

    /// Records that an attempt at a server failed.
    pub fn note_fault(&mut self, picked: &Picked, fault: AttemptFault) {
        let now = self.gateway.clock.now();
        let server = &picked.server.id;
        let mut picker = lock(&self.gateway.picker);
        match fault {
            AttemptFault::Connect => picker.note_unreachable(now, server),
            AttemptFault::CallerGone | AttemptFault::Withheld | AttemptFault::BeforeSend => {}
            // A refusal counts too: each further request to the server would spend a retry.
            _ => picker.note_failure(now, server),
        }
        drop(picker);
        self.note_version_fault(picked, fault);
        self.attempts.note_failure(server, fault);
        if fault.is_disconnect() {
            self.note_connection_lost(picked);
        }
        self.gateway.metrics.attempt(&self.request.service, Some(fault));
        if fault != AttemptFault::CallerGone {
            let suspect = if fault.is_disconnect() {
                format!(" digest={} ran_on={}", self.request.digest(), self.has_survived())
            } else {
                String::new()
            };
            log::info!(
                "event=attempt_failed request={} server={} rank={} load={:.1} fault={fault:?} \
                 outcome={} arrivals={}{suspect}",
                self.request.metadata.id,
                server,
                picked.rank,
                picked.load,
                fault.outcome(),
                self.attempts.arrivals()
            );
        }
    }

    /// Records a fault as evidence on the server's software version. Failed connections are no evidence, as the machine
    /// or the network can cause them too.
    fn note_version_fault(&self, picked: &Picked, fault: AttemptFault) {
        let now = self.gateway.clock.now();
        let waited = self.sent_at.map(|at| now.saturating_duration_since(at));
        let observation = match (fault, waited) {
            (AttemptFault::Garbage, _) => ResponseObservation::Failed,
            (AttemptFault::HeadTimeout, Some(waited)) => ResponseObservation::Took(waited),
            _ => return,
        };
        self.note_version(picked, observation);
    }

    /// Records a response as evidence on the server's software version.
    pub fn note_version(&self, picked: &Picked, observation: ResponseObservation) {
        self.gateway.rollouts.note_response(&self.request.route.name, &picked.server, observation);
    }

    /// Records that the connection ended while the server may have been running the request, which may have crashed it.
    fn note_connection_lost(&mut self, picked: &Picked) {
        let crash_suspects = &self.gateway.crash_suspects;
        crash_suspects.note_disconnect(self.gateway, self.request, picked, self.has_survived());
        if crash_suspects.forbids_retry(self.request) {
            self.attempts.hold();
        }
    }

    /// Records that events have arrived from the last server.
    pub fn note_running(&mut self) {
        let now = self.gateway.clock.now();
        if let Some(attempt) = &mut self.last_attempt {
            attempt.running_since.get_or_insert(now);
        }
    }

    /// Returns whether the last server has run the request for long enough that the request is unlikely to crash it.
    fn has_survived(&self) -> bool {
        let running = self.last_attempt.as_ref().and_then(|attempt| attempt.running_since);
        let time = running.map(|since| self.gateway.clock.now().saturating_duration_since(since));
        time.is_some_and(|time| time >= SURVIVED_AFTER)
    }

    /// Returns whether another attempt is allowed.
    pub fn may_retry(&self) -> bool {
        self.attempts.may_retry(&self.request.route)
    }

    fn budget_allows(&mut self, now: Instant, picked: &Picked) -> bool {
        if !self.attempts.needs_retry_grant() {
            return true;
        }
        let reserve = if self.attempts.was_slow() { FAILURE_RESERVE } else { 0.0 };
        if self.gateway.take_retry(now, &self.request.service, reserve) {
            self.attempts.note_retry_granted();
            self.gateway.metrics.retry(&self.request.service);
            return true;
        }
        log::info!(
            "event=repeat_denied request={} server={} reason=budget",
            self.request.metadata.id,
            picked.server.id
        );
        false
    }

    fn attempt(
        &mut self,
        caller: Option<&Conn>,
        picked: &Picked,
        in_flight: InFlightGuard<'a>,
        last_event_id: Option<&str>,
    ) -> Result<OpenResponse<'a>, AttemptFault> {
        let (gateway, request) = (self.gateway, self.request);
        let server = &picked.server;
        let once = !request.route.kind.may_run_again();
        let idle = gateway.conns.take(&server.id, once);
        let conn = match idle {
            Some(conn) => conn,
            None => gateway
                .conns
                .connect(server.address, request.deadline)
                .map_err(|_| AttemptFault::Connect)?,
        };
        let now = gateway.clock.now();
        // Another response may have brought a notice of the server while the connection was opened.
        if lock(&gateway.picker).forbids_requests(now, &server.id) {
            return Err(AttemptFault::Withheld);
        }
        // This instance may have been suspended since the grant.
        if in_flight.lease.as_ref().is_some_and(|lease| !lease.is_usable()) {
            return Err(AttemptFault::LeaseExpired);
        }
        let headers = AttemptHeaders {
            time_left: request.deadline.saturating_duration_since(now),
            server: &server.id.server,
            team: request.team.as_ref(),
            priority: request.priority,
            last_event_id,
            prompt_holder: picked.holder.as_ref().map(|holder| holder.address),
        };
        self.attempts.note_sent();
        self.sent_at = Some(now);
        gateway.rollouts.note_sent(server);
        self.last_attempt = Some(LastAttempt {
            server: server.id.clone(),
            rank: picked.rank,
            load: picked.load,
            bound: picked.bound,
            arrivals: self.attempts.arrivals(),
            running_since: None,
            first_byte_after: None,
        });
        let watched_caller = self.watched_caller(caller);
        let stall_after =
            lock(&gateway.picker).admission(&request.service).stall_timeout(picked.wait);
        let stall = StallTimer::new(gateway, &server.id, stall_after.map(|time| now + time));
        let deadline = self.head_deadline(now, &server.id);
        let extend = || {
            stall.check();
            if gateway.clock.now() < deadline {
                return Some(stall.next_check(deadline));
            }
            self.extended_head_deadline(&server.id)
        };
        let on_metadata =
            |metadata: &ResponseMetadata| gateway.take_notices(request, &server.id, metadata);
        let wait = HeadWait {
            deadline: stall.next_check(deadline),
            extend: &extend,
            on_metadata: &on_metadata,
        };
        let response = server_call::send(conn, request, &headers, &wait, watched_caller)?;
        stall.finish();
        let head_at = gateway.clock.now();
        self.take_metadata(picked, &response)?;
        Ok(OpenResponse { response, picked: picked.clone(), in_flight, sent_at: now, head_at })
    }

    /// Returns the caller whose disconnect ends the request. That ends only idempotent requests and streams: ending any
    /// other request would leave its outcome unknown.
    pub(super) fn watched_caller<'c>(&self, caller: Option<&'c Conn>) -> Option<&'c Conn> {
        if self.request.route.kind == RouteKind::AtMostOnce { None } else { caller }
    }

    /// Returns whether a server may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.may_have_run()
    }

    /// Applies the metadata of a response; fails if the response cannot be used.
    fn take_metadata(
        &self,
        picked: &Picked,
        response: &ServerResponse,
    ) -> Result<(), AttemptFault> {
        let now = self.gateway.clock.now();
        let server = &picked.server;
        let mut picker = lock(&self.gateway.picker);
        if let Some(load) = response.metadata.load {
            picker.report(now, &server.id, load);
        }
        if response.metadata.wrong_server {
            drop(picker);
            log::warn!(
                "event=server_replaced request={} server={} address={}",
                self.request.metadata.id,
                server.id,
                server.address
            );
            self.gateway.remove_server(&server.id);
        }
        if response.metadata.not_run {
            return Err(AttemptFault::Refused);
        }
        if response.head.status.is_success() && !response.metadata.sealed {
            return Err(AttemptFault::Garbage);
        }
        Ok(())
    }

    /// Returns how long to wait for the response head before a retry at another server.
    fn head_deadline(&self, now: Instant, server: &Incarnation) -> Instant {
        let route = &self.request.route;
        if !self.could_retry_elsewhere(now, server) {
            return self.request.deadline;
        }
        let wait = match route.kind {
            RouteKind::ResumableStream => route.target_latency * STREAM_HEAD_WAIT_TARGETS,
            _ => route.target_latency.max(HEAD_WAIT_MIN),
        };
        self.request.deadline.min(now + wait)
    }

    /// Returns how much longer to wait for the response head after its first deadline; `None` to retry at another
    /// server now, or if the request is out of time.
    ///
    /// The server or the retry that was available when the wait started may have been used meanwhile.
    fn extended_head_deadline(&self, server: &Incarnation) -> Option<Instant> {
        let now = self.gateway.clock.now();
        if now >= self.request.deadline || self.could_retry_elsewhere(now, server) {
            return None;
        }
        Some(self.request.deadline.min(now + HEAD_WAIT_MIN))
    }

    /// Returns whether a request that is slow at `server` could be retried at another one. Otherwise ending the attempt
    /// would only lose the request.
    pub fn could_retry_elsewhere(&self, now: Instant, server: &Incarnation) -> bool {
        if !self.attempts.may_retry_after_current(&self.request.route) {
            return false;
        }
        let mut tried = self.attempts.servers().to_vec();
        tried.push(server.clone());
        let pick_request = PickRequest {
            service: &self.request.service,
            affinity: None,
            spread: self.request.spread(),
            tried: &tried,
            denied: &self.denied,
            homes: &self.request.homes,
            target: self.request.route.target_latency,
            admission: Some(self.request.admission_terms()),
            leased: None,
        };
        let has_other = lock(&self.gateway.picker).pick(now, &pick_request).is_ok();
        has_other && self.gateway.has_retry(now, &self.request.service, FAILURE_RESERVE)
    }

    /// Reads a response to its end and sends it to the caller; `None` if it failed and another attempt is allowed.
    fn relay_buffered(
        &mut self,
        conn: &mut Conn,
        mut open: OpenResponse<'a>,
    ) -> Option<Completion> {
        let collected = relay::collect(self, conn, &mut open.response);
        let times = (open.sent_at, open.head_at);
        let body = match collected {
            Collected::Whole(body) => body,
            Collected::Partial(body) => return Some(relay::pass_on(self, conn, open, body)),
            Collected::Fault(fault) => {
                let picked = open.picked.clone();
                drop(open);
                self.note_fault(&picked, fault);
                return self.respond_failed_unless_retry(conn);
            }
        };
        let OpenResponse { response, picked, in_flight, .. } = open;
        drop(in_flight);
        let buffered = BufferedResponse {
            status: response.head.status,
            headers: adapter::responses::forwarded_headers(&response.head),
            body,
        };
        self.keep_connection(&picked.server.id, response);
        if buffered.status.is_server_error() {
            self.note_server_error(&picked, buffered.status);
            self.last_failure = Some(buffered);
            return self.respond_failed_unless_retry(conn);
        }
        self.note_answered(&picked, times.0, times.1);
        Some(self.send_buffered(conn, &buffered, "answered"))
    }

    /// Records the end of a response that was passed on to the caller as it came.
    pub fn note_relayed(&mut self, open: OpenResponse<'a>) {
        let OpenResponse { response, picked, in_flight, sent_at, head_at } = open;
        drop(in_flight);
        let status = response.head.status;
        self.keep_connection(&picked.server.id, response);
        if status.is_server_error() {
            self.note_server_error(&picked, status);
        } else {
            self.note_answered(&picked, sent_at, head_at);
        }
    }

    fn note_server_error(&mut self, picked: &Picked, status: StatusCode) {
        lock(&self.gateway.picker).note_failure(self.gateway.clock.now(), &picked.server.id);
        self.note_version(picked, ResponseObservation::Failed);
        self.attempts.note_server_error(&picked.server.id);
        log::info!(
            "event=server_error request={} server={} status={}",
            self.request.metadata.id,
            picked.server.id,
            status.as_u16()
        );
    }

    fn note_answered(&self, picked: &Picked, sent_at: Instant, head_at: Instant) {
        self.note_success(picked, sent_at, head_at);
        let took = head_at.saturating_duration_since(sent_at);
        self.note_version(picked, ResponseObservation::Took(took));
    }

    /// Records a successful response that ends now, to a request sent at `sent_at`, whose head arrived at `head_at`.
    pub fn note_success(&self, picked: &Picked, sent_at: Instant, head_at: Instant) {
        let now = self.gateway.clock.now();
        let times = ResponseTimes {
            head: head_at.saturating_duration_since(sent_at),
            body: now.saturating_duration_since(head_at),
        };
        let mut picker = lock(&self.gateway.picker);
        picker.note_success(now, &picked.server.id);
        picker.admission(&self.request.service).note_response(times, !picked.wait.is_zero());
        drop(picker);
        self.gateway.crash_suspects.note_success(now, self.request);
        self.gateway.metrics.attempt(&self.request.service, None);
    }

    /// Responds to a failed request; `None` if another attempt is allowed.
    fn respond_failed_unless_retry(&mut self, conn: &mut Conn) -> Option<Completion> {
        if self.may_retry() { None } else { Some(self.respond_failed(conn)) }
    }

    /// Returns the connection of a response that was read to its end to the pool.
    pub fn keep_connection(&self, server: &Incarnation, response: ServerResponse) {
        let keep_alive_for = response.metadata.keep_alive_for;
        let Some(conn) = response.into_reusable() else { return };
        let max_connections = self.gateway.max_connections(&self.request.service);
        self.gateway.conns.keep(server, conn, keep_alive_for, max_connections);
    }

    /// Records that the first bytes of a server's response are sent to the caller now.
    pub fn note_first_byte(&mut self) {
        let took = self.gateway.clock.now().saturating_duration_since(self.request.received_at);
        self.gateway.metrics.first_byte(&self.request.service, took);
        if let Some(attempt) = &mut self.last_attempt {
            attempt.first_byte_after = Some(took);
        }
    }

    fn send_buffered(
        &mut self,
        conn: &mut Conn,
        response: &BufferedResponse<'_>,
        reason: &'static str,
    ) -> Completion {
        self.note_first_byte();
        let keep_alive = self.keep_alive();
        let note = ResponseOptions::plain(keep_alive);
        let head_only = self.request.method == Method::HEAD;
        let (headers, body) = (&response.headers, &response.body.bytes);
        relay::prepare_caller(conn, body);
        let sent = send_response(
            conn,
            CALLER_WRITE_TIMEOUT,
            response.status,
            headers,
            &note,
            body,
            head_only,
        );
        Completion {
            status: response.status.as_u16(),
            outcome: Outcome::Run,
            keep_alive: keep_alive && sent.is_ok(),
            reason,
        }
    }

    /// Responds to a request that no server served: with the last server error, if there is one.
    pub fn respond_failed(&mut self, conn: &mut Conn) -> Completion {
        if self.attempts.caller_left() {
            return Completion {
                status: 0,
                outcome: Outcome::Unknown,
                keep_alive: false,
                reason: "caller left",
            };
        }
        if let Some(response) = self.last_failure.take() {
            return self.send_buffered(conn, &response, "server error");
        }
        let time_left = self.request.deadline.saturating_duration_since(self.gateway.clock.now());
        let response = self.attempts.local_response(self.refusal, time_left);
        let keep_alive = self.keep_alive();
        let keep_alive = response.send(conn, keep_alive, self.request.method == Method::HEAD);
        let status = response.status.as_u16();
        Completion { status, outcome: self.attempts.outcome(), keep_alive, reason: response.reason }
    }

    /// Returns whether the caller's connection may serve another request after this one.
    pub fn keep_alive(&self) -> bool {
        self.request.keep_alive && !self.gateway.drain.is_draining()
    }
}
