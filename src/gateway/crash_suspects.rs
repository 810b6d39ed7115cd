//! Crash suspects at this instance: requests and parts of prompts that may crash the servers that run them, and the
//! reports about them.

use std::{
    fmt,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use super::{Gateway, attempts::Refusal, crash_checks::ServerCheck, request::Request};
use crate::{
    names::ServiceName,
    routing::{
        AnsweredParts, AnsweredReport, CrashAttribution, CrashReport, Finding, Incarnation,
        Judgement, PartAttribution, PartFinding, Picked, PromptPartId, RecentSuccesses,
        RequestFingerprint, RunId, ServerCrashes, Suspect, SuspectDigest, SuspectKind,
        VerdictUpdate, Verdicts,
    },
    utils::{signal::Signal, sync::lock},
};

/// Requests and parts of prompts that are suspected of crashing servers, as this instance knows them.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    /// Servers that crashed with requests of this instance in flight.
    crashes: Mutex<ServerCrashes>,
    /// Crash reports of all instances, if this one is the aggregator.
    attribution: Mutex<CrashAttribution>,
    part_attribution: Mutex<PartAttribution>,
    verdicts: Mutex<Verdicts>,
    successes: Mutex<RecentSuccesses>,
    /// Parts of prompts that were answered while servers crash.
    answered: Mutex<AnsweredParts>,
    /// Whether servers have crashed recently, for the hot path.
    is_answered_recorded: AtomicBool,
    /// Requests that were watched or held and had a successful response, to be reported.
    cleared: Mutex<Vec<SuspectDigest>>,
    /// Set when the store's table of held requests has to be read.
    pub(super) verdicts_changed: Signal,
    is_table_read: AtomicBool,
}

/// What an instance reports about server crashes and their suspects.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct CrashSuspectsReport {
    /// Crashes that it has not reported yet.
    pub crashes: Vec<CrashReport>,
    /// Requests that were watched or held and had a successful response.
    pub cleared: Vec<SuspectDigest>,
    /// Verdicts that it has.
    pub verdicts: Vec<VerdictUpdate>,
    /// Responses while servers crash.
    #[serde(default)]
    pub answered: AnsweredReport,
}

/// Why a request is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Digest of the request, or of a part of its prompt.
    pub digest: SuspectDigest,
    /// Whether the request or a part of its prompt is held.
    pub kind: SuspectKind,
    /// For how long.
    pub left: Duration,
}

impl Held {
    /// Returns the refusal of the request.
    pub fn refusal(&self) -> Refusal {
        match self.kind {
            SuspectKind::Request => Refusal::crashing_request(self.left),
            SuspectKind::Part => Refusal::crashing_part(self.left),
        }
    }
}

impl Gateway {
    /// Records that a held request is refused.
    pub(super) fn note_held(&self, request: &Request, held: &Held) {
        let reason = match held.kind {
            SuspectKind::Request => "ends_servers",
            SuspectKind::Part => "part_ends_servers",
        };
        self.metrics.refusal(&request.service, reason);
        log::info!("event=request_held request={} {held}", request.metadata.id);
    }
}

impl fmt::Display for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            SuspectKind::Request => "request",
            SuspectKind::Part => "part",
        };
        write!(f, "digest={} kind={kind} held_for_s={}", self.digest, self.left.as_secs())
    }
}

/// A request that was in flight on a connection that was lost.
pub struct LostRequest<'a> {
    /// The request.
    pub request: &'a Request,
    /// Where it was in flight.
    pub picked: &'a Picked,
    /// Whether the server had run it for a while.
    pub long_running: bool,
}

impl LostRequest<'_> {
    fn suspect(&self) -> Suspect {
        Suspect {
            fingerprint: self.request.fingerprint(),
            digest: self.request.digest(),
            long_running: self.long_running,
            parts: self.request.shared_parts(),
            is_cleared: false,
        }
    }
}

impl CrashSuspects {
    /// Returns why the request is held, if it is.
    pub fn held(&self, now: Instant, request: &Request) -> Option<Held> {
        let held = self.held_by(now, || request.fingerprint(), || request.digest());
        let held = held.map(|(digest, left)| Held { digest, kind: SuspectKind::Request, left });
        held.or_else(|| self.held_part(now, || request.part_digests()))
    }

