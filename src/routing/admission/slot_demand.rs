//! Demand of the teams for a service's slots, and the rate below which no team's service falls.
//!
//! An equal part of scarce slots can be a very small share of a large team's requests. When all teams ask for more than
//! there is, each therefore gets a floor in proportion to its demand. The broker of a small service decides by it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::slot_queue::TeamKey;

/// Served share of a team's requests, relative to that of all requests, down to which an equal division is kept. A
/// quarter is required; the rest is margin for the errors of the estimates.
const FLOOR_SHARE: f64 = 0.3;

/// Time constant of the decay of the counts.
const DECAY: Duration = Duration::from_secs(2);

/// Heaviest teams that are kept when the list is pruned; it is pruned at twice as many.
const TEAMS_KEPT: usize = 256;

/// Entries of the table of rejected callers, a power of two: those of two seconds at 2,000 rejections per second.
const REJECTED_MAX: usize = 4096;

/// Time after a rejection within which a request with the same digest is a retry: callers that ignore `Retry-After`
/// retry within a few round trips.
const RETRY_MAX_AGE: Duration = Duration::from_secs(1);

/// A count that decays exponentially, for floors that are steady. `DecayedRate` is for limits that follow a surge within
/// two exchanges.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCount {
    value: f64,
    at: Option<Instant>,
}

impl DecayingCount {
    fn add(&mut self, now: Instant) {
        *self = DecayingCount { value: self.at(now) + 1.0, at: Some(now) };
    }

    fn at(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).div_duration_f64(DECAY);
        self.value * (-age).exp()
    }
}

/// Recent requests and grants of a service. Each caller's request counts once, however often it is retried.
#[derive(Debug, Default)]
pub(super) struct SlotDemand {
    teams: IndexMap<TeamKey, DecayingCount>,
    requests: DecayingCount,
    grants: DecayingCount,
    /// Hashes of recently rejected callers, at the index that their lowest bits give. One that another has overwritten
    /// counts once more, which does little harm.
    ///
    /// All retries of a caller are ignored, also several after one rejection; `RejectedRequests` ignores one for each.
    rejected: Vec<Option<(u64, Instant)>>,
}

impl SlotDemand {
    /// Records a request, unless its caller was rejected recently.
    pub(super) fn note_request(&mut self, now: Instant, team: TeamKey, digest: u64) {
        let hash = hash_of(team, digest);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RETRY_MAX_AGE;
        let entry = self.rejected.get(index_of(hash)).copied().flatten();
        if entry.is_some_and(|(other, at)| other == hash && is_recent(at)) {
            return;
        }
        self.requests.add(now);
        self.teams.entry(team).or_default().add(now);
        if self.teams.len() > 2 * TEAMS_KEPT {
            self.prune(now);
        }
    }

    /// Records that a caller was rejected.
    pub(super) fn note_rejection(&mut self, now: Instant, team: TeamKey, digest: u64) {
        let hash = hash_of(team, digest);
        if self.rejected.is_empty() {
            self.rejected.resize(REJECTED_MAX, None);
        }
        self.rejected[index_of(hash)] = Some((hash, now));
    }

    /// Records a grant.
    pub(super) fn note_grant(&mut self, now: Instant) {
        self.grants.add(now);
    }

    /// Returns the requests per second that a team is served at least while it has requests waiting. The floors of all
    /// teams together are at most [`FLOOR_SHARE`] of all grants.
    pub(super) fn floor(&self, now: Instant, team: TeamKey) -> f64 {
        let Some(count) = self.teams.get(&team) else { return 0.0 };
        let served_share = (self.grants.at(now) / self.requests.at(now)).min(1.0);
        FLOOR_SHARE * served_share * count.at(now) / DECAY.as_secs_f64()
    }

    /// Drops all but the teams with the most requests.
    fn prune(&mut self, now: Instant) {
        let mut counts: Vec<f64> = self.teams.values().map(|count| count.at(now)).collect();
        let at = counts.len() - TEAMS_KEPT;
        let (_, limit, _) = counts.select_nth_unstable_by(at, f64::total_cmp);
        let limit = *limit;
        self.teams.retain(|_, count| count.at(now) > limit);
    }
}

fn hash_of(team: TeamKey, digest: u64) -> u64 {
    xxh3_64_with_seed(&digest.to_le_bytes(), team.map_or(u64::MAX, |tag| tag.0.into()))
}

fn index_of(hash: u64) -> usize {
    hash as usize & (REJECTED_MAX - 1)
}
