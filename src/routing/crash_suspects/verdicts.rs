//! Verdicts on suspected requests: what this instance has found and what it has received from others.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{RequestFingerprint, SuspectDigest, SuspectKind};

/// How long a request is held: long enough for operators to notice it, and short enough to bound the cost of a wrong
/// verdict. A request that still crashes servers after that crashes three more in ten minutes.
pub const HOLD_DURATION: Duration = Duration::from_secs(600);

/// How long a request stays cleared: late reports of earlier crashes have no effect in this time, and a request that
/// crashes servers afterwards is held again.
pub const CLEARED_DURATION: Duration = Duration::from_secs(60);

/// Maximum number of verdicts kept, and sent in one message: 3 KB.
const VERDICTS_MAX: usize = 128;

/// Time from which one of two verdicts counts as the later one: more than messages between instances take.
const SUPERSEDED_AFTER: Duration = Duration::from_millis(500);

/// Judgement on a request. A later variant supersedes an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Judgement {
    /// It may turn out to crash servers. A successful response clears it.
    Watched,
    /// It is held: all instances reject it.
    Held,
    /// It is no longer held, after a successful response or an operator's decision.
    Cleared,
}

impl Judgement {
    fn max_age(self) -> Duration {
        match self {
            Judgement::Watched | Judgement::Held => HOLD_DURATION,
            Judgement::Cleared => CLEARED_DURATION,
        }
    }
}

/// A verdict as it is propagated between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictUpdate {
    /// Digest of the request.
    pub digest: SuspectDigest,
    /// Fingerprint of the request. Of a part, it identifies the parts that it is held together with.
    pub fingerprint: RequestFingerprint,
    /// Judgement on the request or part.
    pub judgement: Judgement,
    /// Milliseconds since the judgement was made.
    pub age_ms: u64,
    /// Whether it is on a request or a part of prompts.
    #[serde(default)]
    pub kind: SuspectKind,
}

#[derive(Debug, Clone, Copy)]
struct Verdict {
    fingerprint: RequestFingerprint,
    judgement: Judgement,
    since: Instant,
    kind: SuspectKind,
}

impl Verdict {
    fn is_held_part(&self) -> bool {
        self.kind == SuspectKind::Part && self.judgement == Judgement::Held
    }

    fn is_sought(&self, kind: SuspectKind) -> bool {
        self.kind == kind && self.judgement != Judgement::Cleared
    }

    /// Returns whether an update that was made at `since` replaces this verdict. On a part, the later of two verdicts
    /// holds: one that was cleared may crash servers from now on.
    fn is_superseded_by(&self, update: &VerdictUpdate, since: Instant) -> bool {
        let is_later = since >= self.since + SUPERSEDED_AFTER;
        let is_earlier = self.since >= since + SUPERSEDED_AFTER;
        match self.kind {
            SuspectKind::Part if is_later && update.judgement != Judgement::Watched => {
                (update.judgement, update.fingerprint) != (self.judgement, self.fingerprint)
            }
            SuspectKind::Part if is_earlier => false,
            _ => update.judgement > self.judgement,
        }
    }
}

/// Verdicts by digest.
#[derive(Debug, Default)]
pub struct Verdicts {
    known: IndexMap<SuspectDigest, Verdict>,
    /// Fingerprints of requests that are held or watched.
    fingerprints: HashSet<RequestFingerprint>,
    /// Whether parts are held or watched.
    has_parts: bool,
}

