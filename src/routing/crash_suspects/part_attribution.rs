//! Attributes server crashes to parts of prompts, from the crash reports and responses of all instances.
//!
//! Requests with a part that crashes servers need not be alike in anything else, so each of them has few crashes: their
//! crashes add up by part. A crash also interrupts requests with harmless parts. Those are told apart by responses:
//! whatever a server answers does not crash servers, and a response that began after a crash refutes that crash as
//! evidence against its parts.

use std::{
    cmp::Reverse,
    collections::VecDeque,
    fmt,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::{
    AnsweredReport, CrashReport, Judgement, PromptPartId, RequestFingerprint, Suspect,
    SuspectDigest, SuspectKind, VerdictUpdate,
};
use crate::names::{ServiceName, Tag};

/// How long a crash counts: as for requests, long enough for parts that come rarely.
const CRASH_MAX_AGE: Duration = Duration::from_secs(600);

/// Crashed servers at which a part is held. One less than the operators' bound counts, since one crash may leave no
/// evidence.
const HELD_CRASHES: usize = 4;

/// Different requests with a held part among those crashes. Fewer are judged as requests, not by what they share.
const HELD_REQUESTS: usize = 3;

/// Crashed servers from which an interrupted request with the part is not retried.
const WATCHED_CRASHES: usize = 3;

/// How long a part is watched after its last crash.
const WATCHED_DURATION: Duration = Duration::from_secs(20);

/// How long a part that was answered is not watched: in a series of crashes, parts that many requests have come under
/// suspicion again and again until their next response is reported.
const TRUSTED_DURATION: Duration = Duration::from_secs(5);

/// Time from the first crash of a part to its verdict, in which all instances report their responses.
const JUDGED_AFTER: Duration = Duration::from_millis(1000);

/// Number of responses that a harmless part would have had, by its share in the interrupted requests, when its verdict
/// is due: the chance that there was none is one in fifty.
const EXPECTED_RESPONSES: f64 = 4.0;

/// Bounds of the number of responses of a service that a verdict waits for.
const AWAITED_RESPONSES: (usize, usize) = (4, 128);

/// Maximum number of responses kept for a service.
const RESPONSES_MAX: usize = 512;

/// Maximum number of parts with evidence: 4 MB. Beyond it, those with the fewest crashes are evicted.
const PARTS_MAX: usize = 8192;

/// Number of parts evicted at a time.
const EVICTION_BATCH: usize = PARTS_MAX / 8;

/// Maximum number of crashes kept, in all and of one part.
const CRASHES_MAX: usize = 4096;
const PART_CRASHES_MAX: usize = 64;

/// Maximum number of requests kept for one crash.
const CRASH_REQUESTS_MAX: usize = 64;

/// Maximum number of parts propagated as watched.
const WATCHED_MAX: usize = 32;

/// Minimum time between two removals of old evidence.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Crash of a server, with the requests that it interrupted.
#[derive(Debug)]
struct Crash {
    at: Instant,
    service: ServiceName,
    interrupted: IndexSet<SuspectDigest>,
}

/// Crash of a server, as evidence against a part.
#[derive(Debug)]
struct PartCrash {
    at: Instant,
    /// Interrupted requests with the part.
    requests: IndexSet<SuspectDigest>,
}

/// What is known of a part.
#[derive(Debug)]
struct PartRecord {
    part: PromptPartId,
    service: ServiceName,
    /// Crashes that no response refutes, by server.
    crashes: IndexMap<Tag, PartCrash>,
    held: Option<HeldPart>,
}

/// The verdict on a part.
#[derive(Debug, Clone, Copy)]
struct HeldPart {
    /// The parts that it is held together with.
    group: RequestFingerprint,
    since: Instant,
    /// Whether this instance has the evidence.
    is_own: bool,
}

/// A part that is found to crash servers.
#[derive(Debug, Clone, PartialEq)]
pub struct PartFinding {
    /// The part.
    pub part: PromptPartId,
    /// Its digest.
    pub digest: SuspectDigest,
    /// The service whose servers it crashes.
    pub service: ServiceName,
    /// Identifies the parts that came together at every crash and cannot be told apart: only requests with all of them
    /// are held.
    pub group: RequestFingerprint,
    /// Servers that crashed.
    pub servers: Vec<Tag>,
    /// Number of different requests with the part among those interrupted.
    pub requests: usize,
}

impl PartFinding {
    /// Returns the verdict on the part.
    pub fn verdict(&self) -> VerdictUpdate {
        VerdictUpdate {
            digest: self.digest,
            fingerprint: self.group,
            judgement: Judgement::Held,
            age_ms: 0,
            kind: SuspectKind::Part,
        }
    }
}

impl fmt::Display for PartFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PartFinding { part, digest, service, group, servers, requests } = self;
        let servers: Vec<String> = servers.iter().map(ToString::to_string).collect();
        let servers = servers.join(",");
        write!(f, "part={part} digest={digest} service={service} held_with={group} ")?;
        write!(f, "requests={requests} servers={servers}")
    }
}

