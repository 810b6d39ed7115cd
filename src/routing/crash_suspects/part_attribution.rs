//! Attributes server crashes to parts of prompts, from the crash reports and responses of all instances.
//!
//! Requests with a part that crashes servers need not be alike in anything else, so each of them has few crashes: their
//! crashes add up by part. A crash also interrupts requests with harmless parts. Responses distinguish those:
//! whatever a server answers does not crash servers, and a response that began after a crash refutes that crash as
//! evidence against its parts.

use std::{
    cmp::Reverse,
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::{
    AnsweredReport, CrashReport, Judgement, PartFinding, PartJudgements, PromptPartId,
    RequestFingerprint, Suspect, SuspectDigest, SuspectKind, VerdictUpdate,
    part_record::{HeldPart, JUDGED_AFTER, PartCrash, PartRecord},
};
use crate::names::{ServiceName, Tag};

/// How long a crash counts: as for requests, long enough for parts that come rarely.
const CRASH_MAX_AGE: Duration = Duration::from_secs(600);

/// Crashes of a held part at which no part with more crashes was in flight.
const UNEXPLAINED_CRASHES: usize = 3;

/// Crashes of a part that no request had met before, from which it is held although others explain them: several parts
/// may have come to the same servers at once.
const UNMISTAKABLE_CRASHES: usize = 8;

/// Chance that a part with [`UNMISTAKABLE_CRASHES`] is harmless.
const UNMISTAKABLE_CHANCE: f64 = 0.0001;

/// Crashes of a held part that none of its requests had met before. A request that goes from one crashing server to the
/// next is judged as a request, not by what its prompt shares with others.
const HELD_NEW_CRASHES: usize = 3;

/// As [`HELD_NEW_CRASHES`], of a part with many requests: those that come at once go from server to server together.
const HELD_NEW_CRASHES_OF_MANY: usize = 2;

/// Different requests from which a part has many.
const MANY_REQUESTS: usize = 8;

/// How long a part that was answered is not watched: in a series of crashes, parts that many requests have come under
/// suspicion again and again until their next response is reported.
const TRUSTED_DURATION: Duration = Duration::from_secs(5);

/// Reports of each instance that a verdict waits for: in one of them, crashes and responses are in step.
const AWAITED_REPORTS: u32 = 2;

/// Greatest chance at which a harmless part would have met all its crashes without a response. Where many servers crash,
/// dozens of parts come under suspicion.
const HARMLESS_CHANCE_MAX: f64 = 0.02;

/// Maximum number of responses kept for a service.
const RESPONSES_MAX: usize = 4096;

/// Maximum number of parts with evidence: 4 MB. Beyond it, those with the fewest crashes are evicted.
const PARTS_MAX: usize = 8192;

/// Number of parts evicted at a time.
const EVICTION_BATCH: usize = PARTS_MAX / 8;

/// Maximum number of crashes kept.
const CRASHES_MAX: usize = 4096;

/// Maximum number of crashes kept of one part.
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
    /// Interval at which each instance reports.
    report_interval: Duration,
}

