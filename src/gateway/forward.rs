//! A request's way to a backend server: picking, sending, trying again, and the final answer.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};

use super::{
    Gateway,
    attempts::{Attempts, Refusal},
    in_flight::{Completion, InFlightGuard, LastAttempt, OpenResponse},
    request::{AttemptHeaders, Request},
    response::{CALLER_STALL, ResponseMetadata},
    server_call::{self, HeadWait, ServerResponse},
    stall_timer::StallTimer,
    stream,
};
use crate::{
    adapter,
    contract::outcome::{AttemptFault, Outcome},
    link::{
        answer::{AnswerNote, send_whole},
        http1::Conn,
    },
    routing::{AnswerSeen, AnswerTimes, Incarnation, Picked, RouteKind, Wanted},
    utils::sync::lock,
};

/// Least time that an idempotent request is given at one server before another is tried.
const PATIENCE_MIN: Duration = Duration::from_millis(250);

/// Times a stream's target latency after which another server is tried, where that may be: a full
/// server is late by less, and callers give up after four times the target.
const FIRST_EVENT_TARGETS: u32 = 2;

/// Time since its first event after which a server has run a request without ending of it: ends by a request came 40 to
/// 104 ms after the server began to run it.
const RAN_ON: Duration = Duration::from_millis(500);

/// Part of the retry budget that repeats for slowness leave to repeats for failures.
const SLOWNESS_RESERVE: f64 = 0.5;

/// A whole answer of a server.
struct BufferedResponse {
    status: StatusCode,
    headers: http::HeaderMap,
    body: Vec<u8>,
}

/// A request on its way.
pub struct Forwarding<'a> {
    /// The instance.
    pub gateway: &'a Gateway,
    /// The request.
    pub request: &'a Request,
    attempts: Attempts,
    last_failure: Option<BufferedResponse>,
    /// Why it was refused without being sent.
    pub(super) refused: Option<Refusal>,
    /// Cold servers that do not take it.
    denied: Vec<Incarnation>,
    last_attempt: Option<LastAttempt>,
    /// When it last went out.
    sent_at: Option<Instant>,
}

