//! A request's way to a backend server: picking, sending, trying again, and the final answer.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};

use super::{
    Gateway,
    exchange::{self, HeadWait, ServerAnswer},
    flight::{Decided, Done, Flight, Opened},
    reply::{CALLER_STALL, ServerWords},
    request::{Outgoing, Request},
    silence::Silence,
    stream,
    tries::{Refused, Tries},
};
use crate::{
    adapter,
    contract::outcome::{AttemptFault, Outcome},
    link::{
        answer::{AnswerNote, send_whole},
        http1::Conn,
    },
    routing::{Incarnation, PickRequest, Picked, ResponseObservation, ResponseTimes, RouteKind},
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
struct WholeAnswer {
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
    tries: Tries,
    last_failure: Option<WholeAnswer>,
    /// Why it was refused without being sent.
    pub(super) refused: Option<Refused>,
    /// Cold servers that do not take it.
    denied: Vec<Incarnation>,
    decided: Option<Decided>,
    /// When it last went out.
    sent_at: Option<Instant>,
}

impl<'a> Forwarding<'a> {
    /// Returns a request that has not been sent anywhere.
    pub fn new(gateway: &'a Gateway, request: &'a Request) -> Forwarding<'a> {
        Forwarding {
            gateway,
            request,
            tries: Tries::default(),
            last_failure: None,
            refused: None,
            denied: Vec::new(),
            decided: None,
            sent_at: None,
        }
    }

    /// Carries the request through and answers the caller on `conn`.
    pub fn run(mut self, conn: &mut Conn) -> (Done, Option<Decided>) {
        let done = self.carry(conn);
        (done, self.decided)
    }

    fn carry(&mut self, conn: &mut Conn) -> Done {
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
    /// `last_event` is the last event of a stream that the caller has.
    pub fn open(&mut self, caller: Option<&Conn>, last_event: Option<&str>) -> Option<Opened<'a>> {
        while self.may_try_again() {
            let now = self.gateway.clock.now();
            if now >= self.request.until {
                self.tries.out_of_time();
                return None;
            }
            let wanted = PickRequest {
                service: &self.request.service,
                affinity: self.request.affinity(),
                spread: self.request.spread(),
                tried: self.tries.servers(),
                denied: &self.denied,
                homes: &self.request.homes,
                admission: (!self.tries.may_have_run()).then_some(self.request.priority),
            };
            let (picked, flight) = match self.gateway.pick(now, &wanted) {
                Ok(picked) => picked,
                Err(why) => {
                    self.note_unpicked(now, why, wanted.draw());
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
            match self.attempt(caller, &picked, flight, last_event) {
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
            AttemptFault::Connect => picker.note_unreachable(now, server),
            AttemptFault::CallerGone | AttemptFault::Withheld | AttemptFault::BeforeSend => {}
            // A refusal counts too: each further request there would spend a repeat.
            _ => picker.note_failure(now, server),
        }
        drop(picker);
        self.note_version_fault(picked, fault);
        self.tries.failed(server, fault);
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
                self.request.asked.id,
                server,
                picked.rank,
                picked.load,
                fault.outcome(),
                self.tries.arrivals()
            );
        }
    }

    /// Notes what a fault says of the version of the server's software: connections fail for reasons of the machine or
    /// the network too, and say nothing.
    fn note_version_fault(&self, picked: &Picked, fault: AttemptFault) {
        let now = self.gateway.clock.now();
        let waited = self.sent_at.map(|at| now.saturating_duration_since(at));
        let seen = match (fault, waited) {
            (AttemptFault::Garbage, _) => ResponseObservation::Failed,
            (AttemptFault::HeadTimeout, Some(waited)) => ResponseObservation::Took(waited),
            _ => return,
        };
        self.note_version(picked, seen);
    }

    /// Notes what an answer says of the version of the server's software.
    pub fn note_version(&self, picked: &Picked, seen: ResponseObservation) {
        self.gateway.rollouts.note_response(&self.request.route.name, &picked.server, seen);
    }

    fn note_lost(&mut self, picked: &Picked) {
        let crash_suspects = &self.gateway.crash_suspects;
        crash_suspects.note_disconnect(self.gateway, self.request, picked, self.has_run_on());
        if crash_suspects.forbids_retry(self.request) {
            self.tries.hold();
        }
    }

    /// Notes that events have come from the last server.
    pub fn note_running(&mut self) {
        let now = self.gateway.clock.now();
        if let Some(decided) = &mut self.decided {
            decided.running.get_or_insert(now);
        }
    }

    /// Returns whether the last server has run the request for a while.
    fn has_run_on(&self) -> bool {
        let running = self.decided.as_ref().and_then(|decided| decided.running);
        let time = running.map(|since| self.gateway.clock.now().saturating_duration_since(since));
        time.is_some_and(|time| time >= RAN_ON)
    }

    /// Returns whether what is known allows another try.
    pub fn may_try_again(&self) -> bool {
        self.tries.may_go_on(&self.request.route)
    }

    fn budget_allows(&mut self, now: Instant, picked: &Picked) -> bool {
        if !self.tries.needs_repeat() {
            return true;
        }
        let reserve = if self.tries.was_slow() { SLOWNESS_RESERVE } else { 0.0 };
        if self.gateway.take_retry(now, &self.request.service, reserve) {
            self.tries.repeat_granted();
            self.gateway.metrics.retry(&self.request.service);
            return true;
        }
        log::info!(
            "event=repeat_denied request={} server={} reason=budget",
            self.request.asked.id,
            picked.server.id
        );
        false
    }

    fn attempt(
        &mut self,
        caller: Option<&Conn>,
        picked: &Picked,
        flight: Flight<'a>,
        last_event: Option<&str>,
    ) -> Result<Opened<'a>, AttemptFault> {
        let (gateway, request) = (self.gateway, self.request);
        let server = &picked.server;
        let once = !request.route.kind.may_run_again();
        let kept = gateway.conns.take(&server.id, once);
        let conn = match kept {
            Some(conn) => conn,
            None => gateway
                .conns
                .connect(server.address, request.until)
                .map_err(|_| AttemptFault::Connect)?,
        };
        let now = gateway.clock.now();
        // Another answer of the server may have come while the connection was made.
        if lock(&gateway.picker).forbids_requests(now, &server.id) {
            return Err(AttemptFault::Withheld);
        }
        let outgoing = Outgoing {
            left: request.until.saturating_duration_since(now),
            server: &server.id.server,
            team: request.team.as_ref(),
            priority: request.priority,
            last_event,
            prompt_holder: picked.holder.as_ref().map(|holder| holder.address),
        };
        self.tries.sent();
        self.sent_at = Some(now);
        gateway.rollouts.note_sent(server);
        self.decided = Some(Decided {
            server: server.id.clone(),
            rank: picked.rank,
            load: picked.load,
            bound: picked.bound,
            arrivals: self.tries.arrivals(),
            running: None,
            first: None,
        });
        // A caller that leaves ends only what may run again or is a stream: ending anything else
        // leaves its outcome in doubt.
        let watched = if request.route.kind == RouteKind::AtMostOnce { None } else { caller };
        let silence = lock(&gateway.picker).admission(&request.service).stall_timeout(picked.wait);
        let silence = Silence::new(gateway, &server.id, silence.map(|time| now + time));
        let patience = self.patience(now, &server.id);
        let longer = || {
            silence.look();
            if gateway.clock.now() < patience {
                return Some(silence.until(patience));
            }
            self.longer_patience(&server.id)
        };
        let heard = |words: &ServerWords| gateway.take_notices(request, &server.id, words);
        let wait = HeadWait { until: silence.until(patience), longer: &longer, heard: &heard };
        let answer = exchange::send(conn, request, &outgoing, &wait, watched)?;
        silence.ended();
        let head = gateway.clock.now();
        self.take_words(picked, &answer)?;
        Ok(Opened { answer, picked: picked.clone(), flight, sent: now, head })
    }

    /// Acts on what a head says beside the answer.
    fn take_words(&self, picked: &Picked, answer: &ServerAnswer) -> Result<(), AttemptFault> {
        let now = self.gateway.clock.now();
        let server = &picked.server;
        let mut picker = lock(&self.gateway.picker);
        if let Some(load) = answer.words.load {
            picker.report(now, &server.id, load);
        }
        if answer.words.wrong_server {
            drop(picker);
            log::warn!(
                "event=server_replaced request={} server={} address={}",
                self.request.asked.id,
                server.id,
                server.address
            );
            self.gateway.remove_server(&server.id);
        }
        if answer.words.not_run {
            return Err(AttemptFault::Refused);
        }
        if answer.head.status.is_success() && !answer.words.signed {
            return Err(AttemptFault::Garbage);
        }
        Ok(())
    }

    /// Returns until when a head is awaited before another server is tried.
    fn patience(&self, now: Instant, server: &Incarnation) -> Instant {
        let route = &self.request.route;
        if !self.could_go_elsewhere(now, server) {
            return self.request.until;
        }
        let patience = match route.kind {
            RouteKind::ResumableStream => route.target_latency * FIRST_EVENT_TARGETS,
            _ => route.target_latency.max(PATIENCE_MIN),
        };
        self.request.until.min(now + patience)
    }

    /// Returns until when a head is awaited further after the first patience is over; `None` where
    /// another server is to be tried now, or no time is left.
    ///
    /// What was free elsewhere when the wait began, a server or a repeat, may have been taken since.
    fn longer_patience(&self, server: &Incarnation) -> Option<Instant> {
        let now = self.gateway.clock.now();
        if now >= self.request.until || self.could_go_elsewhere(now, server) {
            return None;
        }
        Some(self.request.until.min(now + PATIENCE_MIN))
    }

    /// Returns whether a request that `server` is slow with could be sent to another one: giving
    /// it up without that would only lose it.
    pub fn could_go_elsewhere(&self, now: Instant, server: &Incarnation) -> bool {
        if !self.tries.may_go_on_after_this(&self.request.route) {
            return false;
        }
        let mut tried = self.tries.servers().to_vec();
        tried.push(server.clone());
        let wanted = PickRequest {
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

    fn pass_whole(&mut self, conn: &mut Conn, opened: Opened<'a>) -> Option<Done> {
        let times = (opened.sent, opened.head);
        let Opened { mut answer, picked, flight, .. } = opened;
        let caller =
            if self.request.route.kind == RouteKind::AtMostOnce { None } else { Some(&*conn) };
        let body = match answer.whole(self.request.until, caller) {
            Ok(body) => body,
            Err(fault) => {
                drop(flight);
                self.note_fault(&picked, fault);
                return self.end_unless_again(conn);
            }
        };
        drop(flight);
        let whole = WholeAnswer {
            status: answer.head.status,
            headers: adapter::responses::forwarded_headers(&answer.head),
            body,
        };
        self.keep_connection(&picked.server.id, answer);
        if whole.status.is_server_error() {
            lock(&self.gateway.picker).note_failure(self.gateway.clock.now(), &picked.server.id);
            self.note_version(&picked, ResponseObservation::Failed);
            self.tries.answered_with_error(&picked.server.id);
            log::info!(
                "event=server_error request={} server={} status={}",
                self.request.asked.id,
                picked.server.id,
                whole.status.as_u16()
            );
            self.last_failure = Some(whole);
            return self.end_unless_again(conn);
        }
        self.note_good(&picked, times.0, times.1);
        let took = times.1.saturating_duration_since(times.0);
        self.note_version(&picked, ResponseObservation::Took(took));
        Some(self.send_whole(conn, &whole, "answered"))
    }

    /// Notes a good answer to a request sent at `sent`, whose head came at `head` and whose end now.
    pub fn note_good(&self, picked: &Picked, sent: Instant, head: Instant) {
        let now = self.gateway.clock.now();
        let times = ResponseTimes {
            head: head.saturating_duration_since(sent),
            body: now.saturating_duration_since(head),
        };
        let mut picker = lock(&self.gateway.picker);
        picker.note_success(now, &picked.server.id);
        picker.admission(&self.request.service).note_response(times, !picked.wait.is_zero());
        drop(picker);
        self.gateway.crash_suspects.note_success(now, self.request);
        self.gateway.metrics.attempt(&self.request.service, None);
    }

    fn end_unless_again(&mut self, conn: &mut Conn) -> Option<Done> {
        if self.may_try_again() { None } else { Some(self.give_up(conn)) }
    }

    /// Keeps the connection of an answer that was read to its end.
    pub fn keep_connection(&self, server: &Incarnation, answer: ServerAnswer) {
        let kept_for = answer.words.kept_for;
        let Some(conn) = answer.into_reusable() else { return };
        let most = self.gateway.max_connections(&self.request.service);
        self.gateway.conns.keep(server, conn, kept_for, most);
    }

    /// Notes that the caller gets the first bytes of a server's answer now.
    pub fn note_first_byte(&mut self) {
        let took = self.gateway.clock.now().saturating_duration_since(self.request.began);
        self.gateway.metrics.first_byte(&self.request.service, took);
        if let Some(decided) = &mut self.decided {
            decided.first = Some(took);
        }
    }

    fn send_whole(&mut self, conn: &mut Conn, whole: &WholeAnswer, reason: &'static str) -> Done {
        self.note_first_byte();
        let keep = self.keep_alive();
        let note = AnswerNote::plain(keep);
        let head_only = self.request.method == Method::HEAD;
        let (headers, body) = (&whole.headers, &whole.body);
        let sent = send_whole(conn, CALLER_STALL, whole.status, headers, &note, body, head_only);
        Done {
            status: whole.status.as_u16(),
            outcome: Outcome::Run,
            keep: keep && sent.is_ok(),
            reason,
        }
    }

    /// Gives the final answer of a request that no server answered.
    pub fn give_up(&mut self, conn: &mut Conn) -> Done {
        if self.tries.caller_left() {
            return Done {
                status: 0,
                outcome: Outcome::Unknown,
                keep: false,
                reason: "caller left",
            };
        }
        if let Some(whole) = self.last_failure.take() {
            return self.send_whole(conn, &whole, "server error");
        }
        let left = self.request.until.saturating_duration_since(self.gateway.clock.now());
        let own = self.tries.own_answer(self.refused, left);
        let keep = self.keep_alive();
        let keep = own.send(conn, keep, self.request.method == Method::HEAD);
        let status = own.status.as_u16();
        Done { status, outcome: self.tries.outcome(), keep, reason: own.reason }
    }

    /// Returns whether the caller's connection may serve another request after this one.
    pub fn keep_alive(&self) -> bool {
        self.request.keep_alive && !self.gateway.drain.is_draining()
    }
}