impl PartAttribution {
    /// Sets the interval at which each instance reports.
    pub fn set_report_interval(&mut self, interval: Duration) {
        self.report_interval = interval;
    }

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
        if record.judged_after().is_some() {
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

    /// Releases held parts that were answered since, or whose crashes others explain by now.
    fn clear_refuted(&mut self) -> Vec<SuspectDigest> {
        let is_refuted = |digest: &SuspectDigest, record: &PartRecord| {
            let answered = self.answered.get(digest).copied();
            let in_group = |other: &&PartRecord| other.group() == record.group();
            let is_explained = || {
                let mut others = self.parts.values().filter(in_group);
                others.any(|other| other.explains(record))
            };
            record.is_refuted(answered)
                || record.held.is_some() && (is_explained() || self.is_superseded(record))
        };
        let refuted = self.parts.iter().filter(|(digest, record)| is_refuted(digest, record));
        let cleared: Vec<SuspectDigest> = refuted.map(|(digest, _)| *digest).collect();
        for digest in &cleared {
            self.parts[digest].held = None;
        }
        cleared
    }

    /// Returns whether parts with more crashes that were held later were at all crashes of a held part. Where many servers
    /// crash, a harmless part may be found before those that it came to the same servers with.
    fn is_superseded(&self, record: &PartRecord) -> bool {
        let is_later = |other: &&PartRecord| {
            let held = other.held.zip(record.held);
            held.is_some_and(|(other, own)| other.since > own.since && other.group != own.group)
                && other.crashes.len() > record.crashes.len()
                && other.service == record.service
        };
        let later: Vec<&PartRecord> = self.parts.values().filter(is_later).collect();
        let is_explained =
            |server: &Tag| later.iter().any(|other| other.crashes.contains_key(server));
        !later.is_empty() && record.crashes.keys().all(is_explained)
    }

    /// Finds the parts that crash servers among those with enough crashes.
    fn find(&mut self, now: Instant) -> Vec<PartFinding> {
        self.candidates.retain(|digest| {
            let record = self.parts.get(digest);
            record.is_some_and(|r| r.held.is_none() && r.judged_after().is_some())
        });
        let mut candidates: Vec<SuspectDigest> = self.candidates.iter().copied().collect();
        candidates.sort_by_key(|digest| Reverse(self.parts[digest].crashes.len()));
        let mut found = Vec::new();
        for digest in candidates {
            if self.parts[&digest].held.is_none() && self.is_guilty(now, digest) {
                found.extend(self.hold_group(now, digest));
            }
        }
        found
    }

    fn is_guilty(&self, now: Instant, digest: SuspectDigest) -> bool {
        let record = &self.parts[&digest];
        let (Some(first), Some(time)) = (record.first_crash(), record.judged_after()) else {
            return false;
        };
        let age = now.saturating_duration_since(first);
        let new_crashes = record.new_crashes();
        let has_many = record.requests().len() >= MANY_REQUESTS;
        let new_min = if has_many { HELD_NEW_CRASHES_OF_MANY } else { HELD_NEW_CRASHES };
        if new_crashes < new_min || age < time + self.report_interval * AWAITED_REPORTS {
            return false;
        }
        let chance = self.harmless_chance(record, first);
        let is_unmistakable = || {
            new_crashes >= UNMISTAKABLE_CRASHES
                && chance <= UNMISTAKABLE_CHANCE
                && age >= JUDGED_AFTER + self.report_interval * AWAITED_REPORTS
        };
        chance <= HARMLESS_CHANCE_MAX
            && (self.unexplained_crashes(digest) >= UNEXPLAINED_CRASHES || is_unmistakable())
    }

    /// Returns the number of crashes of a part that are left once those with more crashes, and those that are held, explain
    /// what they can: each crash is blamed on as few parts as possible.
    fn unexplained_crashes(&self, digest: SuspectDigest) -> usize {
        let record = &self.parts[&digest];
        let is_rival = |other: &&PartRecord| {
            other.service == record.service
                && !other.is_same(record)
                && (other.held.is_some() || other.crashes.len() >= record.crashes.len())
        };
        let mut rivals: Vec<&PartRecord> = self.parts.values().filter(is_rival).collect();
        rivals.sort_by_key(|other| (other.held.is_none(), Reverse(other.crashes.len())));
        let mut explained: IndexSet<Tag> = IndexSet::new();
        for rival in rivals {
            let left = rival.crashes.keys().filter(|server| !explained.contains(*server));
            if rival.held.is_some() || left.count() >= UNEXPLAINED_CRASHES {
                explained.extend(rival.crashes.keys());
            }
        }
        record.crashes.keys().filter(|server| !explained.contains(*server)).count()
    }

    /// Returns how many responses of a service began since `first`.
    fn responses_since(&self, service: &ServiceName, first: Instant) -> usize {
        let known = self.responses.get(service);
        known.map_or(0, |began| began.iter().filter(|at| **at >= first).count())
    }

    /// Returns the chance that a harmless part would have met all its crashes since `first` without a response, by what
    /// became of requests without it. Without any response, its requests may be interrupted because all are.
    fn harmless_chance(&self, record: &PartRecord, first: Instant) -> f64 {
        let since = |crash: &&Crash| crash.service == record.service && crash.at >= first;
        let crashes = self.crashes.values().filter(since);
        let interrupted: IndexSet<SuspectDigest> =
            crashes.flat_map(|crash| &crash.interrupted).copied().collect();
        let others = interrupted.len().saturating_sub(record.requests().len());
        let answered = self.responses_since(&record.service, first);
        let chance = others as f64 / (others + answered).max(1) as f64;
        let crashes = i32::try_from(record.new_crashes()).unwrap_or(i32::MAX);
        if answered == 0 { 1.0 } else { chance.powi(crashes) }
    }

    /// Holds a part together with those that were at exactly the same crashes.
    fn hold_group(&mut self, now: Instant, digest: SuspectDigest) -> Vec<PartFinding> {
        let guilty = &self.parts[&digest];
        let same = |record: &PartRecord| record.held.is_none() && record.is_same(guilty);
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
                requests: record.requests().len(),
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
