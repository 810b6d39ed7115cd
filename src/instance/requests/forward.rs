//! Has a request answered: claim, permit, attempts, and the answer on its way to the caller.

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
            answer_parts::{
                RESUMABLE_HEADER, answer_headers, error_event, is_event_stream, text_headers,
            },
            caller_watch::CallerWatch,
            claims::{Begun, HeldClaim},
            engine_report::EngineReport,
            engine_streams,
            place::{self, NoPlace, Place},
            replay,
            request::{CHAT_HEADER, DEADLINE_HEADER, Request},
            tokens,
        },
        shared::Shared,
    },
    link::{
        backend::{Attempt, BackendResponse},
        http1::{Conn, conn::ConnState},
        response::{ResponseFraming, ResponseOptions, ResponseWriter, send_response},
    },
    names::{BackendId, Tag},
    utils::sync::lock,
};

/// Largest answer of known length that is read whole before its first byte goes to the caller, so
/// that a cut one can be tried again.
const WHOLE_MAX: u64 = 256 << 10;

/// Tries to resume a stream whose connection was lost.
const RESUMES_MAX: u32 = 3;

/// Time to come back after a refusal that has no better estimate.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a request ended.
pub enum Ended {
    /// An answer went to the caller, whole or visibly cut.
    Answered {
        /// Its status.
        status: u16,
        /// Whether the request ran.
        outcome: Outcome,
        /// Whether the caller's connection may be used again.
        reusable: bool,
        /// Who answered; none for a stored answer.
        server: Option<BackendId>,
    },
    /// Nothing went to the caller yet: it is to be told this.
    Refused(Refusal),
}

/// An answer that went to the caller.
struct Answered {
    status: u16,
    outcome: Outcome,
    reusable: bool,
}

impl Answered {
    fn by(self, server: &BackendServer) -> Ended {
        let Answered { status, outcome, reusable } = self;
        Ended::Answered { status, outcome, reusable, server: Some(server.id.clone()) }
    }
}

/// How one attempt ended.
enum Tried {
    /// An answer went to the caller.
    Answered(Answered),
    /// It failed and nothing reached the caller.
    Fault(AttemptFault),
    /// It failed after the answer's head had reached the caller, who has seen the cut.
    Cut(AttemptFault, u16),
}

/// One request on its way.
struct Job<'j> {
    shared: &'j Shared,
    snapshot: &'j Snapshot,
    view: &'j ServiceView,
    team: Tag,
    request: &'j Request,
    note: ResponseOptions,
    claim: Option<HeldClaim>,
}

/// Has a request answered.
pub fn run(
    shared: &Shared,
    conn: &mut Conn,
    snapshot: &Snapshot,
    view: &ServiceView,
    team: &Tag,
    request: &Request,
    note: ResponseOptions,
) -> Ended {
    let mut job = Job { shared, snapshot, view, team: *team, request, note, claim: None };
    if let Some(key) = &request.key {
        match job.claim(key) {
            Begun::Run(held) => job.claim = Some(held),
            Begun::Replay(answer) => {
                return replay::replay(shared, conn, request, &job.note, &answer);
            }
            Begun::Refuse(refusal) => return Ended::Refused(refusal),
        }
    }
    let ended = job.attempts(conn);
    job.settle_claim(&ended);
    ended
}