/// Changes of verdicts.
#[derive(Debug, Default, PartialEq)]
pub struct PartJudgements {
    /// Parts to hold.
    pub found: Vec<PartFinding>,
    /// Parts not to hold any more.
    pub cleared: Vec<SuspectDigest>,
}

/// Crashes and responses that all instances have reported, by part.
#[derive(Debug, Default)]
pub struct PartAttribution {
    crashes: IndexMap<Tag, Crash>,
    parts: IndexMap<SuspectDigest, PartRecord>,
    /// Parts with enough crashes for a verdict.
    candidates: IndexSet<SuspectDigest>,
    /// When the last response to a request with a part began, by part.
    answered: IndexMap<SuspectDigest, Instant>,
    /// When the last responses of each service began.
    responses: IndexMap<ServiceName, VecDeque<Instant>>,
    expired: Option<Instant>,
}

impl PartRecord {
    fn first_crash(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.at).min()
    }

    fn last_crash(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// Returns the number of interrupted requests with the part, one that was interrupted twice counting twice.
    fn interruptions(&self) -> usize {
        self.crashes.values().map(|crash| crash.requests.len()).sum()
    }

    /// Returns the number of different requests among them.
    fn requests(&self) -> usize {
        let all: IndexSet<&SuspectDigest> =
            self.crashes.values().flat_map(|crash| &crash.requests).collect();
        all.len()
    }

    /// Returns whether the part was at all the crashes of another one.
    fn covers(&self, other: &PartRecord) -> bool {
        self.crashes.len() >= other.crashes.len()
            && self.service == other.service
            && other.crashes.keys().all(|server| self.crashes.contains_key(server))
    }

    /// Returns whether the part explains all crashes of another one, which thus need not be blamed.
    fn explains(&self, other: &PartRecord) -> bool {
        let is_held_without = self.held.is_some() && self.group() != other.group();
        (is_held_without || self.crashes.len() > other.crashes.len()) && self.covers(other)
    }

    fn group(&self) -> Option<RequestFingerprint> {
        self.held.map(|held| held.group)
    }

    /// Removes the crashes that a response refutes which began at `began`: the part had crashed no server so far.
    fn refute(&mut self, began: Instant) {
        self.crashes.retain(|_, crash| crash.at > began);
    }

    /// Returns whether its last response, which began at `answered`, refutes the verdict on the part.
    fn is_refuted(&self, answered: Option<Instant>) -> bool {
        let Some(held) = self.held else { return false };
        answered.is_some_and(|began| began >= held.since || held.is_own && self.crashes.is_empty())
    }

    /// Returns whether the part comes under suspicion.
    fn is_suspicious(&self, now: Instant) -> bool {
        let age = self.last_crash().map(|at| now.saturating_duration_since(at));
        self.held.is_none()
            && self.crashes.len() >= WATCHED_CRASHES
            && age.is_some_and(|age| age < WATCHED_DURATION)
    }
}