    /// Returns why a request with these parts is held, if it is for one of them. Looks up no part while none is held or
    /// watched.
    pub fn held_part(
        &self,
        now: Instant,
        parts: impl FnOnce() -> Vec<SuspectDigest>,
    ) -> Option<Held> {
        let verdicts = lock(&self.verdicts);
        let (digest, left) =
            verdicts.has_parts().then(|| verdicts.held_part(now, &parts())).flatten()?;
        Some(Held { digest, kind: SuspectKind::Part, left })
    }

    /// As [`CrashSuspects::held`]. Computes neither fingerprint nor digest while no request is held or watched.
    pub fn held_by(
        &self,
        now: Instant,
        fingerprint: impl FnOnce() -> RequestFingerprint,
        digest: impl FnOnce() -> SuspectDigest,
    ) -> Option<(SuspectDigest, Duration)> {
        let verdicts = lock(&self.verdicts);
        if verdicts.is_idle() {
            return None;
        }
        verdicts.held(now, fingerprint(), digest)
    }

    /// Returns whether a request that a crash has just interrupted must not be retried on another server, because it is
    /// held or watched. Until it is held, each of its remaining attempts thus crashes one server, not as many as its
    /// route allows.
    pub fn forbids_retry(&self, request: &Request) -> bool {
        self.forbids_retry_by(|| request.fingerprint(), || request.digest())
            || self.forbids_part_retry(|| request.part_digests())
    }

    /// As [`CrashSuspects::forbids_retry`], for the parts of its prompt.
    pub fn forbids_part_retry(&self, parts: impl FnOnce() -> Vec<SuspectDigest>) -> bool {
        let verdicts = lock(&self.verdicts);
        verdicts.has_parts() && verdicts.watches_part(&parts())
    }

    /// As [`CrashSuspects::forbids_retry`]. Computes neither fingerprint nor digest while no request is held or
    /// watched.
    pub fn forbids_retry_by(
        &self,
        fingerprint: impl FnOnce() -> RequestFingerprint,
        digest: impl FnOnce() -> SuspectDigest,
    ) -> bool {
        let verdicts = lock(&self.verdicts);
        if verdicts.is_idle() {
            return false;
        }
        let judgement = verdicts.judgement(fingerprint(), digest);
        matches!(judgement, Some(Judgement::Watched | Judgement::Held))
    }

    /// Notes a successful response to a request.
    pub fn note_success(&self, now: Instant, request: &Request) {
        if let Some(digest) = self.note_success_by(now, request.fingerprint(), || request.digest())
        {
            log::info!("event=request_cleared digest={digest} request={}", request.metadata.id);
        }
    }

    /// Notes a successful response to a request with that fingerprint; returns its digest if it was held or watched.
    pub fn note_success_by(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
        digest: impl Fn() -> SuspectDigest,
    ) -> Option<SuspectDigest> {
        lock(&self.successes).note(now, fingerprint, &digest);
        let mut verdicts = lock(&self.verdicts);
        if verdicts.is_idle() {
            return None;
        }
        let cleared = verdicts.clear_successful(now, fingerprint, digest)?;
        drop(verdicts);
        lock(&self.cleared).push(cleared);
        Some(cleared)
    }

    /// Notes that the connection to a server was lost with a request in flight there.
    pub fn note_disconnect(&self, gateway: &Gateway, lost: &LostRequest<'_>) {
        let now = gateway.clock.now();
        let server = &lost.picked.server;
        let known = lock(&self.crashes).has_crashed(now, &server.id);
        match gateway.check_server(server, known) {
            ServerCheck::Crashed => {
                self.note_crash(now, &server.id, &server.service, lost.suspect());
            }
            ServerCheck::Accepted(conn) => {
                lock(&self.crashes).note_alive(now, &server.id);
                gateway.crash_checks.watch(server, Some(conn), lost.suspect());
            }
            ServerCheck::Refused => {
                gateway.crash_checks.watch(server, None, lost.suspect());
            }
            ServerCheck::Alive => gateway.crash_checks.add(&server.id, lost.suspect()),
            ServerCheck::NotInUse => {}
        }
    }

    /// Notes that a connection was lost with a request in flight at a server to which this instance has lost the path: the
    /// request was there if the server is found to have crashed.
    pub fn note_later_disconnect(&self, gateway: &Gateway, lost: &LostRequest<'_>) {
        let now = gateway.clock.now();
        let server = &lost.picked.server;
        if lock(&self.crashes).has_crashed(now, &server.id) == Some(true) {
            self.note_crash(now, &server.id, &server.service, lost.suspect());
        } else {
            gateway.crash_checks.add(&server.id, lost.suspect());
        }
    }

