//! The evidence against one part of prompts.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::{PromptPartId, RequestFingerprint, SuspectDigest};
use crate::names::{ServiceName, Tag};

/// Crashed servers at which a part is held: one less than the operators' bound counts, as a crash may leave no evidence.
const HELD_CRASHES: usize = 4;

/// Crashed servers at which a part is held sooner. Where many servers are killed, a few of them may be those that a
/// harmless part has come to one after the other, before one of them could answer.
const HELD_SOON_CRASHES: usize = 8;

/// Crashed servers from which an interrupted request with the part is not retried.
const WATCHED_CRASHES: usize = 3;

/// How long a part is watched after its last crash.
const WATCHED_DURATION: Duration = Duration::from_secs(20);

/// Time from the first crash of a part to its verdict, beside that in which instances report their responses.
pub(super) const JUDGED_AFTER: Duration = Duration::from_millis(2000);

/// As [`JUDGED_AFTER`], of a part with [`HELD_SOON_CRASHES`].
const JUDGED_SOON_AFTER: Duration = Duration::from_millis(500);

/// Crash of a server, as evidence against a part.
#[derive(Debug)]
pub(super) struct PartCrash {
    pub(super) at: Instant,
    /// Interrupted requests with the part.
    pub(super) requests: IndexSet<SuspectDigest>,
}

/// What is known of a part.
#[derive(Debug)]
pub(super) struct PartRecord {
    pub(super) part: PromptPartId,
    pub(super) service: ServiceName,
    /// Crashes that no response refutes, by server.
    pub(super) crashes: IndexMap<Tag, PartCrash>,
    pub(super) held: Option<HeldPart>,
}

/// The verdict on a part.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldPart {
    /// The parts that it is held together with.
    pub(super) group: RequestFingerprint,
    pub(super) since: Instant,
    /// Whether this instance has the evidence.
    pub(super) is_own: bool,
}

impl PartRecord {
    pub(super) fn first_crash(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.at).min()
    }

    pub(super) fn last_crash(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// Returns the interrupted requests with the part.
    pub(super) fn requests(&self) -> IndexSet<SuspectDigest> {
        self.crashes.values().flat_map(|crash| &crash.requests).copied().collect()
    }

    /// Returns the number of crashes with a request that had been at none before.
    pub(super) fn new_crashes(&self) -> usize {
        let mut crashes: Vec<&PartCrash> = self.crashes.values().collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut seen: IndexSet<SuspectDigest> = IndexSet::new();
        let has_new = |crash: &&&PartCrash| {
            let known = seen.len();
            seen.extend(&crash.requests);
            seen.len() > known
        };
        crashes.iter().filter(has_new).count()
    }

    /// Returns whether the part was at all the crashes of another one.
    pub(super) fn covers(&self, other: &PartRecord) -> bool {
        self.crashes.len() >= other.crashes.len()
            && self.service == other.service
            && other.crashes.keys().all(|server| self.crashes.contains_key(server))
    }

    /// Returns whether the part explains all crashes of another one and more, so that the other need not be blamed.
    pub(super) fn explains(&self, other: &PartRecord) -> bool {
        self.crashes.len() > other.crashes.len() && self.covers(other)
    }

    /// Returns whether no crash and no request tells the part from another one.
    pub(super) fn is_same(&self, other: &PartRecord) -> bool {
        self.crashes.len() == other.crashes.len()
            && self.covers(other)
            && self.requests() == other.requests()
    }

    /// Returns the time from its first crash to its verdict, beside that for reports, if it has enough crashes.
    pub(super) fn judged_after(&self) -> Option<Duration> {
        match self.crashes.len() {
            HELD_SOON_CRASHES.. => Some(JUDGED_SOON_AFTER),
            HELD_CRASHES.. => Some(JUDGED_AFTER),
            _ => None,
        }
    }

    pub(super) fn group(&self) -> Option<RequestFingerprint> {
        self.held.map(|held| held.group)
    }

    /// Removes the crashes that a response refutes which began at `began`: the part had crashed no server so far.
    pub(super) fn refute(&mut self, began: Instant) {
        self.crashes.retain(|_, crash| crash.at > began);
    }

    /// Returns whether its last response, which began at `answered`, refutes the verdict on the part.
    pub(super) fn is_refuted(&self, answered: Option<Instant>) -> bool {
        let Some(held) = self.held else { return false };
        answered.is_some_and(|began| began >= held.since || held.is_own && self.crashes.is_empty())
    }

    /// Returns whether the part comes under suspicion.
    pub(super) fn is_suspicious(&self, now: Instant) -> bool {
        let age = self.last_crash().map(|at| now.saturating_duration_since(at));
        self.held.is_none()
            && self.crashes.len() >= WATCHED_CRASHES
            && age.is_some_and(|age| age < WATCHED_DURATION)
    }
}
