//! What this instance knows of requests that end the servers that run them, and what it exchanges about them.

use std::{
    io::ErrorKind,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use super::{Gateway, request::Request};
use crate::{
    names::ServiceName,
    routing::{
        BackendServer, CrashAttribution, CrashReport, Finding, Incarnation, Judgement, Picked,
        RecentSuccesses, RequestDigest, RequestFingerprint, RunId, ServerCrashes, Suspect,
        VerdictUpdate, Verdicts,
    },
    utils::{signal::Signal, sync::lock},
};

/// How long a connection to a server may take that shows whether it has ended: many round trips within a region. The
/// request that waits for it is tried elsewhere right after.
const CHECK_TIME: Duration = Duration::from_millis(50);

/// Requests that end servers, as this instance knows them.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    /// Servers that ended with requests of this instance under way.
    ends: Mutex<ServerCrashes>,
    /// What all instances told of ends, where they turn to this one.
    collector: Mutex<CrashAttribution>,
    verdicts: Mutex<Verdicts>,
    answered: Mutex<RecentSuccesses>,
    /// Requests that were watched and have been answered, to be told.
    cleared: Mutex<Vec<RequestDigest>>,
    /// Is set when the store's table is to be looked at.
    pub(super) verdicts_changed: Signal,
    is_table_read: AtomicBool,
}

/// What an instance tells of servers that ended.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct CrashSuspectsReport {
    /// Ends that it has not told yet.
    pub ends: Vec<CrashReport>,
    /// Requests that were watched or held and have been answered.
    pub cleared: Vec<RequestDigest>,
    /// Verdicts that it knows.
    pub verdicts: Vec<VerdictUpdate>,
}

impl CrashSuspects {
    /// Returns for how long the request is held back, with what it is known by.
    pub fn held(&self, now: Instant, request: &Request) -> Option<(RequestDigest, Duration)> {
        self.held_by(now, || request.fingerprint(), || request.digest())
    }

    /// Returns for how long a request is held back; neither look nor digest is worked out while none is sought.
    pub fn held_by(
        &self,
        now: Instant,
        fingerprint: impl FnOnce() -> RequestFingerprint,
        digest: impl FnOnce() -> RequestDigest,
    ) -> Option<(RequestDigest, Duration)> {
        let verdicts = lock(&self.verdicts);
        if verdicts.is_idle() {
            return None;
        }
        verdicts.held(now, fingerprint(), digest)
    }

    /// Returns whether a request that a server has just ended with goes to no other one: it is held back, or may be found
    /// to end servers. So the tries that are left until it is found end one server each, not as many as its route
    /// allows.
    pub fn forbids_retry(&self, request: &Request) -> bool {
        self.forbids_retry_by(|| request.fingerprint(), || request.digest())
    }

    /// As [`CrashSuspects::forbids_retry`]; neither look nor digest is worked out while none is sought.
    pub fn forbids_retry_by(
        &self,
        fingerprint: impl FnOnce() -> RequestFingerprint,
        digest: impl FnOnce() -> RequestDigest,
    ) -> bool {
        let verdicts = lock(&self.verdicts);
        if verdicts.is_idle() {
            return false;
        }
        let judgement = verdicts.judgement(fingerprint(), digest);
        matches!(judgement, Some(Judgement::Watched | Judgement::Held))
    }

    /// Notes that a request was answered well.
    pub fn note_success(&self, now: Instant, request: &Request) {
        if let Some(digest) = self.note_success_by(now, request.fingerprint(), || request.digest())
        {
            log::info!("event=request_cleared digest={digest} request={}", request.asked.id);
        }
    }

    /// Notes a good answer to a request of that look; returns the request if it was held or watched.
    pub fn note_success_by(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
        digest: impl Fn() -> RequestDigest,
    ) -> Option<RequestDigest> {
        lock(&self.answered).note(now, fingerprint, &digest);
        let mut verdicts = lock(&self.verdicts);
        if verdicts.is_idle() {
            return None;
        }
        let cleared = verdicts.answered(now, fingerprint, digest)?;
        drop(verdicts);
        lock(&self.cleared).push(cleared);
        Some(cleared)
    }

    /// Notes that the connection to a server ended with the request under way there; `long_running` says whether it had run
    /// there for a while.
    pub fn note_disconnect(
        &self,
        gateway: &Gateway,
        request: &Request,
        picked: &Picked,
        long_running: bool,
    ) {
        let now = gateway.clock.now();
        let suspect =
            Suspect { fingerprint: request.fingerprint(), digest: request.digest(), long_running };
        if self.has_crashed(gateway, &picked.server) {
            self.note_crash(now, &picked.server.id, &picked.server.service, suspect);
        }
    }

    /// Notes a request that was at a server as it ended, unless it was answered well lately.
    pub fn note_crash(
        &self,
        now: Instant,
        server: &Incarnation,
        service: &ServiceName,
        suspect: Suspect,
    ) {
        let mut answered = lock(&self.answered);
        answered.alert(now);
        if !answered.has(now, suspect.fingerprint, suspect.digest) {
            lock(&self.ends).note(now, server, service, suspect);
        }
    }

