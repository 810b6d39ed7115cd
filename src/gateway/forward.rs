//! Forwards a request: picks a backend server, sends the request, retries, and responds to the caller.

use std::time::{Duration, Instant};

use super::{
    Gateway,
    attempt_results::PART_SURVIVED_AFTER,
    attempts::{Attempts, Refusal},
    in_flight::{Completion, InFlightGuard, LastAttempt, OpenResponse},
    relay::{self, Collected},
    request::{AttemptHeaders, Request},
    responding::BufferedResponse,
    response::ResponseMetadata,
    server_call::{self, HeadWait, ServerResponse},
    server_path::ServerPath,
    slot_leases::{SlotLease, SlotOutcome},
    stall_timer::StallTimer,
    stream,
};
use crate::{
    adapter,
    contract::outcome::AttemptFault,
    link::http1::Conn,
    names::Tag,
    routing::{Incarnation, PickRequest, Picked, RouteKind, VersionRule},
    utils::sync::lock,
};

/// Fraction of the retry budget that is reserved for retries after failures; retries after slow responses cannot use
/// it.
pub(super) const FAILURE_RESERVE: f64 = 0.5;

/// No attempt is left, or the request was refused.
struct NoAttempt;

/// A request that is being forwarded.
pub struct Forwarding<'a> {
    /// The instance.
    pub gateway: &'a Gateway,
    /// The request.
    pub request: &'a Request,
    pub(super) attempts: Attempts,
    pub(super) last_failure: Option<BufferedResponse<'a>>,
    /// Why the request was refused without being sent.
    pub(super) refusal: Option<Refusal>,
    /// Cold servers that the request has no permit for.
    pub(super) denied: Vec<Incarnation>,
    pub(super) last_attempt: Option<LastAttempt>,
    /// Path of the current attempt.
    pub(super) path: ServerPath,
    /// When the request was last sent.
    pub(super) sent_at: Option<Instant>,
    /// Software versions that may run the request.
    pub(super) version: VersionRule,
    /// Whether the version that began the stream was recorded.
    pub(super) is_recorded: bool,
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
            path: ServerPath::Direct,
            sent_at: None,
            version: VersionRule::Any,
            is_recorded: false,
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
        if !self.bind_resumption() {
            return self.respond_failed(conn);
        }
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
            let lease = self.lease_if_needed(now, caller).ok()?;
            let Some((picked, in_flight)) = self.pick_server(lease).ok()? else { continue };
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

    /// Returns the lease of a slot for the next attempt, if it needs one.
    fn lease_if_needed(
        &mut self,
        now: Instant,
        caller: Option<&Conn>,
    ) -> Result<Option<SlotLease<'a>>, NoAttempt> {
        match self.acquire_slot(now, caller) {
            SlotOutcome::Alone => return Ok(None),
            SlotOutcome::Leased(lease) => return Ok(Some(lease)),
            SlotOutcome::Rejected(retry_after) => self.note_slot_rejected(retry_after),
            SlotOutcome::CallerLeft => self.attempts.note_caller_left(),
            SlotOutcome::Held => {
                self.refuse_if_held(now);
            }
        }
        Err(NoAttempt)
    }

    /// Picks the server of the next attempt. Returns `None` if this server may not be used, but another one may.
    fn pick_server(
        &mut self,
        lease: Option<SlotLease<'a>>,
    ) -> Result<Option<(Picked, InFlightGuard<'a>)>, NoAttempt> {
        let now = self.gateway.clock.now();
        let pick_request = self.pick_request(lease.as_ref().map(|lease| lease.server));
        let (picked, mut in_flight) = match self.gateway.pick(now, &pick_request) {
            Ok(picked) => picked,
            Err(_) if let Some(lease) = lease => {
                self.unusable.push(lease.server);
                return Ok(None);
            }
            Err(error) => {
                self.note_pick_error(now, error, pick_request.draw());
                return Err(NoAttempt);
            }
        };
        in_flight.lease = lease;
        if !self.gateway.may_send(&picked) {
            self.denied.push(picked.server.id.clone());
            return Ok(None);
        }
        if self.budget_allows(now, &picked) {
            Ok(Some((picked, in_flight)))
        } else {
            Err(NoAttempt)
        }
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
            version: &self.version,
            target: self.request.route.target_latency,
            admission: (!self.attempts.may_have_run()).then(|| self.request.admission_terms()),
            leased,
        }
    }

    /// Records that events have arrived from the last server.
    pub fn note_running(&mut self) {
        let now = self.gateway.clock.now();
        let Some(attempt) = &mut self.last_attempt else { return };
        let began = *attempt.running_since.get_or_insert(now);
        if !attempt.has_survived && now.saturating_duration_since(began) >= PART_SURVIVED_AFTER {
            attempt.has_survived = true;
            self.gateway.crash_suspects.note_answered(now, self.request, began);
        }
    }

    /// Returns when the first events arrived from the last server.
    pub fn began(&self) -> Option<Instant> {
        self.last_attempt.as_ref().and_then(|attempt| attempt.running_since)
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
        let conn = self.connect(picked)?;
        let now = gateway.clock.now();
        // The verdict may have come while the request waited for a slot, a connection or another server.
        if self.refuse_if_held(now) {
            return Err(AttemptFault::Withheld);
        }
        // The list or another response may have said that the server leaves while the connection was opened, or while this
        // instance was suspended.
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
        self.note_sent(now, picked);
        let response = self.send(conn, caller, picked, now, &headers)?;
        let head_at = gateway.clock.now();
        self.take_metadata(picked, &response)?;
        Ok(OpenResponse { response, picked: picked.clone(), in_flight, sent_at: now, head_at })
    }

    /// Refuses the request if it is held by now; returns whether it is.
    fn refuse_if_held(&mut self, now: Instant) -> bool {
        let Some(held) = self.gateway.crash_suspects.held(now, self.request) else { return false };
        self.gateway.note_held(self.request, &held);
        self.refusal = Some(held.refusal());
        self.attempts.hold();
        true
    }

    /// Records that the request is sent to the picked server now.
    fn note_sent(&mut self, now: Instant, picked: &Picked) {
        self.attempts.note_sent();
        self.sent_at = Some(now);
        self.gateway.rollouts.note_sent(&picked.server);
        self.last_attempt = Some(LastAttempt {
            server: picked.server.id.clone(),
            software: picked.server.version_text().to_owned(),
            rank: picked.rank,
            load: picked.load,
            counts_age: picked.counts_age,
            instances: lock(&self.gateway.picker).position().instances,
            bound: picked.bound,
            arrivals: self.attempts.arrivals(),
            running_since: None,
            has_survived: false,
            first_byte_after: None,
            body_end: None,
            path: self.path.clone(),
        });
    }

    /// Sends the request on `conn` and waits for the response head.
    fn send(
        &self,
        conn: Conn,
        caller: Option<&Conn>,
        picked: &Picked,
        now: Instant,
        headers: &AttemptHeaders<'_>,
    ) -> Result<ServerResponse, AttemptFault> {
        let (gateway, request) = (self.gateway, self.request);
        let server = &picked.server;
        let stall_after =
            lock(&gateway.picker).admission(&request.service).stall_timeout(picked.wait);
        let stalls_at = stall_after.map(|time| now + time);
        let stall = StallTimer::new(gateway, server, self.path.is_direct(), stalls_at);
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
        let caller = self.watched_caller(caller);
        let response = server_call::send(conn, request, headers, &wait, caller)?;
        stall.finish();
        Ok(response)
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
        self.note_body_end(&response);
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
        self.note_prompt_answered(buffered.status, times.1);
        self.note_answered(&picked, times.0, times.1);
        Some(self.send_buffered(conn, &buffered, "answered"))
    }

    /// Records the end of a response that was passed on to the caller as it came.
    pub fn note_relayed(&mut self, open: OpenResponse<'a>) {
        let OpenResponse { response, picked, in_flight, sent_at, head_at } = open;
        drop(in_flight);
        let status = response.head.status;
        self.note_body_end(&response);
        self.keep_connection(&picked.server.id, response);
        if status.is_server_error() {
            self.note_server_error(&picked, status);
        } else {
            self.note_prompt_answered(status, head_at);
            self.note_answered(&picked, sent_at, head_at);
        }
    }

    /// Returns the connection of a response that was read to its end to the pool.
    pub fn keep_connection(&self, server: &Incarnation, response: ServerResponse) {
        // Only its first request may use a tunnel: the instance in between cannot tell an idle one from one in use.
        if !self.path.is_direct() {
            return;
        }
        let keep_alive_for = response.metadata.keep_alive_for;
        let Some(conn) = response.into_reusable() else { return };
        let max_connections = self.gateway.max_connections(&self.request.service);
        self.gateway.conns.keep(server, conn, keep_alive_for, max_connections);
    }

    /// Records how the body of a response has ended.
    pub fn note_body_end(&mut self, response: &ServerResponse) {
        let Some(end) = response.end() else { return };
        self.gateway.metrics.response_end(&self.request.service, end);
        if let Some(attempt) = &mut self.last_attempt {
            attempt.body_end = Some(end);
        }
    }
}