impl PartAttribution {
    /// Records what an instance reports, and returns how the verdicts change. `held` are the verdicts in force.
    pub fn record(
        &mut self,
        now: Instant,
        crashes: &[CrashReport],
        answered: &AnsweredReport,
        held: &[VerdictUpdate],
    ) -> PartJudgements {
        if self.is_idle() && crashes.is_empty() {
            return PartJudgements::default();
        }
        self.expire(now);
        crashes.iter().for_each(|crash| self.add_crash(now, crash));
        self.add_answered(now, answered);
        self.adopt_verdicts(now, held);
        let cleared = self.clear_refuted();
        let found = self.find(now);
        PartJudgements { found, cleared }
    }

    /// Returns the parts that may turn out to crash servers, those with the most crashes first.
    pub fn watched(&self, now: Instant) -> Vec<VerdictUpdate> {
        let mut watched: Vec<(&SuspectDigest, &PartRecord)> =
            self.parts.iter().filter(|(_, record)| record.is_suspicious(now)).collect();
        watched.retain(|(digest, _)| !self.is_trusted(now, digest));
        watched.sort_by_key(|(_, record)| Reverse(record.crashes.len()));
        let update = |(digest, _): (&SuspectDigest, &PartRecord)| VerdictUpdate {
            digest: *digest,
            fingerprint: group_of(&[*digest]),
            judgement: Judgement::Watched,
            age_ms: 0,
            kind: SuspectKind::Part,
        };
        watched.into_iter().take(WATCHED_MAX).map(update).collect()
    }

    /// Drops all evidence against a part, on an operator's decision.
    pub fn clear(&mut self, digest: SuspectDigest) {
        self.parts.shift_remove(&digest);
        self.candidates.shift_remove(&digest);
    }

    fn is_trusted(&self, now: Instant, digest: &SuspectDigest) -> bool {
        let age = self.answered.get(digest).map(|at| now.saturating_duration_since(*at));
        age.is_some_and(|age| age < TRUSTED_DURATION)
    }

    fn is_idle(&self) -> bool {
        self.crashes.is_empty() && self.parts.is_empty()
    }

    fn add_crash(&mut self, now: Instant, report: &CrashReport) {
        let at = now.checked_sub(Duration::from_millis(report.age_ms)).unwrap_or(now);
        let service = &report.service;
        let new = || Crash { at, service: service.clone(), interrupted: IndexSet::new() };
        let crash = self.crashes.entry(report.server).or_insert_with(new);
        let at = crash.at;
        for suspect in report.in_flight.iter().filter(|suspect| !suspect.long_running) {
            if crash.interrupted.len() < CRASH_REQUESTS_MAX {
                crash.interrupted.insert(suspect.digest);
            }
        }
        // What a server had run for a while before it ended was not the cause.
        for suspect in report.in_flight.iter().filter(|suspect| !suspect.long_running) {
            for part in &suspect.parts {
                self.add_evidence(service, *part, (report.server, at), suspect);
            }
        }
    }

    fn add_evidence(
        &mut self,
        service: &ServiceName,
        part: PromptPartId,
        (server, at): (Tag, Instant),
        suspect: &Suspect,
    ) {
        let digest = SuspectDigest::of_part(service, part);
        if self.parts.len() >= PARTS_MAX && !self.parts.contains_key(&digest) {
            self.evict();
        }
        if self.answered.get(&digest).is_some_and(|began| *began >= at) {
            return;
        }
        let record = self.record_of(digest, part, service);
        let is_full = record.crashes.len() >= PART_CRASHES_MAX;
        if is_full && !record.crashes.contains_key(&server) {
            return;
        }
        let new = || PartCrash { at, requests: IndexSet::new() };
        let crash = record.crashes.entry(server).or_insert_with(new);
        if crash.requests.len() < CRASH_REQUESTS_MAX {
            crash.requests.insert(suspect.digest);
        }
        if record.crashes.len() >= HELD_CRASHES {
            self.candidates.insert(digest);
        }
    }

