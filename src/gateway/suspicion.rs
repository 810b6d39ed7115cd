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
        Answered, BackendServer, Collector, Finding, Incarnation, Judgement, Picked, RequestDigest,
        RequestLook, RunId, ServerEnds, Suspect, ToldEnd, ToldVerdict, Verdicts,
    },
    utils::{signal::Signal, sync::lock},
};

/// How long a connection to a server may take that shows whether it has ended: many round trips within a region. The
/// request that waits for it is tried elsewhere right after.
const CHECK_TIME: Duration = Duration::from_millis(50);

/// Requests that end servers, as this instance knows them.
#[derive(Debug, Default)]
pub struct Suspicion {
    /// Servers that ended with requests of this instance under way.
    ends: Mutex<ServerEnds>,
    /// What all instances told of ends, where they turn to this one.
    collector: Mutex<Collector>,
    verdicts: Mutex<Verdicts>,
    answered: Mutex<Answered>,
    /// Requests that were watched and have been answered, to be told.
    cleared: Mutex<Vec<RequestDigest>>,
    /// Is set when the store's table is to be looked at.
    pub(super) judged: Signal,
    is_table_read: AtomicBool,
}

/// What an instance tells of servers that ended.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct SuspicionReport {
    /// Ends that it has not told yet.
    pub ends: Vec<ToldEnd>,
    /// Requests that were watched or held and have been answered.
    pub cleared: Vec<RequestDigest>,
    /// Verdicts that it knows.
    pub verdicts: Vec<ToldVerdict>,
}

impl Suspicion {
    /// Returns for how long the request is held back, with what it is known by.
    pub fn held(&self, now: Instant, request: &Request) -> Option<(RequestDigest, Duration)> {
        self.held_by(now, || request.look(), || request.digest())
    }

    /// Returns for how long a request is held back; neither look nor digest is worked out while none is sought.
    pub fn held_by(
        &self,
        now: Instant,
        look: impl FnOnce() -> RequestLook,
        digest: impl FnOnce() -> RequestDigest,
    ) -> Option<(RequestDigest, Duration)> {
        let verdicts = lock(&self.verdicts);
        if verdicts.is_idle() {
            return None;
        }
        verdicts.held(now, look(), digest)
    }

    /// Returns whether a request that a server has just ended with goes to no other one: it is held back, or may be found
    /// to end servers. So the tries that are left until it is found end one server each, not as many as its route
    /// allows.
    pub fn ends_here(&self, request: &Request) -> bool {
        self.ends_here_by(|| request.look(), || request.digest())
    }

    /// As [`Suspicion::ends_here`]; neither look nor digest is worked out while none is sought.
    pub fn ends_here_by(
        &self,
        look: impl FnOnce() -> RequestLook,
        digest: impl FnOnce() -> RequestDigest,
    ) -> bool {
        let verdicts = lock(&self.verdicts);
        if verdicts.is_idle() {
            return false;
        }
        let judgement = verdicts.judgement(look(), digest);
        matches!(judgement, Some(Judgement::Watched | Judgement::Held))
    }

    /// Notes that a request was answered well.
    pub fn note_answered(&self, now: Instant, request: &Request) {
        if let Some(digest) = self.clear_answered(now, request.look(), || request.digest()) {
            log::info!("event=request_cleared digest={digest} request={}", request.metadata.id);
        }
    }

    /// Notes a good answer to a request of that look; returns the request if it was held or watched.
    pub fn clear_answered(
        &self,
        now: Instant,
        look: RequestLook,
        digest: impl Fn() -> RequestDigest,
    ) -> Option<RequestDigest> {
        lock(&self.answered).note(now, look, &digest);
        let mut verdicts = lock(&self.verdicts);
        if verdicts.is_idle() {
            return None;
        }
        let cleared = verdicts.answered(now, look, digest)?;
        drop(verdicts);
        lock(&self.cleared).push(cleared);
        Some(cleared)
    }

    /// Notes that the connection to a server ended with the request under way there; `ran_on` says whether it had run
    /// there for a while.
    pub fn note_lost(&self, gateway: &Gateway, request: &Request, picked: &Picked, ran_on: bool) {
        let now = gateway.clock.now();
        let suspect = Suspect { look: request.look(), digest: request.digest(), ran_on };
        if self.has_ended(gateway, &picked.server) {
            self.note_end(now, &picked.server.id, &picked.server.service, suspect);
        }
    }

    /// Notes a request that was at a server as it ended, unless it was answered well lately.
    pub fn note_end(
        &self,
        now: Instant,
        server: &Incarnation,
        service: &ServiceName,
        suspect: Suspect,
    ) {
        let mut answered = lock(&self.answered);
        answered.alert(now);
        if !answered.has(now, suspect.look, suspect.digest) {
            lock(&self.ends).note(now, server, service, suspect);
        }
    }