impl Verdicts {
    /// Returns whether no request is held or watched, so that no fingerprint need be computed.
    pub fn is_idle(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// Returns whether neither a request nor a part is held or watched.
    pub fn watches_nothing(&self) -> bool {
        self.is_idle() && !self.has_parts
    }

    /// Returns whether parts are held or watched, so that the parts of prompts have to be looked up.
    pub fn has_parts(&self) -> bool {
        self.has_parts
    }

    /// Returns for how long a request with these parts is still held, and one of the parts that it is held for. Parts
    /// that cannot be distinguished are held together: only requests with all of them are.
    pub fn held_part(
        &self,
        now: Instant,
        parts: &[SuspectDigest],
    ) -> Option<(SuspectDigest, Duration)> {
        parts.iter().find_map(|digest| {
            let verdict = self.known.get(digest).filter(|known| known.is_held_part())?;
            let left = HOLD_DURATION.checked_sub(now.saturating_duration_since(verdict.since))?;
            let mut group = self.known.iter().filter(|(_, known)| {
                known.is_held_part() && known.fingerprint == verdict.fingerprint
            });
            group.all(|(member, _)| parts.contains(member)).then_some((*digest, left))
        })
    }

    /// Returns whether one of these parts is watched.
    pub fn watches_part(&self, parts: &[SuspectDigest]) -> bool {
        let judgement = |digest| self.known.get(digest).map(|known| known.judgement);
        parts.iter().any(|digest| judgement(digest) == Some(Judgement::Watched))
    }

    /// Returns for how long a request is still held. `digest`, which hashes the body, is called only if the fingerprint
    /// is that of a held or watched request.
    pub fn held(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
        digest: impl FnOnce() -> SuspectDigest,
    ) -> Option<(SuspectDigest, Duration)> {
        let digest = self.fingerprints.contains(&fingerprint).then(digest)?;
        let verdict = self.known.get(&digest).filter(|known| known.judgement == Judgement::Held)?;
        let left = HOLD_DURATION.checked_sub(now.saturating_duration_since(verdict.since))?;
        Some((digest, left))
    }

    /// Returns the judgement on a request.
    pub fn judgement(
        &self,
        fingerprint: RequestFingerprint,
        digest: impl FnOnce() -> SuspectDigest,
    ) -> Option<Judgement> {
        let digest = self.fingerprints.contains(&fingerprint).then(digest)?;
        self.known.get(&digest).map(|known| known.judgement)
    }

    /// Clears a request that had a successful response; returns its digest if it was held or watched.
    pub fn clear_successful(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        digest: impl FnOnce() -> SuspectDigest,
    ) -> Option<SuspectDigest> {
        let digest = self.fingerprints.contains(&fingerprint).then(digest)?;
        let known = self.known.get(&digest)?.judgement;
        match known {
            Judgement::Watched => {
                self.known.shift_remove(&digest);
                self.update_fingerprints();
            }
            Judgement::Held => self.clear(now, digest),
            Judgement::Cleared => return None,
        }
        Some(digest)
    }

    /// Clears a request, which is not held any more.
    pub fn clear(&mut self, now: Instant, digest: SuspectDigest) {
        if let Some(verdict) = self.known.get_mut(&digest) {
            verdict.judgement = Judgement::Cleared;
            verdict.since = now;
        }
        self.update_fingerprints();
    }

    /// Merges verdicts that were received or found here; returns those that were new.
    pub fn merge(&mut self, now: Instant, updates: &[VerdictUpdate]) -> Vec<VerdictUpdate> {
        let mut new = Vec::new();
        for update in updates {
            let age = Duration::from_millis(update.age_ms);
            let since = now.checked_sub(age).unwrap_or(now);
            let known = self.known.get(&update.digest);
            let is_new = known.is_none_or(|known| known.is_superseded_by(update, since));
            if age >= update.judgement.max_age() || !is_new {
                continue;
            }
            let VerdictUpdate { fingerprint, judgement, kind, .. } = *update;
            let verdict = Verdict { fingerprint, judgement, since, kind };
            self.known.insert(update.digest, verdict);
            new.push(*update);
        }
        if !new.is_empty() {
            self.evict_excess();
            self.update_fingerprints();
        }
        new
    }

    /// Replaces the watched requests by `watched`.
    ///
    /// Returns those that were not watched before.
    pub fn watch(&mut self, now: Instant, watched: &[VerdictUpdate]) -> Vec<VerdictUpdate> {
        let before = self.known.len();
        self.known.retain(|digest, known| {
            known.judgement != Judgement::Watched || watched.iter().any(|w| w.digest == *digest)
        });
        if self.known.len() != before {
            self.update_fingerprints();
        }
        self.merge(now, watched)
    }

    /// Returns the requests that are held or were cleared recently, for other instances.
    pub fn updates(&mut self, now: Instant) -> Vec<VerdictUpdate> {
        let before = self.known.len();
        self.known.retain(|_, known| {
            now.saturating_duration_since(known.since) < known.judgement.max_age()
        });
        if self.known.len() != before {
            self.update_fingerprints();
        }
        let propagated =
            self.known.iter().filter(|(_, known)| known.judgement != Judgement::Watched);
        let update = |(digest, known): (&SuspectDigest, &Verdict)| {
            let age = now.saturating_duration_since(known.since).as_millis();
            let Verdict { fingerprint, judgement, kind, .. } = *known;
            let age_ms = u64::try_from(age).unwrap_or(u64::MAX);
            VerdictUpdate { digest: *digest, fingerprint, judgement, age_ms, kind }
        };
        propagated.map(update).collect()
    }

    /// Returns how many requests or parts are held.
    pub fn held_count(&self, kind: SuspectKind) -> usize {
        let is_held = |known: &&Verdict| known.kind == kind && known.judgement == Judgement::Held;
        self.known.values().filter(is_held).count()
    }

    /// Removes verdicts beyond the maximum: watched ones first, then cleared ones, held requests and held parts, the
    /// oldest of each first. A held part stands for many requests.
    fn evict_excess(&mut self) {
        while self.known.len() > VERDICTS_MAX {
            let weight = |known: &Verdict| match known.judgement {
                Judgement::Watched => 0,
                Judgement::Cleared => 1,
                Judgement::Held => 2,
            };
            let least = self.known.values().enumerate();
            let least = least.min_by_key(|(_, known)| (weight(known), known.kind, known.since));
            let least = least.map_or(0, |(index, _)| index);
            self.known.shift_remove_index(least);
        }
    }

    fn update_fingerprints(&mut self) {
        let sought = self.known.values().filter(|known| known.is_sought(SuspectKind::Request));
        self.fingerprints = sought.map(|known| known.fingerprint).collect();
        self.has_parts = self.known.values().any(|known| known.is_sought(SuspectKind::Part));
    }
}