    fn record_of(
        &mut self,
        digest: SuspectDigest,
        part: PromptPartId,
        service: &ServiceName,
    ) -> &mut PartRecord {
        self.parts.entry(digest).or_insert_with(|| PartRecord {
            part,
            service: service.clone(),
            crashes: IndexMap::new(),
            held: None,
        })
    }

    fn add_answered(&mut self, now: Instant, report: &AnsweredReport) {
        let then =
            |ago_ms: u32| now.checked_sub(Duration::from_millis(u64::from(ago_ms))).unwrap_or(now);
        for answered in &report.parts {
            let began = then(answered.began_ago_ms);
            let known = self.answered.entry(answered.digest).or_insert(began);
            *known = began.max(*known);
            if let Some(record) = self.parts.get_mut(&answered.digest) {
                record.refute(began);
            }
        }
        if self.answered.len() > PARTS_MAX {
            self.answered.sort_by_key(|_, began| *began);
            self.answered.drain(..EVICTION_BATCH);
        }
        for responses in &report.responses {
            let known = self.responses.entry(responses.service.clone()).or_default();
            known.extend(responses.began_ago_ms.iter().map(|ago_ms| then(*ago_ms)));
            let excess = known.len().saturating_sub(RESPONSES_MAX);
            known.drain(..excess);
        }
    }

    /// Takes over the verdicts in force: this instance may have become the aggregator since they were found, and operators
    /// lift them.
    fn adopt_verdicts(&mut self, now: Instant, verdicts: &[VerdictUpdate]) {
        let is_held = |verdict: &&VerdictUpdate| {
            verdict.kind == SuspectKind::Part && verdict.judgement == Judgement::Held
        };
        let held: IndexMap<SuspectDigest, &VerdictUpdate> =
            verdicts.iter().filter(is_held).map(|verdict| (verdict.digest, verdict)).collect();
        for (digest, record) in &mut self.parts {
            let Some(verdict) = held.get(digest) else {
                record.held = None;
                continue;
            };
            let age = Duration::from_millis(verdict.age_ms);
            let since = now.checked_sub(age).unwrap_or(now);
            let is_own = record.held.is_some_and(|held| held.is_own);
            record.held = Some(HeldPart { group: verdict.fingerprint, since, is_own });
        }
    }

    /// Releases held parts that were answered since, or that another part of their group explains by now.
    fn clear_refuted(&mut self) -> Vec<SuspectDigest> {
        let is_refuted = |digest: &SuspectDigest, record: &PartRecord| {
            let answered = self.answered.get(digest).copied();
            let in_group = |other: &&PartRecord| other.group() == record.group();
            let is_explained = || {
                let mut others = self.parts.values().filter(in_group);
                others.any(|other| other.explains(record))
            };
            record.is_refuted(answered) || record.held.is_some() && is_explained()
        };
        let refuted = self.parts.iter().filter(|(digest, record)| is_refuted(digest, record));
        let cleared: Vec<SuspectDigest> = refuted.map(|(digest, _)| *digest).collect();
        for digest in &cleared {
            self.parts[digest].held = None;
        }
        cleared
    }

    /// Finds the parts that crash servers among those with enough crashes.
    fn find(&mut self, now: Instant) -> Vec<PartFinding> {
        self.candidates.retain(|digest| {
            let record = self.parts.get(digest);
            record.is_some_and(|r| r.held.is_none() && r.crashes.len() >= HELD_CRASHES)
        });
        let mut found = Vec::new();
        for digest in self.candidates.clone() {
            let record = &self.parts[&digest];
            if record.held.is_none() && self.is_guilty(now, record) {
                found.extend(self.hold_group(now, digest));
            }
        }
        found
    }

