//! Crash suspects at this instance: requests that may crash the servers that run them, and the reports about them.

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

/// Timeout for the connection that checks whether a server has crashed: many round trips within a region. The request
/// that waits for the check is retried on another server right after.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Requests that are suspected of crashing servers, as this instance knows them.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    /// Servers that crashed with requests of this instance in flight.
    crashes: Mutex<ServerCrashes>,
    /// Crash reports of all instances, if this one is the aggregator.
    attribution: Mutex<CrashAttribution>,
    verdicts: Mutex<Verdicts>,
    successes: Mutex<RecentSuccesses>,
    /// Requests that were watched or held and had a successful response, to be reported.
    cleared: Mutex<Vec<RequestDigest>>,
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
    pub cleared: Vec<RequestDigest>,
    /// Verdicts that it has.
    pub verdicts: Vec<VerdictUpdate>,
}

impl CrashSuspects {
    /// Returns for how long the request is held, with its digest.
    pub fn held(&self, now: Instant, request: &Request) -> Option<(RequestDigest, Duration)> {
        self.held_by(now, || request.fingerprint(), || request.digest())
    }

    /// As [`CrashSuspects::held`]. Computes neither fingerprint nor digest while no request is held or watched.
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

    /// Returns whether a request that a crash has just interrupted must not be retried on another server, because it is
    /// held or watched. Until it is held, each of its remaining attempts thus crashes one server, not as many as its
    /// route allows.
    pub fn forbids_retry(&self, request: &Request) -> bool {
        self.forbids_retry_by(|| request.fingerprint(), || request.digest())
    }

    /// As [`CrashSuspects::forbids_retry`]. Computes neither fingerprint nor digest while no request is held or
    /// watched.
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
        digest: impl Fn() -> RequestDigest,
    ) -> Option<RequestDigest> {
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

    /// Notes that the connection to a server was lost with the request in flight there. `long_running` tells whether
    /// the server had run it for a while.
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

    /// Notes a request that was in flight at a server that crashed, unless it had a successful response recently.
    pub fn note_crash(
        &self,
        now: Instant,
        server: &Incarnation,
        service: &ServiceName,
        suspect: Suspect,
    ) {
        let mut successes = lock(&self.successes);
        successes.alert(now);
        if !successes.contains(now, suspect.fingerprint, suspect.digest) {
            lock(&self.crashes).note(now, server, service, suspect);
        }
    }

    /// Checks whether a server whose connection was lost has crashed: then its address refuses connections. A server
    /// that announced that it leaves is not checked, since it stops with the requests that it has not finished.
    fn has_crashed(&self, gateway: &Gateway, server: &BackendServer) -> bool {
        let now = gateway.clock.now();
        if let Some(known) = lock(&self.crashes).has_crashed(now, &server.id) {
            return known;
        }
        let is_in_use = gateway.cluster_state.with_servers(|roster| {
            roster.servers().any(|listed| listed.id == server.id && !listed.leaving)
        });
        if !is_in_use {
            return false;
        }
        match gateway.conns.connect(server.address, now + CHECK_TIMEOUT) {
            Ok(conn) => {
                lock(&self.crashes).note_alive(now, &server.id);
                let max_connections = gateway.max_connections(&server.service);
                gateway.conns.keep(&server.id, conn, None, max_connections);
                false
            }
            Err(fault) => {
                // Where this instance is partitioned, all servers seem to refuse.
                gateway.note_connect_failed(&server.id, &fault);
                let refused = fault.kind() == ErrorKind::ConnectionRefused
                    && gateway.is_fault_of_server(server, now + CHECK_TIMEOUT);
                log::info!("event=server_ended server={} sure={refused} reason={fault}", server.id);
                refused
            }
        }
    }

    /// Returns what this instance reports to the aggregator.
    pub fn report(&self, now: Instant) -> CrashSuspectsReport {
        CrashSuspectsReport {
            crashes: lock(&self.crashes).unreported(now),
            cleared: lock(&self.cleared).clone(),
            verdicts: self.verdict_updates(now),
        }
    }

    /// Notes that the aggregator `to` has received a report.
    pub fn mark_reported(&self, to: RunId, report: &CrashSuspectsReport) {
        lock(&self.crashes).mark_reported(to, &report.crashes);
        lock(&self.cleared).retain(|digest| !report.cleared.contains(digest));
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
        let mut verdicts = lock(&self.verdicts);
        for digest in &report.cleared {
            verdicts.clear(now, *digest);
        }
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

    /// Returns how many requests are held.
    pub fn held_count(&self) -> usize {
        lock(&self.verdicts).held_count()
    }

    /// Clears a request on an operator's decision.
    pub fn lift(&self, now: Instant, digest: RequestDigest) {
        lock(&self.verdicts).clear(now, digest);
        lock(&self.attribution).clear(now, digest);
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
        if watched.is_empty() && lock(&self.verdicts).is_idle() {
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
    }

    /// Returns the requests that all instances have to watch, if this one is the aggregator.
    pub fn watched(&self, now: Instant) -> Vec<VerdictUpdate> {
        lock(&self.attribution).watched(now)
    }
}

fn verdict_of(finding: &Finding) -> VerdictUpdate {
    let Finding { digest, fingerprint, .. } = *finding;
    VerdictUpdate { digest, fingerprint, judgement: Judgement::Held, age_ms: 0 }
}

impl Request {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let team = self.team.as_ref().map_or("", |team| team.as_str());
        RequestFingerprint::of(team, &self.target, self.body.len())
    }
}