impl Job<'_> {
    fn claim(&self, key: &str) -> Begun {
        let Request { method, target, body, .. } = self.request;
        let digest =
            Digest::of(&[method.as_str().as_bytes(), target.as_bytes(), body].join(&b'\n'));
        let now = self.shared.clock.wall_millis();
        let left = self.request.deadline.saturating_duration_since(self.shared.clock.now());
        let life = self.shared.settings.timeouts.claim.0;
        let claim = Claim {
            attempt: self.request.id.clone(),
            request: digest,
            state: ClaimState::Running,
            deadline_at: now + left.as_millis() as u64,
            expires_at: now + life.as_millis() as u64,
        };
        let team = self.snapshot.team_id(self.team);
        let begun = self.shared.claims.begin(&row_key(&self.view.service.id, team, key), &claim);
        self.shared.metrics.claim(match &begun {
            Begun::Run(_) => "run",
            Begun::Replay(_) => "replay",
            Begun::Refuse(_) => "refuse",
        });
        begun
    }

    /// Gives back or closes a claim that no answer has closed.
    fn settle_claim(&mut self, ended: &Ended) {
        let Some(held) = self.claim.take() else { return };
        let outcome = match ended {
            Ended::Answered { outcome, .. } => *outcome,
            Ended::Refused(refusal) => refusal.outcome,
        };
        let state = if outcome == Outcome::NotRun { None } else { Some(ClaimState::Unknown) };
        self.shared.claims.finish(&held, state);
    }

    /// Tries backend servers until one answers or no further try is allowed.
    fn attempts(&mut self, conn: &mut Conn) -> Ended {
        let service = &self.view.service;
        self.with_budget(RetryBudget::note_request);
        let mut avoid = Vec::new();
        // Whether an earlier attempt may have run the request.
        let mut in_doubt = false;
        for number in 0..service.attempts {
            let place = match self.place(conn, &avoid) {
                Ok(place) => place,
                Err(refusal) => return Ended::Refused(doubt(refusal, in_doubt)),
            };
            let Some(server) = self.snapshot.server(place.engine()).cloned() else {
                place::release(self.shared, service, place, ReleaseKind::Unused, None);
                return Ended::Refused(doubt(no_server(), in_doubt));
            };
            let tried = self.attempt(conn, &server, number, place);
            let fault = match tried {
                Tried::Answered(answered) => return answered.by(&server),
                Tried::Cut(fault, status) => {
                    return Answered { status, outcome: fault.outcome(), reusable: false }
                        .by(&server);
                }
                Tried::Fault(fault) => fault,
            };
            in_doubt |= fault.outcome() != Outcome::NotRun;
            log::warn!(
                "attempt id={} service={} backend_server={} fault={fault:?}",
                self.request.id,
                service.id,
                server.id
            );
            let last = number + 1 == service.attempts;
            if last || !self.may_try_again(fault, number) {
                return Ended::Refused(doubt(Refusal::from_fault(fault, RETRY_AFTER), in_doubt));
            }
            self.shared.metrics.retry(&service.id);
            avoid.push(server.id.tag());
        }
        Ended::Refused(doubt(no_server(), in_doubt))
    }

    /// Decides on another attempt and pauses before it.
    fn may_try_again(&self, fault: AttemptFault, number: u32) -> bool {
        if !may_retry(fault, self.request.retry_safety, false) {
            return false;
        }
        let pause = backoff(number, fastrand::f64());
        let left = self.request.deadline.saturating_duration_since(self.shared.clock.now());
        if pause >= left || !self.with_budget(RetryBudget::take) {
            return false;
        }
        thread::sleep(pause);
        true
    }

    fn with_budget<T>(&self, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let service = &self.view.service;
        let mut budgets = lock(&self.shared.budgets);
        let share = service.retry_budget;
        let budget = budgets.entry(service.id.clone()).or_insert_with(|| RetryBudget::new(share));
        budget.set_share(share);
        f(budget)
    }

    fn place(&self, conn: &mut Conn, avoid: &[Tag]) -> Result<Place, Refusal> {
        let watch = &mut CallerWatch::new(self.shared, self.request, self.claim.is_some());
        let go_on = &mut || watch.waits(conn);
        place::obtain(self.shared, self.view, self.team, self.request, avoid, go_on).map_err(|no| {
            match no {
                NoPlace::Refused(refusal) => refusal,
                NoPlace::CallerGone => Refusal::not_run(499, "caller gone", "the caller went away"),
            }
        })
    }

    /// Makes one attempt and gives its place back.
    fn attempt(
        &mut self,
        conn: &mut Conn,
        server: &BackendServer,
        number: u32,
        place: Place,
    ) -> Tried {
        let service = &self.view.service;
        let id = format!("{}-{number}", self.request.id);
        let mut report = EngineReport::default();
        let tried = self.exchange(conn, server, &id, &place, &mut report);
        let fault = match &tried {
            Tried::Answered(_) => None,
            Tried::Fault(fault) | Tried::Cut(fault, _) => Some(*fault),
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
        place::release(self.shared, service, place, kind, report.load);
        tried
    }

    fn exchange(
        &mut self,
        conn: &mut Conn,
        server: &BackendServer,
        id: &str,
        place: &Place,
        report: &mut EngineReport,
    ) -> Tried {
        let request = self.request;
        let left = request.deadline.saturating_duration_since(self.shared.clock.now());
        let mut headers = request.headers.clone();
        headers.insert(DEADLINE_HEADER, HeaderValue::from(left.as_millis() as u64));
        if let Ok(value) = HeaderValue::from_str(&request.id) {
            headers.insert("cartvane-request-id", value);
        }
        let chat = request.chat.filter(|_| self.view.service.kind == ServiceKind::Model);
        if let Some(value) = chat.and_then(|chat| HeaderValue::from_str(&chat.to_string()).ok()) {
            // Engines name the context by it when they hand it over.
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
        let sent = self.shared.backends.send(&attempt, &mut || watch.waits(conn));
        let answer = match sent {
            Ok(answer) => answer,
            Err(fault) => return Tried::Fault(fault),
        };
        report.read(&answer);
        if let Some(own) = &mut self.note.router_headers {
            own.placement = chat.map(|chat| {
                tokens::hint(&self.shared.settings.credentials.placement, chat, place.engine())
            });
            own.outcome = Outcome::Run;
        }
        let whole = answer.content_length().is_some_and(|length| length <= WHOLE_MAX);
        if whole || request.method == Method::HEAD || request.http10 {
            self.pass_whole(conn, answer, &mut watch)
        } else {
            self.pass_stream(conn, answer, server, id)
        }
    }

    /// Reads the answer whole, then writes it.
    fn pass_whole(
        &mut self,
        conn: &mut Conn,
        mut answer: BackendResponse,
        watch: &mut CallerWatch<'_>,
    ) -> Tried {
        let mut body = Vec::new();
        loop {
            match answer.next(self.stall_end(), &mut || watch.waits(conn)) {
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => break,
                Err(fault) => return Tried::Fault(fault),
            }
            if self.request.http10 && body.len() > self.shared.settings.limits.body.bytes() {
                return Tried::Fault(AttemptFault::Garbage);
            }
        }
        let status = answer.head.status;
        let headers = answer_headers(&answer.head.headers);
        self.keep_answer(status, &headers, Some(&body));
        self.shared.backends.finish(answer);
        let stall = self.shared.settings.timeouts.slow_reader.0;
        let head_only = self.request.method == Method::HEAD;
        let sent = send_response(conn, stall, status, &headers, &self.note, &body, head_only);
        self.note_first_byte();
        let reusable = sent.is_ok();
        Tried::Answered(Answered { status: status.as_u16(), outcome: Outcome::Run, reusable })
    }

    /// Passes the answer on as it comes.
    fn pass_stream(
        &mut self,
        conn: &mut Conn,
        mut answer: BackendResponse,
        server: &BackendServer,
        id: &str,
    ) -> Tried {
        let status = answer.head.status;
        let headers = answer_headers(&answer.head.headers);
        let events = is_event_stream(&headers);
        let resumable = answer.head.header(RESUMABLE_HEADER).is_some();
        let stall = self.shared.settings.timeouts.slow_reader.0;
        let framing = ResponseFraming::Chunked;
        let mut kept = self.claim.as_ref().map(|_| Vec::new());
        let mut caller_here = true;
        let started =
            ResponseWriter::start(conn, stall, status, &headers, &self.note, framing, &[]);
        let mut writer = match started {
            Ok(writer) => writer,
            Err(_) => return Tried::Cut(AttemptFault::CallerGone, status.as_u16()),
        };
        let mut received = 0_u64;
        let mut resumes = 0;
        loop {
            let stays = self.claim.is_some();
            let mut here = || stays || writer.conn().state() != ConnState::Broken;
            match answer.next(self.stall_end(), &mut here) {
                Ok(None) => break,
                Ok(Some(piece)) => {
                    if received == 0 {
                        self.note_first_byte();
                    }
                    received += piece.len() as u64;
                    self.keep_piece(&mut kept, &piece);
                    caller_here = caller_here && writer.write(&piece).is_ok();
                    if !caller_here && self.claim.is_none() {
                        return Tried::Cut(AttemptFault::CallerGone, status.as_u16());
                    }
                }
                Err(AttemptFault::CallerGone) => {
                    return Tried::Cut(AttemptFault::CallerGone, status.as_u16());
                }
                Err(fault) => {
                    let resumed = (resumable && resumes < RESUMES_MAX)
                        .then(|| engine_streams::resume(self.shared, server, id, received));
                    resumes += 1;
                    if let Some(Some(rest)) = resumed {
                        answer = rest;
                        continue;
                    }
                    let words =
                        if events { error_event(fault, &self.request.id) } else { Vec::new() };
                    writer.abort(&words);
                    return Tried::Cut(fault, status.as_u16());
                }
            }
        }
        self.keep_answer(status, &headers, kept.as_deref());
        let sent = if caller_here { writer.finish().is_ok() } else { false };
        self.shared.backends.finish(answer);
        Tried::Answered(Answered { status: status.as_u16(), outcome: Outcome::Run, reusable: sent })
    }

    /// Returns when the next byte of the answer must have come.
    fn stall_end(&self) -> Instant {
        let stall = self.shared.clock.now() + self.shared.settings.timeouts.stall.0;
        stall.min(self.request.deadline)
    }

    fn note_first_byte(&self) {
        let took = self.shared.clock.now().saturating_duration_since(self.request.began);
        self.shared.metrics.first_byte(&self.view.service.id, took);
    }

    fn keep_piece(&self, kept: &mut Option<Vec<u8>>, piece: &[u8]) {
        let most = self.shared.settings.limits.stored_answer.bytes();
        if let Some(body) = kept {
            body.extend_from_slice(piece);
            if body.len() > most {
                *kept = None;
            }
        }
    }

    /// Closes the claim with the whole answer, before its end reaches the caller: from then on a
    /// repeat gets this answer, also when this instance is lost.
    fn keep_answer(&mut self, status: StatusCode, headers: &HeaderMap, body: Option<&[u8]>) {
        let Some(held) = self.claim.take() else { return };
        let most = self.shared.settings.limits.stored_answer.bytes();
        let state = match body {
            Some(body) if body.len() <= most => ClaimState::Done(StoredResponse {
                status: status.as_u16(),
                headers: text_headers(headers),
                body: body.to_vec(),
            }),
            _ => ClaimState::DoneTooLarge,
        };
        self.shared.claims.finish(&held, Some(state));
    }
}

fn doubt(refusal: Refusal, in_doubt: bool) -> Refusal {
    if in_doubt && refusal.outcome == Outcome::NotRun {
        let detail = format!("{}; an earlier attempt may have run it", refusal.detail);
        return Refusal { outcome: Outcome::Unknown, detail, ..refusal };
    }
    refusal
}

fn no_server() -> Refusal {
    Refusal::not_run(
        503,
        "no backend server",
        "no backend server can take the request now; send it again later",
    )
    .retry_after(RETRY_AFTER)
}