    fn is_guilty(&self, now: Instant, record: &PartRecord) -> bool {
        let Some(first) = record.first_crash() else { return false };
        record.requests() >= HELD_REQUESTS
            && now.saturating_duration_since(first) >= JUDGED_AFTER
            && self.responses_since(&record.service, first) >= self.awaited_responses(record, first)
            && !self.parts.values().any(|other| other.explains(record))
    }

    /// Returns how many responses of a service began since `first`.
    fn responses_since(&self, service: &ServiceName, first: Instant) -> usize {
        let known = self.responses.get(service);
        known.map_or(0, |began| began.iter().filter(|at| **at >= first).count())
    }

    /// Returns the number of responses to requests without the part that a verdict on it waits for: without any, its
    /// requests may be interrupted because all are.
    fn awaited_responses(&self, record: &PartRecord, first: Instant) -> usize {
        let crashes = self.crashes.values();
        let since = crashes.filter(|crash| crash.service == record.service && crash.at >= first);
        let all: usize = since.map(|crash| crash.interrupted.len()).sum();
        let own = record.interruptions();
        let per_own = all.saturating_sub(own) as f64 / own.max(1) as f64;
        let (least, most) = AWAITED_RESPONSES;
        ((EXPECTED_RESPONSES * per_own).ceil() as usize).clamp(least, most)
    }

    /// Holds a part together with those that were at exactly the same crashes.
    fn hold_group(&mut self, now: Instant, digest: SuspectDigest) -> Vec<PartFinding> {
        let guilty = &self.parts[&digest];
        let same = |record: &PartRecord| {
            record.held.is_none() && record.covers(guilty) && guilty.covers(record)
        };
        let members = self.parts.iter().filter(|(_, record)| same(record));
        let members: Vec<SuspectDigest> = members.map(|(digest, _)| *digest).collect();
        let group = group_of(&members);
        let find = |digest: SuspectDigest| {
            let record = &mut self.parts[&digest];
            record.held = Some(HeldPart { group, since: now, is_own: true });
            PartFinding {
                part: record.part,
                digest,
                service: record.service.clone(),
                group,
                servers: record.crashes.keys().copied().collect(),
                requests: record.requests(),
            }
        };
        members.into_iter().map(find).collect()
    }

    /// Evicts the parts with the fewest crashes, the oldest first.
    fn evict(&mut self) {
        self.parts.sort_by_key(|_, record| (record.crashes.len(), record.last_crash()));
        self.parts.drain(..EVICTION_BATCH);
    }

    /// Removes old evidence.
    fn expire(&mut self, now: Instant) {
        let age = self.expired.map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age < EXPIRY_INTERVAL) {
            return;
        }
        self.expired = Some(now);
        let is_old = |at: Instant| now.saturating_duration_since(at) > CRASH_MAX_AGE;
        self.crashes.retain(|_, crash| !is_old(crash.at));
        let excess = self.crashes.len().saturating_sub(CRASHES_MAX);
        self.crashes.drain(..excess);
        for record in self.parts.values_mut() {
            record.crashes.retain(|_, crash| !is_old(crash.at));
        }
        self.parts.retain(|_, record| !record.crashes.is_empty() || record.held.is_some());
        self.answered.retain(|_, began| !is_old(*began));
        self.responses.retain(|_, began| began.back().is_some_and(|at| !is_old(*at)));
    }
}

/// Returns what identifies a group of parts.
fn group_of(members: &[SuspectDigest]) -> RequestFingerprint {
    let mut sorted: Vec<[u8; 8]> = members.iter().map(|digest| digest.0.to_le_bytes()).collect();
    sorted.sort();
    RequestFingerprint(SuspectDigest::of(&[&sorted.concat()]).0 as u32)
}
