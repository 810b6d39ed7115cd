//! Attributes server crashes to requests, from the crash reports of all instances.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::{
    CrashReport, RequestFingerprint, Suspect, SuspectDigest, SuspectKind, VerdictUpdate,
    verdicts::{CLEARED_DURATION, Judgement},
};
use crate::names::{ServiceName, Tag};

/// How long a crash counts: long enough for a caller that retries its request after minutes, and short enough to bound
/// what is kept for callers that never retry.
const CRASH_MAX_AGE: Duration = Duration::from_secs(600);

/// Score at which a request is held: three servers that crashed as they began to run it.
const HELD_SCORE: f64 = 3.0;

/// Score at which a request is held if another request was in flight at all the same servers: more than the two servers
/// of each of two attempts that a caller makes. Requests with a shared prompt go from server to server together.
const HELD_SCORE_AMONG_OTHERS: f64 = 5.0;

/// Score for the crash of a server that had run the request for a while.
const LONG_RUNNING_SCORE: f64 = 0.5;

/// Score from which a request is watched: a successful response at any instance clears it.
const WATCHED_SCORE: f64 = 1.5;

/// Minimum share of the crashes of its service, since its first one, at which a held request was in flight. If half of
/// the servers are killed at once, three times, no request is at more than one in nine of the crashes; of five requests
/// that crash servers at the same time, each is at a fifth.
const CRASH_SHARE_MIN: f64 = 0.2;

/// Maximum number of suspects: 2 MB. Beyond it, those with the lowest scores are evicted, the oldest first.
const SUSPECTS_MAX: usize = 16_384;

/// Number of suspects evicted at a time.
const EVICTION_BATCH: usize = SUSPECTS_MAX / 8;

/// Maximum number of crashes kept: one crash of each server at the planned size of a fleet.
const CRASHES_MAX: usize = 4096;

/// Maximum number of requests propagated as watched, those with the highest scores first: 400 bytes per reply.
const WATCHED_MAX: usize = 32;

/// Minimum time between two scans of all suspects for those to watch or expire: 302 instances send 400 reports a
/// second.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// How long a request is watched after its last crash: longer than callers go on retrying it.
const WATCHED_DURATION: Duration = Duration::from_secs(20);

/// Copies of a request at one server from which it counts as one that many callers send at once.
const MANY_COPIES: u32 = 3;

/// How long a request that many callers send at once is watched before it is held: two exchanges in most fleets, in
/// which all instances can report a successful response. In simulated days, 20 of 54,000 harmless requests were held
/// beside requests that crash servers without this delay, and 5 with it.
const WATCHED_BEFORE_HELD: Duration = Duration::from_millis(1000);

#[derive(Debug)]
struct Crash {
    at: Instant,
    service: ServiceName,
}

/// What has been reported of a suspected request.
#[derive(Debug)]
struct SuspectRecord {
    fingerprint: RequestFingerprint,
    service: ServiceName,
    /// Time of the first crash at which it was in flight.
    first: Instant,
    /// Time of the last crash at which it was in flight.
    last: Instant,
    /// Since when the request is watched.
    watched: Option<Instant>,
    servers: Vec<CrashScore>,
}

/// Score of a request for the crash of one server.
#[derive(Debug)]
struct CrashScore {
    server: Tag,
    score: f64,
    /// Copies of the request that were in flight there.
    copies: u32,
}

impl SuspectRecord {
    fn score(&self) -> f64 {
        self.servers.iter().map(|at| at.score).sum()
    }

    /// Returns the key by which suspects are ordered: the score in halves, then the time of the last crash.
    fn rank(&self) -> (u64, Instant) {
        ((self.score() * 2.0) as u64, self.last)
    }

    /// Returns whether many callers send the request at once and a successful response may not have been reported yet.
    fn may_have_succeeded(&self, now: Instant) -> bool {
        let many = self.servers.iter().any(|at| at.copies >= MANY_COPIES);
        let watched = self.watched.map(|since| now.saturating_duration_since(since));
        many && watched.is_none_or(|time| time < WATCHED_BEFORE_HELD)
    }
}

/// A request that is found to crash servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Digest of the request.
    pub digest: SuspectDigest,
    /// Servers that crashed with the request in flight.
    pub servers: Vec<Tag>,
    /// Servers of the service that crashed since the first of them.
    pub crashed: usize,
}

/// The crashes that all instances have reported, and the requests suspected of causing them.
#[derive(Debug, Default)]
pub struct CrashAttribution {
    crashes: IndexMap<Tag, Crash>,
    suspects: IndexMap<SuspectDigest, SuspectRecord>,
    /// Requests that will be held unless a successful response is reported for them.
    pending: IndexSet<SuspectDigest>,
    cleared: IndexMap<SuspectDigest, Instant>,
    watched: Vec<VerdictUpdate>,
    scanned: Option<Instant>,
}

impl CrashAttribution {
    /// Records crashes that an instance reports, and returns the requests that are found to crash servers.
    pub fn record(&mut self, now: Instant, reports: &[CrashReport]) -> Vec<Finding> {
        if reports.is_empty() && self.pending.is_empty() {
            return Vec::new();
        }
        self.scan(now);
        let is_evidence = |crash: &&CrashReport| {
            crash.in_flight.is_empty() || crash.in_flight.iter().any(|suspect| !suspect.is_cleared)
        };
        for crash in reports.iter().filter(is_evidence) {
            let at = now.checked_sub(Duration::from_millis(crash.age_ms)).unwrap_or(now);
            let new = || Crash { at, service: crash.service.clone() };
            self.crashes.entry(crash.server).or_insert_with(new);
            for suspect in crash.in_flight.iter().filter(|suspect| !suspect.is_cleared) {
                self.add_score(now, crash, suspect, at);
            }
        }
        let mut touched = std::mem::take(&mut self.pending);
        touched.extend(
            reports.iter().flat_map(|crash| &crash.in_flight).map(|suspect| suspect.digest),
        );
        let judged = touched.into_iter().filter_map(|digest| self.judge(now, digest));
        let findings: Vec<Finding> = judged.collect();
        for finding in &findings {
            self.suspects.shift_remove(&finding.digest);
            self.watched.retain(|update| update.digest != finding.digest);
        }
        findings
    }