    /// Notes a request that was in flight at a server that crashed.
    pub fn note_crash(
        &self,
        now: Instant,
        server: &Incarnation,
        service: &ServiceName,
        suspect: Suspect,
    ) {
        self.alert(now);
        let is_cleared = lock(&self.successes).contains(now, suspect.fingerprint, suspect.digest);
        lock(&self.crashes).note(now, server, service, Suspect { is_cleared, ..suspect });
    }

    /// Notes a response that a server began at `began`, and either wrote to its end or went on with for a while.
    pub fn note_answered(&self, now: Instant, request: &Request, began: Instant) {
        self.note_answered_parts(now, &request.service, || request.shared_parts(), began);
    }

    /// As [`CrashSuspects::note_answered`]. Looks up no part unless servers have crashed recently.
    pub fn note_answered_parts(
        &self,
        now: Instant,
        service: &ServiceName,
        parts: impl FnOnce() -> Vec<PromptPartId>,
        began: Instant,
    ) {
        if self.is_answered_recorded.load(Ordering::Relaxed) {
            let mut answered = lock(&self.answered);
            if answered.is_alert(now) {
                answered.note(service, &parts(), began);
            }
        }
    }

    /// Returns what this instance reports to the aggregator.
    pub fn report(&self, now: Instant) -> CrashSuspectsReport {
        CrashSuspectsReport {
            crashes: lock(&self.crashes).unreported(now),
            cleared: lock(&self.cleared).clone(),
            verdicts: self.verdict_updates(now),
            answered: self.unreported_answers(now),
        }
    }

    /// Notes that the aggregator `to` has received a report.
    pub fn mark_reported(&self, to: RunId, report: &CrashSuspectsReport) {
        lock(&self.crashes).mark_reported(to, &report.crashes);
        lock(&self.cleared).retain(|digest| !report.cleared.contains(digest));
        lock(&self.answered).mark_reported(to, &report.answered);
    }

    fn unreported_answers(&self, now: Instant) -> AnsweredReport {
        let mut answered = lock(&self.answered);
        let report = answered.unreported(now);
        self.is_answered_recorded.store(answered.is_alert(now), Ordering::Relaxed);
        report
    }

    /// Sets the interval at which each instance reports.
    pub fn set_report_interval(&self, interval: Duration) {
        lock(&self.part_attribution).set_report_interval(interval);
    }

    /// Applies the report of another instance, or the aggregator's own.
    pub fn apply_report(&self, now: Instant, report: &CrashSuspectsReport) {
        let mut attribution = lock(&self.attribution);
        report.cleared.iter().for_each(|digest| attribution.clear(now, *digest));
        let findings = attribution.record(now, &report.crashes);
        drop(attribution);
        let found: Vec<VerdictUpdate> = findings.iter().map(verdict_of).collect();
        let new = self.apply_verdicts(now, &found, "own");
        for finding in findings.iter().filter(|f| new.iter().any(|v| v.digest == f.digest)) {
            let servers: Vec<String> = finding.servers.iter().map(ToString::to_string).collect();
            log::warn!(
                "event=request_found digest={} servers={} ended_since={}",
                finding.digest,
                servers.join(","),
                finding.crashed
            );
        }
        self.apply_verdicts(now, &report.verdicts, "peer");
        self.judge_parts(now, report);
        let mut verdicts = lock(&self.verdicts);
        for digest in &report.cleared {
            verdicts.clear(now, *digest);
        }
    }

    /// Judges the parts of prompts after the report of another instance, or the aggregator's own.
    fn judge_parts(&self, now: Instant, report: &CrashSuspectsReport) {
        // Locked until the verdicts are in force: another report would find the same again.
        let mut attribution = lock(&self.part_attribution);
        let in_force = self.verdict_updates(now);
        let judgements = attribution.record(now, &report.crashes, &report.answered, &in_force);
        for digest in &judgements.cleared {
            lock(&self.verdicts).clear(now, *digest);
            self.verdicts_changed.set();
            log::warn!("event=part_cleared digest={digest}");
        }
        let found: Vec<VerdictUpdate> = judgements.found.iter().map(PartFinding::verdict).collect();
        self.apply_verdicts(now, &found, "own");
        judgements.found.iter().for_each(|finding| log::warn!("event=part_found {finding}"));
    }