    /// Finds out whether a server whose connection ended has ended itself: then its address refuses connections. A
    /// server that leaves as it said ends too, with what it had not finished.
    fn has_ended(&self, gateway: &Gateway, server: &BackendServer) -> bool {
        let now = gateway.clock.now();
        if let Some(known) = lock(&self.ends).has_ended(now, &server.id) {
            return known;
        }
        let is_used = gateway.knowledge.with_servers(|roster| {
            roster.servers().any(|listed| listed.id == server.id && !listed.leaving)
        });
        if !is_used {
            return false;
        }
        match gateway.conns.connect(server.address, now + CHECK_TIME) {
            Ok(conn) => {
                lock(&self.ends).note_alive(now, &server.id);
                let most = gateway.connections_of(&server.service);
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
    pub fn report(&self, now: Instant) -> SuspicionReport {
        SuspicionReport {
            ends: lock(&self.ends).untold(now),
            cleared: lock(&self.cleared).clone(),
            verdicts: self.lasting(now),
        }
    }

    /// Notes that the instance `to` has taken a report.
    pub fn note_told(&self, to: RunId, report: &SuspicionReport) {
        lock(&self.ends).note_told(to, &report.ends);
        lock(&self.cleared).retain(|digest| !report.cleared.contains(digest));
    }

    /// Takes what another instance tells, or this one has to tell itself where all turn to it.
    pub fn take_report(&self, now: Instant, report: &SuspicionReport) {
        let mut collector = lock(&self.collector);
        report.cleared.iter().for_each(|digest| collector.clear(now, *digest));
        let findings = collector.take(now, &report.ends);
        drop(collector);
        let found: Vec<ToldVerdict> = findings.iter().map(verdict_of).collect();
        let news = self.take_verdicts(now, &found, "own");
        for finding in findings.iter().filter(|f| news.iter().any(|n| n.digest == f.digest)) {
            let servers: Vec<String> = finding.servers.iter().map(ToString::to_string).collect();
            log::warn!(
                "event=request_found digest={} servers={} ended_since={}",
                finding.digest,
                servers.join(","),
                finding.ended
            );
        }
        self.take_verdicts(now, &report.verdicts, "peer");
        let mut verdicts = lock(&self.verdicts);
        for digest in &report.cleared {
            verdicts.clear(now, *digest);
        }
    }

    /// Takes verdicts, and returns those that are new.
    pub fn take_verdicts(
        &self,
        now: Instant,
        told: &[ToldVerdict],
        source: &str,
    ) -> Vec<ToldVerdict> {
        let news = lock(&self.verdicts).take(now, told);
        self.clear_known(now, &news);
        for verdict in news.iter().filter(|verdict| verdict.judgement != Judgement::Watched) {
            self.judged.set();
            let (digest, judgement) = (verdict.digest, verdict.judgement);
            log::warn!(
                "event=request_judged digest={digest} judgement={judgement:?} source={source}"
            );
        }
        news
    }

    /// Returns what is held back, or was until lately.
    pub fn lasting(&self, now: Instant) -> Vec<ToldVerdict> {
        lock(&self.verdicts).told(now)
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
    pub fn want_table(&self) {
        if !self.is_table_read.load(Ordering::Relaxed) {
            self.judged.set();
        }
    }

    /// Notes that the store's table has been read.
    pub fn table_is_read(&self) {
        self.is_table_read.store(true, Ordering::Relaxed);
    }

    /// Takes the requests that are to be watched.
    pub fn watch(&self, now: Instant, watched: &[ToldVerdict]) {
        if watched.is_empty() && lock(&self.verdicts).is_idle() {
            return;
        }
        let news = lock(&self.verdicts).watch(now, watched);
        self.clear_known(now, &news);
    }

    /// Clears those of new verdicts whose requests this instance has answered lately.
    fn clear_known(&self, now: Instant, news: &[ToldVerdict]) {
        let answered = lock(&self.answered);
        let known = |told: &&ToldVerdict| {
            told.judgement != Judgement::Cleared && answered.has(now, told.look, told.digest)
        };
        for verdict in news.iter().filter(known) {
            lock(&self.verdicts).answered(now, verdict.look, || verdict.digest);
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
    pub fn watched(&self, now: Instant) -> Vec<ToldVerdict> {
        lock(&self.collector).watched(now)
    }
}

fn verdict_of(finding: &Finding) -> ToldVerdict {
    let Finding { digest, look, .. } = *finding;
    ToldVerdict { digest, look, judgement: Judgement::Held, age_ms: 0 }
}

impl Request {
    /// Returns what is cheap to tell of the request.
    pub fn look(&self) -> RequestLook {
        let team = self.team.as_ref().map_or("", |team| team.as_str());
        RequestLook::of(team, &self.target, self.body.len())
    }
}