impl<'a> Forwarding<'a> {
    /// Returns a request that has not been sent anywhere.
    pub fn new(gateway: &'a Gateway, request: &'a Request) -> Forwarding<'a> {
        Forwarding {
            gateway,
            request,
            attempts: Attempts::default(),
            last_failure: None,
            refused: None,
            denied: Vec::new(),
            last_attempt: None,
            sent_at: None,
        }
    }

    /// Carries the request through and answers the caller on `conn`.
    pub fn run(mut self, conn: &mut Conn) -> (Completion, Option<LastAttempt>) {
        let done = self.carry(conn);
        (done, self.last_attempt)
    }

    fn carry(&mut self, conn: &mut Conn) -> Completion {
        loop {
            let Some(opened) = self.open(Some(conn), None) else { return self.give_up(conn) };
            let streams = self.request.route.kind.is_stream();
            if streams && opened.answer.head.status.is_success() {
                match stream::pass(self, conn, opened) {
                    Some(done) => return done,
                    None => continue,
                }
            }
            if let Some(done) = self.pass_whole(conn, opened) {
                return done;
            }
        }
    }

    /// Sends the request until a server answers with a head; `None` where no more tries are left.
    ///
    /// `last_event_id` is the last event of a stream that the caller has.
    pub fn open(
        &mut self,
        caller: Option<&Conn>,
        last_event_id: Option<&str>,
    ) -> Option<OpenResponse<'a>> {
        while self.may_try_again() {
            let now = self.gateway.clock.now();
            if now >= self.request.deadline {
                self.attempts.out_of_time();
                return None;
            }
            let wanted = Wanted {
                service: &self.request.service,
                affinity: self.request.affinity(),
                spread: self.request.spread(),
                tried: self.attempts.servers(),
                denied: &self.denied,
                homes: &self.request.homes,
                admission: (!self.attempts.may_have_run()).then_some(self.request.priority),
            };
            let (picked, flight) = match self.gateway.pick(now, &wanted) {
                Ok(picked) => picked,
                Err(why) => {
                    self.note_pick_error(now, why, wanted.draw());
                    return None;
                }
            };
            if !self.gateway.may_send(&picked) {
                self.denied.push(picked.server.id.clone());
                continue;
            }
            if !self.budget_allows(now, &picked) {
                return None;
            }
            match self.attempt(caller, &picked, flight, last_event_id) {
                Ok(opened) => return Some(opened),
                Err(fault) => self.note_fault(&picked, fault),
            }
        }
        None
    }

    /// Notes that a request that reached a server failed there.
    pub fn note_fault(&mut self, picked: &Picked, fault: AttemptFault) {
        let now = self.gateway.clock.now();
        let server = &picked.server.id;
        let mut picker = lock(&self.gateway.picker);
        match fault {
            AttemptFault::Connect => picker.unreachable(now, server),
            AttemptFault::CallerGone | AttemptFault::Withheld | AttemptFault::BeforeSend => {}
            // A refusal counts too: each further request there would spend a repeat.
            _ => picker.bad(now, server),
        }
        drop(picker);
        self.note_version_fault(picked, fault);
        self.attempts.failed(server, fault);
        if fault.ends_connection() {
            self.note_lost(picked);
        }
        self.gateway.metrics.attempt(&self.request.service, Some(fault));
        if fault != AttemptFault::CallerGone {
            let ended = if fault.ends_connection() {
                format!(" digest={} ran_on={}", self.request.digest(), self.has_run_on())
            } else {
                String::new()
            };
            log::info!(
                "event=attempt_failed request={} server={} rank={} load={:.1} fault={fault:?} \
                 outcome={} arrivals={}{ended}",
                self.request.metadata.id,
                server,
                picked.rank,
                picked.load,
                fault.outcome(),
                self.attempts.arrivals()
            );
        }
    }

    /// Notes what a fault says of the version of the server's software: connections fail for reasons of the machine or
    /// the network too, and say nothing.
    fn note_version_fault(&self, picked: &Picked, fault: AttemptFault) {
        let now = self.gateway.clock.now();
        let waited = self.sent_at.map(|at| now.saturating_duration_since(at));
        let seen = match (fault, waited) {
            (AttemptFault::Garbage, _) => AnswerSeen::Failed,
            (AttemptFault::HeadTimeout, Some(waited)) => AnswerSeen::Took(waited),
            _ => return,
        };
        self.note_version(picked, seen);
    }

    /// Notes what an answer says of the version of the server's software.
    pub fn note_version(&self, picked: &Picked, seen: AnswerSeen) {
        self.gateway.rollouts.note_answer(&self.request.route.name, &picked.server, seen);
    }

    fn note_lost(&mut self, picked: &Picked) {
        let suspicion = &self.gateway.suspicion;
        suspicion.note_lost(self.gateway, self.request, picked, self.has_run_on());
        if suspicion.ends_here(self.request) {
            self.attempts.hold();
        }
    }

    /// Notes that events have come from the last server.
    pub fn note_running(&mut self) {
        let now = self.gateway.clock.now();
        if let Some(last_attempt) = &mut self.last_attempt {
            last_attempt.running.get_or_insert(now);
        }
    }

    /// Returns whether the last server has run the request for a while.
    fn has_run_on(&self) -> bool {
        let running = self.last_attempt.as_ref().and_then(|last_attempt| last_attempt.running);
        let time = running.map(|since| self.gateway.clock.now().saturating_duration_since(since));
        time.is_some_and(|time| time >= RAN_ON)
    }

    /// Returns whether what is known allows another try.
    pub fn may_try_again(&self) -> bool {
        self.attempts.may_go_on(&self.request.route)
    }

    fn budget_allows(&mut self, now: Instant, picked: &Picked) -> bool {
        if !self.attempts.needs_repeat() {
            return true;
        }
        let reserve = if self.attempts.was_slow() { SLOWNESS_RESERVE } else { 0.0 };
        if self.gateway.take_retry(now, &self.request.service, reserve) {
            self.attempts.repeat_granted();
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
        flight: InFlightGuard<'a>,
        last_event_id: Option<&str>,
    ) -> Result<OpenResponse<'a>, AttemptFault> {
        let (gateway, request) = (self.gateway, self.request);
        let server = &picked.server;
        let once = !request.route.kind.may_run_again();
        let kept = gateway.conns.take(&server.id, once);
        let conn = match kept {
            Some(conn) => conn,
            None => gateway
                .conns
                .connect(server.address, request.deadline)
                .map_err(|_| AttemptFault::Connect)?,
        };
        let now = gateway.clock.now();
        // Another answer of the server may have come while the connection was made.
        if lock(&gateway.picker).forbids_requests(now, &server.id) {
            return Err(AttemptFault::Withheld);
        }
        let outgoing = AttemptHeaders {
            time_left: request.deadline.saturating_duration_since(now),
            server: &server.id.server,
            team: request.team.as_ref(),
            priority: request.priority,
            last_event_id,
            prompt_holder: picked.holder.as_ref().map(|holder| holder.address),
        };
        self.attempts.sent();
        self.sent_at = Some(now);
        gateway.rollouts.note_sent(server);
        self.last_attempt = Some(LastAttempt {
            server: server.id.clone(),
            rank: picked.rank,
            load: picked.load,
            bound: picked.bound,
            arrivals: self.attempts.arrivals(),
            running: None,
            first_byte_after: None,
        });
        // A caller that leaves ends only what may run again or is a stream: ending anything else
        // leaves its outcome in doubt.
        let watched = if request.route.kind == RouteKind::AtMostOnce { None } else { caller };
        let silence = lock(&gateway.picker).overload(&request.service).silence(picked.wait);
        let silence = StallTimer::new(gateway, &server.id, silence.map(|time| now + time));
        let patience = self.patience(now, &server.id);
        let longer = || {
            silence.look();
            if gateway.clock.now() < patience {
                return Some(silence.until(patience));
            }
            self.longer_patience(&server.id)
        };
        let heard =
            |metadata: &ResponseMetadata| gateway.take_notices(request, &server.id, metadata);
        let wait = HeadWait { until: silence.until(patience), longer: &longer, heard: &heard };
        let answer = server_call::send(conn, request, &outgoing, &wait, watched)?;
        silence.ended();
        let head = gateway.clock.now();
        self.take_words(picked, &answer)?;
        Ok(OpenResponse { answer, picked: picked.clone(), flight, sent: now, head })
    }

    /// Acts on what a head says beside the answer.
    fn take_words(&self, picked: &Picked, answer: &ServerResponse) -> Result<(), AttemptFault> {
        let now = self.gateway.clock.now();
        let server = &picked.server;
        let mut picker = lock(&self.gateway.picker);
        if let Some(load) = answer.metadata.load {
            picker.report(now, &server.id, load);
        }
        if answer.metadata.wrong_server {
            drop(picker);
            log::warn!(
                "event=server_replaced request={} server={} address={}",
                self.request.metadata.id,
                server.id,
                server.address
            );
            self.gateway.forget_server(&server.id);
        }
        if answer.metadata.not_run {
            return Err(AttemptFault::Refused);
        }
        if answer.head.status.is_success() && !answer.metadata.signed {
            return Err(AttemptFault::Garbage);
        }
        Ok(())
    }

    /// Returns until when a head is awaited before another server is tried.
    fn patience(&self, now: Instant, server: &Incarnation) -> Instant {
        let route = &self.request.route;
        if !self.could_go_elsewhere(now, server) {
            return self.request.deadline;
        }
        let patience = match route.kind {
            RouteKind::ResumableStream => route.target_latency * FIRST_EVENT_TARGETS,
            _ => route.target_latency.max(PATIENCE_MIN),
        };
        self.request.deadline.min(now + patience)
    }

    /// Returns until when a head is awaited further after the first patience is over; `None` where
    /// another server is to be tried now, or no time is left.
    ///
    /// What was free elsewhere when the wait began, a server or a repeat, may have been taken since.
    fn longer_patience(&self, server: &Incarnation) -> Option<Instant> {
        let now = self.gateway.clock.now();
        if now >= self.request.deadline || self.could_go_elsewhere(now, server) {
            return None;
        }
        Some(self.request.deadline.min(now + PATIENCE_MIN))
    }

    /// Returns whether a request that `server` is slow with could be sent to another one: giving
    /// it up without that would only lose it.
    pub fn could_go_elsewhere(&self, now: Instant, server: &Incarnation) -> bool {
        if !self.attempts.may_go_on_after_this(&self.request.route) {
            return false;
        }
        let mut tried = self.attempts.servers().to_vec();
        tried.push(server.clone());
        let wanted = Wanted {
            service: &self.request.service,
            affinity: None,
            spread: self.request.spread(),
            tried: &tried,
            denied: &self.denied,
            homes: &self.request.homes,
            admission: Some(self.request.priority),
        };
        let other = lock(&self.gateway.picker).pick(now, &wanted).is_ok();
        other && self.gateway.has_retry(now, &self.request.service, SLOWNESS_RESERVE)
    }

    fn pass_whole(&mut self, conn: &mut Conn, opened: OpenResponse<'a>) -> Option<Completion> {
        let times = (opened.sent, opened.head);
        let OpenResponse { mut answer, picked, flight, .. } = opened;
        let caller =
            if self.request.route.kind == RouteKind::AtMostOnce { None } else { Some(&*conn) };
        let body = match answer.whole(self.request.deadline, caller) {
            Ok(body) => body,
            Err(fault) => {
                drop(flight);
                self.note_fault(&picked, fault);
                return self.end_unless_again(conn);
            }
        };
        drop(flight);
        let whole = BufferedResponse {
            status: answer.head.status,
            headers: adapter::answers::passed_on(&answer.head),
            body,
        };
        self.keep_connection(&picked.server.id, answer);
        if whole.status.is_server_error() {
            lock(&self.gateway.picker).bad(self.gateway.clock.now(), &picked.server.id);
            self.note_version(&picked, AnswerSeen::Failed);
            self.attempts.answered_with_error(&picked.server.id);
            log::info!(
                "event=server_error request={} server={} status={}",
                self.request.metadata.id,
                picked.server.id,
                whole.status.as_u16()
            );
            self.last_failure = Some(whole);
            return self.end_unless_again(conn);
        }
        self.note_good(&picked, times.0, times.1);
        let took = times.1.saturating_duration_since(times.0);
        self.note_version(&picked, AnswerSeen::Took(took));
        Some(self.send_whole(conn, &whole, "answered"))
    }

    /// Notes a good answer to a request sent at `sent`, whose head came at `head` and whose end now.
    pub fn note_good(&self, picked: &Picked, sent: Instant, head: Instant) {
        let now = self.gateway.clock.now();
        let times = AnswerTimes {
            head: head.saturating_duration_since(sent),
            rest: now.saturating_duration_since(head),
        };
        let mut picker = lock(&self.gateway.picker);
        picker.good(now, &picked.server.id);
        picker.overload(&self.request.service).note_answer(times, !picked.wait.is_zero());
        drop(picker);
        self.gateway.suspicion.note_answered(now, self.request);
        self.gateway.metrics.attempt(&self.request.service, None);
    }

    fn end_unless_again(&mut self, conn: &mut Conn) -> Option<Completion> {
        if self.may_try_again() { None } else { Some(self.give_up(conn)) }
    }

    /// Keeps the connection of an answer that was read to its end.
    pub fn keep_connection(&self, server: &Incarnation, answer: ServerResponse) {
        let keep_alive_for = answer.metadata.keep_alive_for;
        let Some(conn) = answer.into_reusable() else { return };
        let most = self.gateway.connections_of(&self.request.service);
        self.gateway.conns.keep(server, conn, keep_alive_for, most);
    }

    /// Notes that the caller gets the first bytes of a server's answer now.
    pub fn note_first_byte(&mut self) {
        let took = self.gateway.clock.now().saturating_duration_since(self.request.received_at);
        self.gateway.metrics.first_byte(&self.request.service, took);
        if let Some(last_attempt) = &mut self.last_attempt {
            last_attempt.first_byte_after = Some(took);
        }
    }

    fn send_whole(
        &mut self,
        conn: &mut Conn,
        whole: &BufferedResponse,
        reason: &'static str,
    ) -> Completion {
        self.note_first_byte();
        let keep = self.keep_alive();
        let note = AnswerNote::plain(keep);
        let head_only = self.request.method == Method::HEAD;
        let (headers, body) = (&whole.headers, &whole.body);
        let sent = send_whole(conn, CALLER_STALL, whole.status, headers, &note, body, head_only);
        Completion {
            status: whole.status.as_u16(),
            outcome: Outcome::Run,
            keep: keep && sent.is_ok(),
            reason,
        }
    }

    /// Gives the final answer of a request that no server answered.
    pub fn give_up(&mut self, conn: &mut Conn) -> Completion {
        if self.attempts.caller_left() {
            return Completion {
                status: 0,
                outcome: Outcome::Unknown,
                keep: false,
                reason: "caller left",
            };
        }
        if let Some(whole) = self.last_failure.take() {
            return self.send_whole(conn, &whole, "server error");
        }
        let left = self.request.deadline.saturating_duration_since(self.gateway.clock.now());
        let own = self.attempts.local_response(self.refused, left);
        let keep = self.keep_alive();
        let keep = own.send(conn, keep, self.request.method == Method::HEAD);
        let status = own.status.as_u16();
        Completion { status, outcome: self.attempts.outcome(), keep, reason: own.reason }
    }

    /// Returns whether the caller's connection may serve another request after this one.
    pub fn keep_alive(&self) -> bool {
        self.request.keep_alive && !self.gateway.drain.is_draining()
    }
}