    /// Applies verdicts, and returns those that are new.
    pub fn apply_verdicts(
        &self,
        now: Instant,
        updates: &[VerdictUpdate],
        source: &str,
    ) -> Vec<VerdictUpdate> {
        let new = lock(&self.verdicts).merge(now, updates);
        self.clear_successful(now, &new);
        for verdict in new.iter().filter(|verdict| verdict.judgement != Judgement::Watched) {
            self.verdicts_changed.set();
            let (digest, judgement) = (verdict.digest, verdict.judgement);
            log::warn!(
                "event=request_judged digest={digest} judgement={judgement:?} source={source}"
            );
        }
        new
    }

    /// Returns the requests that are held or were cleared recently.
    pub fn verdict_updates(&self, now: Instant) -> Vec<VerdictUpdate> {
        lock(&self.verdicts).updates(now)
    }

    /// Returns how many requests or parts are held.
    pub fn held_count(&self, kind: SuspectKind) -> usize {
        lock(&self.verdicts).held_count(kind)
    }

    /// Clears a request on an operator's decision.
    pub fn lift(&self, now: Instant, digest: SuspectDigest) {
        lock(&self.verdicts).clear(now, digest);
        lock(&self.attribution).clear(now, digest);
        lock(&self.part_attribution).clear(digest);
    }

    /// Requests a read of the store's table, unless it has been read.
    pub fn request_table_read(&self) {
        if !self.is_table_read.load(Ordering::Relaxed) {
            self.verdicts_changed.set();
        }
    }

    /// Notes that the store's table has been read.
    pub fn note_table_read(&self) {
        self.is_table_read.store(true, Ordering::Relaxed);
    }

    /// Replaces the watched requests.
    pub fn watch(&self, now: Instant, watched: &[VerdictUpdate]) {
        if watched.is_empty() && lock(&self.verdicts).watches_nothing() {
            return;
        }
        let new = lock(&self.verdicts).watch(now, watched);
        self.clear_successful(now, &new);
    }

    /// Clears the requests of new verdicts that had a successful response at this instance recently.
    fn clear_successful(&self, now: Instant, new: &[VerdictUpdate]) {
        let successes = lock(&self.successes);
        let successful = |update: &&VerdictUpdate| {
            update.judgement != Judgement::Cleared
                && update.kind == SuspectKind::Request
                && successes.contains(now, update.fingerprint, update.digest)
        };
        for verdict in new.iter().filter(successful) {
            lock(&self.verdicts).clear_successful(now, verdict.fingerprint, || verdict.digest);
            lock(&self.cleared).push(verdict.digest);
            log::info!("event=request_cleared digest={}", verdict.digest);
        }
    }

    /// Returns whether servers have crashed recently, according to the reports that this instance has received.
    pub fn is_alert(&self, now: Instant) -> bool {
        lock(&self.attribution).is_alert(now)
    }

    /// Notes that servers have crashed recently.
    pub fn alert(&self, now: Instant) {
        lock(&self.successes).alert(now);
        lock(&self.answered).alert(now);
        self.is_answered_recorded.store(true, Ordering::Relaxed);
    }

    /// Returns the requests and parts that all instances have to watch, if this one is the aggregator.
    pub fn watched(&self, now: Instant) -> Vec<VerdictUpdate> {
        let mut watched = lock(&self.attribution).watched(now);
        watched.extend(lock(&self.part_attribution).watched(now));
        watched
    }
}

fn verdict_of(finding: &Finding) -> VerdictUpdate {
    let Finding { digest, fingerprint, .. } = *finding;
    let kind = SuspectKind::Request;
    VerdictUpdate { digest, fingerprint, judgement: Judgement::Held, age_ms: 0, kind }
}

impl Request {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let team = self.team.as_ref().map_or("", |team| team.as_str());
        RequestFingerprint::of(team, &self.target, self.body.len())
    }

    /// Returns the digests of the parts of its prompt that other requests may share.
    pub fn part_digests(&self) -> Vec<SuspectDigest> {
        let digest = |part| SuspectDigest::of_part(&self.service, part);
        self.shared_parts().into_iter().map(digest).collect()
    }
}
