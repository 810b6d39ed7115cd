//! Which requests are held back, as an instance knows it by its own word or others'.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{RequestDigest, RequestFingerprint};

/// How long a request is held back: time for operators to see it, and a bound on what a wrong verdict costs. One that
/// still ends servers after that ends three more in ten minutes.
pub const HOLD_DURATION: Duration = Duration::from_secs(600);

/// How long it counts that a request was cleared: late news of ends before that change nothing, and one that ends servers
/// all the same is held back again.
pub const CLEARED_DURATION: Duration = Duration::from_secs(60);

/// Most verdicts kept, and told in a message: 3 KB.
const KEPT_MAX: usize = 128;

/// What is said of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Judgement {
    /// It may be found to end servers; an answer clears it.
    Watched,
    /// It is held back.
    Held,
    /// It was held back and is no more: it was answered, or an operator says so.
    Cleared,
}

impl Judgement {
    fn life(self) -> Duration {
        match self {
            Judgement::Watched | Judgement::Held => HOLD_DURATION,
            Judgement::Cleared => CLEARED_DURATION,
        }
    }
}

/// A verdict as instances tell it each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictUpdate {
    /// The request.
    pub digest: RequestDigest,
    /// Its look.
    pub fingerprint: RequestFingerprint,
    /// What is said of it.
    pub judgement: Judgement,
    /// Milliseconds since that was first said.
    pub age_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Verdict {
    fingerprint: RequestFingerprint,
    judgement: Judgement,
    since: Instant,
}

/// Verdicts by request.
#[derive(Debug, Default)]
pub struct Verdicts {
    known: IndexMap<RequestDigest, Verdict>,
    /// Looks of requests that are held or watched.
    fingerprints: HashSet<RequestFingerprint>,
}

impl Verdicts {
    /// Returns whether no request is looked for, so that none needs a look.
    pub fn is_idle(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// Returns for how long a request is held back still; its body is read, by `digest`, only where its look is known.
    pub fn held(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
        digest: impl FnOnce() -> RequestDigest,
    ) -> Option<(RequestDigest, Duration)> {
        let digest = self.fingerprints.contains(&fingerprint).then(digest)?;
        let verdict = self.known.get(&digest).filter(|known| known.judgement == Judgement::Held)?;
        let left = HOLD_DURATION.checked_sub(now.saturating_duration_since(verdict.since))?;
        Some((digest, left))
    }

    /// Returns what is said of a request.
    pub fn judgement(
        &self,
        fingerprint: RequestFingerprint,
        digest: impl FnOnce() -> RequestDigest,
    ) -> Option<Judgement> {
        let digest = self.fingerprints.contains(&fingerprint).then(digest)?;
        self.known.get(&digest).map(|known| known.judgement)
    }

    /// Takes a good answer; returns the request if it was held or watched, and is so no more.
    pub fn answered(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        digest: impl FnOnce() -> RequestDigest,
    ) -> Option<RequestDigest> {
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

    /// Holds a request no more.
    pub fn clear(&mut self, now: Instant, digest: RequestDigest) {
        if let Some(verdict) = self.known.get_mut(&digest) {
            verdict.judgement = Judgement::Cleared;
            verdict.since = now;
        }
        self.update_fingerprints();
    }

    /// Takes verdicts that another instance tells, or this one has found; returns those that are new here.
    pub fn take(&mut self, now: Instant, told: &[VerdictUpdate]) -> Vec<VerdictUpdate> {
        let mut news = Vec::new();
        for said in told {
            let age = Duration::from_millis(said.age_ms);
            let known = self.known.get(&said.digest).map(|known| known.judgement);
            if age >= said.judgement.life() || known >= Some(said.judgement) {
                continue;
            }
            let since = now.checked_sub(age).unwrap_or(now);
            let verdict =
                Verdict { fingerprint: said.fingerprint, judgement: said.judgement, since };
            self.known.insert(said.digest, verdict);
            news.push(*said);
        }
        if !news.is_empty() {
            self.forget_most();
            self.update_fingerprints();
        }
        news
    }

    /// Takes the requests that are to be watched from now on, instead of those before.
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
        self.take(now, watched)
    }

    /// Returns what is held back, or was until lately, for other instances.
    pub fn updates(&mut self, now: Instant) -> Vec<VerdictUpdate> {
        let before = self.known.len();
        self.known
            .retain(|_, known| now.saturating_duration_since(known.since) < known.judgement.life());
        if self.known.len() != before {
            self.update_fingerprints();
        }
        let lasting = self.known.iter().filter(|(_, known)| known.judgement != Judgement::Watched);
        let told = |(digest, known): (&RequestDigest, &Verdict)| {
            let age = now.saturating_duration_since(known.since).as_millis();
            let (fingerprint, judgement) = (known.fingerprint, known.judgement);
            let age_ms = u64::try_from(age).unwrap_or(u64::MAX);
            VerdictUpdate { digest: *digest, fingerprint, judgement, age_ms }
        };
        lasting.map(told).collect()
    }

    /// Returns how many requests are held back.
    pub fn held_count(&self) -> usize {
        self.known.values().filter(|known| known.judgement == Judgement::Held).count()
    }

    /// Keeps what matters most, and of that the newest.
    fn forget_most(&mut self) {
        while self.known.len() > KEPT_MAX {
            let weight = |judgement| match judgement {
                Judgement::Watched => 0,
                Judgement::Cleared => 1,
                Judgement::Held => 2,
            };
            let least = self.known.values().enumerate();
            let least = least.min_by_key(|(_, known)| (weight(known.judgement), known.since));
            let least = least.map_or(0, |(place, _)| place);
            self.known.shift_remove_index(least);
        }
    }

    fn update_fingerprints(&mut self) {
        let sought = self.known.values().filter(|known| known.judgement != Judgement::Cleared);
        self.fingerprints = sought.map(|known| known.fingerprint).collect();
    }
}