    /// Notes that a request had a successful response, so that it does not crash servers.
    pub fn clear(&mut self, now: Instant, digest: SuspectDigest) {
        self.suspects.shift_remove(&digest);
        self.watched.retain(|update| update.digest != digest);
        self.cleared.insert(digest, now);
    }

    /// Returns requests that may turn out to crash servers. All instances check whether they have a successful
    /// response.
    pub fn watched(&mut self, now: Instant) -> Vec<VerdictUpdate> {
        self.scan(now);
        self.watched.clone()
    }

    /// Returns whether a server has crashed recently.
    pub fn is_alert(&self, now: Instant) -> bool {
        let last = self.crashes.last().map(|(_, crash)| crash.at);
        last.is_some_and(|at| now.saturating_duration_since(at) < WATCHED_DURATION)
    }

    /// Returns the number of suspects.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    fn add_score(&mut self, now: Instant, crash: &CrashReport, suspect: &Suspect, at: Instant) {
        if self.cleared.contains_key(&suspect.digest) {
            return;
        }
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&suspect.digest) {
            self.evict_lowest();
        }
        let new = || SuspectRecord {
            fingerprint: suspect.fingerprint,
            service: crash.service.clone(),
            first: at,
            last: at,
            watched: None,
            servers: Vec::new(),
        };
        let record = self.suspects.entry(suspect.digest).or_insert_with(new);
        record.first = record.first.min(at);
        record.last = record.last.max(at);
        let score = if suspect.long_running { LONG_RUNNING_SCORE } else { 1.0 };
        match record.servers.iter_mut().find(|known| known.server == crash.server) {
            Some(known) => {
                known.score = known.score.max(score);
                known.copies += 1;
            }
            None => record.servers.push(CrashScore { server: crash.server, score, copies: 1 }),
        }
        if record.score() >= WATCHED_SCORE {
            record.watched.get_or_insert(now);
        }
    }

    fn judge(&mut self, now: Instant, digest: SuspectDigest) -> Option<Finding> {
        let record = self.suspects.get(&digest).filter(|record| record.score() >= HELD_SCORE)?;
        let since = |crash: &&Crash| crash.service == record.service && crash.at >= record.first;
        let crashed = self.crashes.values().filter(since).count().max(record.servers.len());
        let crash_share = record.servers.len() as f64 / crashed as f64;
        let stands_out = record.score() >= HELD_SCORE_AMONG_OTHERS || self.is_alone(digest, record);
        if crash_share < CRASH_SHARE_MIN || !stands_out {
            return None;
        }
        if record.may_have_succeeded(now) {
            self.pending.insert(digest);
            return None;
        }
        let servers = record.servers.iter().map(|at| at.server).collect();
        Some(Finding { fingerprint: record.fingerprint, digest, servers, crashed })
    }

    /// Returns whether no other request was in flight at all the servers that crashed with this one.
    fn is_alone(&self, digest: SuspectDigest, record: &SuspectRecord) -> bool {
        let was_there = |other: &SuspectRecord| {
            let at = |server: Tag| other.servers.iter().any(|known| known.server == server);
            record.servers.iter().all(|known| at(known.server))
        };
        !self.suspects.iter().any(|(known, other)| *known != digest && was_there(other))
    }

    /// Evicts the suspects with the lowest scores.
    fn evict_lowest(&mut self) {
        self.suspects.sort_by_key(|_, record| record.rank());
        self.suspects.drain(..EVICTION_BATCH);
    }

    /// Removes expired crashes, suspects and cleared requests, and selects the requests to watch.
    fn scan(&mut self, now: Instant) {
        let scanned = self.scanned.map(|at| now.saturating_duration_since(at));
        if scanned.is_some_and(|age| age < SCAN_INTERVAL) || self.crashes.is_empty() {
            return;
        }
        self.scanned = Some(now);
        let is_old = |at: Instant, max_age: Duration| now.saturating_duration_since(at) > max_age;
        self.crashes.retain(|_, crash| !is_old(crash.at, CRASH_MAX_AGE));
        while self.crashes.len() > CRASHES_MAX {
            self.crashes.shift_remove_index(0);
        }
        self.suspects.retain(|_, record| !is_old(record.last, CRASH_MAX_AGE));
        self.cleared.retain(|_, at| !is_old(*at, CLEARED_DURATION));
        let mut watched: Vec<(&SuspectDigest, &SuspectRecord)> = self.suspects.iter().collect();
        watched.retain(|(_, r)| r.score() >= WATCHED_SCORE && !is_old(r.last, WATCHED_DURATION));
        watched.sort_by_key(|(_, record)| Reverse(record.rank()));
        let update = |(digest, record): (&SuspectDigest, &SuspectRecord)| VerdictUpdate {
            digest: *digest,
            fingerprint: record.fingerprint,
            judgement: Judgement::Watched,
            age_ms: 0,
            kind: SuspectKind::Request,
        };
        self.watched = watched.into_iter().take(WATCHED_MAX).map(update).collect();
    }
}