    /// Finds out whether a server whose connection ended has ended itself: then its address refuses connections. A
    /// server that leaves as it said ends too, with what it had not finished.
    fn has_crashed(&self, gateway: &Gateway, server: &BackendServer) -> bool {
        let now = gateway.clock.now();
        if let Some(known) = lock(&self.ends).has_crashed(now, &server.id) {
            return known;
        }
        let is_used = gateway.cluster_state.with_servers(|roster| {
            roster.servers().any(|listed| listed.id == server.id && !listed.leaving)
        });
        if !is_used {
            return false;
        }
        match gateway.conns.connect(server.address, now + CHECK_TIME) {
            Ok(conn) => {
                lock(&self.ends).note_alive(now, &server.id);
                let most = gateway.max_connections(&server.service);
                gateway.conns.keep(&server.id, conn, None, most);
                false
            }
            Err(fault) => {
                let refused = fault.kind() == ErrorKind::ConnectionRefused;
                log::info!("event=server_ended server={} sure={refused} reason={fault}", server.id);
                refused
            }
        }
    }

    /// Returns what this instance tells the one that collects reports.
    pub fn report(&self, now: Instant) -> CrashSuspectsReport {
        CrashSuspectsReport {
            ends: lock(&self.ends).unreported(now),
            cleared: lock(&self.cleared).clone(),
            verdicts: self.verdict_updates(now),
        }
    }

    /// Notes that the instance `to` has taken a report.
    pub fn mark_reported(&self, to: RunId, report: &CrashSuspectsReport) {
        lock(&self.ends).mark_reported(to, &report.ends);
        lock(&self.cleared).retain(|digest| !report.cleared.contains(digest));
    }

    /// Takes what another instance tells, or this one has to tell itself where all turn to it.
    pub fn apply_report(&self, now: Instant, report: &CrashSuspectsReport) {
        let mut collector = lock(&self.collector);
        report.cleared.iter().for_each(|digest| collector.clear(now, *digest));
        let findings = collector.take(now, &report.ends);
        drop(collector);
        let found: Vec<VerdictUpdate> = findings.iter().map(verdict_of).collect();
        let news = self.apply_verdicts(now, &found, "own");
        for finding in findings.iter().filter(|f| news.iter().any(|n| n.digest == f.digest)) {
            let servers: Vec<String> = finding.servers.iter().map(ToString::to_string).collect();
            log::warn!(
                "event=request_found digest={} servers={} ended_since={}",
                finding.digest,
                servers.join(","),
                finding.ended
            );
        }
        self.apply_verdicts(now, &report.verdicts, "peer");
        let mut verdicts = lock(&self.verdicts);
        for digest in &report.cleared {
            verdicts.clear(now, *digest);
        }
    }

    /// Takes verdicts, and returns those that are new.
    pub fn apply_verdicts(
        &self,
        now: Instant,
        told: &[VerdictUpdate],
        source: &str,
    ) -> Vec<VerdictUpdate> {
        let news = lock(&self.verdicts).take(now, told);
        self.clear_known(now, &news);
        for verdict in news.iter().filter(|verdict| verdict.judgement != Judgement::Watched) {
            self.verdicts_changed.set();
            let (digest, judgement) = (verdict.digest, verdict.judgement);
            log::warn!(
                "event=request_judged digest={digest} judgement={judgement:?} source={source}"
            );
        }
        news
    }

    /// Returns what is held back, or was until lately.
    pub fn verdict_updates(&self, now: Instant) -> Vec<VerdictUpdate> {
        lock(&self.verdicts).updates(now)
    }

    /// Returns how many requests are held back.
    pub fn held_count(&self) -> usize {
        lock(&self.verdicts).held_count()
    }

    /// Holds a request no more, on an operator's word.
    pub fn lift(&self, now: Instant, digest: RequestDigest) {
        lock(&self.verdicts).clear(now, digest);
        lock(&self.collector).clear(now, digest);
    }

    /// Has the store's table looked at, until it has been read.
    pub fn request_table_read(&self) {
        if !self.is_table_read.load(Ordering::Relaxed) {
            self.verdicts_changed.set();
        }
    }

    /// Notes that the store's table has been read.
    pub fn note_table_read(&self) {
        self.is_table_read.store(true, Ordering::Relaxed);
    }

    /// Takes the requests that are to be watched.
    pub fn watch(&self, now: Instant, watched: &[VerdictUpdate]) {
        if watched.is_empty() && lock(&self.verdicts).is_idle() {
            return;
        }
        let news = lock(&self.verdicts).watch(now, watched);
        self.clear_known(now, &news);
    }

    /// Clears those of new verdicts whose requests this instance has answered lately.
    fn clear_known(&self, now: Instant, news: &[VerdictUpdate]) {
        let answered = lock(&self.answered);
        let known = |told: &&VerdictUpdate| {
            told.judgement != Judgement::Cleared && answered.has(now, told.fingerprint, told.digest)
        };
        for verdict in news.iter().filter(known) {
            lock(&self.verdicts).answered(now, verdict.fingerprint, || verdict.digest);
            lock(&self.cleared).push(verdict.digest);
            log::info!("event=request_cleared digest={}", verdict.digest);
        }
    }

    /// Returns whether servers have ended lately, as those know that turn to this instance.
    pub fn is_alert(&self, now: Instant) -> bool {
        lock(&self.collector).is_alert(now)
    }

    /// Notes that servers have ended lately.
    pub fn alert(&self, now: Instant) {
        lock(&self.answered).alert(now);
    }

    /// Returns the requests that all are to watch, where all turn to this instance.
    pub fn watched(&self, now: Instant) -> Vec<VerdictUpdate> {
        lock(&self.collector).watched(now)
    }
}

fn verdict_of(finding: &Finding) -> VerdictUpdate {
    let Finding { digest, fingerprint, .. } = *finding;
    VerdictUpdate { digest, fingerprint, judgement: Judgement::Held, age_ms: 0 }
}

impl Request {
    /// Returns what is cheap to tell of the request.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let team = self.team.as_ref().map_or("", |team| team.as_str());
        RequestFingerprint::of(team, &self.target, self.body.len())
    }
}
