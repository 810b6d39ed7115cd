//! Finds the request that ends servers in what all instances tell of ends.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::{
    CrashReport, RequestDigest, RequestFingerprint, Suspect, VerdictUpdate,
    verdicts::{CLEARED_DURATION, Judgement},
};
use crate::names::{ServiceName, Tag};

/// How long an end counts: a caller that sends its request again after minutes is met, and what is held for one that
/// never does is bounded.
const END_LIFE: Duration = Duration::from_secs(600);

/// Blame at which a request is held back: three servers that ended as they began to run it.
const HELD_FROM: f64 = 3.0;

/// Blame at which a request is held back that was not the only one at all these servers: more than the two servers of
/// each of two attempts that a caller makes. Requests with a shared prompt go from server to server together.
const HELD_AMONG_OTHERS_FROM: f64 = 5.0;

/// Blame for the end of a server that had run the request for a while.
const RAN_ON_BLAME: f64 = 0.5;

/// Blame from which a request is watched: an answer at any instance clears it.
const WATCHED_FROM: f64 = 1.5;

/// Share of the ends of its service since its first one at which a request must have been. Half the servers that are
/// killed at a time, three times, have one request at no more than one in nine of them; five requests that each
/// end servers at the same time are at a fifth.
const PART_MIN: f64 = 0.2;

/// Most requests under blame: 2 MB; beyond that those with the least blame are forgotten, oldest first.
const SUSPECTS_MAX: usize = 16_384;

/// How many are forgotten at a time.
const FORGOTTEN_AT_ONCE: usize = SUSPECTS_MAX / 8;

/// Most ends remembered: all servers of the planned size once.
const ENDS_MAX: usize = 4096;

/// Most requests told as watched, those with the most blame first: 400 bytes a reply.
const WATCHED_MAX: usize = 32;

/// Least pause between two looks through all suspects, for those to be watched or forgotten: 302 instances ask 400 times
/// a second.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// How long a request is told as watched after its last end: longer than callers go on to repeat it.
const WATCHED_FOR: Duration = Duration::from_secs(20);

/// Copies of a request at one server from which it counts as one that many send at once.
const COPIES_MANY: u32 = 3;

/// How long such a request is watched before it is held back: two exchanges of most fleets, in which all can say
/// that they have answered it. Without it 20 of 54,000 harmless requests were held back beside ones that end servers,
/// with it 5 (drawn days on a made-up clock).
const WATCHED_FIRST: Duration = Duration::from_millis(1000);

#[derive(Debug)]
struct End {
    at: Instant,
    service: ServiceName,
}

/// A request under blame.
#[derive(Debug)]
struct SuspectRecord {
    fingerprint: RequestFingerprint,
    service: ServiceName,
    first: Instant,
    last: Instant,
    /// Since when it is watched.
    watched: Option<Instant>,
    servers: Vec<CrashScore>,
}

/// Blame for the end of one server.
#[derive(Debug)]
struct CrashScore {
    server: Tag,
    blame: f64,
    /// Copies of the request that were there.
    copies: u32,
}

impl SuspectRecord {
    fn blame(&self) -> f64 {
        self.servers.iter().map(|at| at.blame).sum()
    }

    /// Returns what says how much it matters: its blame, in halves, and its last end.
    fn rank(&self) -> (u64, Instant) {
        ((self.blame() * 2.0) as u64, self.last)
    }

    /// Returns whether many send it at once, and not all have had the time to say that it was answered.
    fn may_be_answered(&self, now: Instant) -> bool {
        let many = self.servers.iter().any(|at| at.copies >= COPIES_MANY);
        let watched = self.watched.map(|since| now.saturating_duration_since(since));
        many && watched.is_none_or(|time| time < WATCHED_FIRST)
    }
}

/// A request that is found to end servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Its look.
    pub fingerprint: RequestFingerprint,
    /// The request.
    pub digest: RequestDigest,
    /// Servers that ended with it.
    pub servers: Vec<Tag>,
    /// Servers of the service that ended since the first of them.
    pub ended: usize,
}

/// The ends that all instances have told.
#[derive(Debug, Default)]
pub struct CrashAttribution {
    ends: IndexMap<Tag, End>,
    suspects: IndexMap<RequestDigest, SuspectRecord>,
    /// Requests that will be held back unless one of them turns out to have been answered.
    pending: IndexSet<RequestDigest>,
    cleared: IndexMap<RequestDigest, Instant>,
    watched: Vec<VerdictUpdate>,
    looked: Option<Instant>,
}

impl CrashAttribution {
    /// Takes ends that an instance tells, and returns the requests that are found to end servers.
    pub fn take(&mut self, now: Instant, told: &[CrashReport]) -> Vec<Finding> {
        if told.is_empty() && self.pending.is_empty() {
            return Vec::new();
        }
        self.look_through(now);
        for end in told {
            let at = now.checked_sub(Duration::from_millis(end.age_ms)).unwrap_or(now);
            let new = || End { at, service: end.service.clone() };
            self.ends.entry(end.server).or_insert_with(new);
            for suspect in &end.in_flight {
                self.blame(now, end, suspect, at);
            }
        }
        let mut touched = std::mem::take(&mut self.pending);
        touched.extend(told.iter().flat_map(|end| &end.in_flight).map(|suspect| suspect.digest));
        let judged = touched.into_iter().filter_map(|digest| self.judge(now, digest));
        let findings: Vec<Finding> = judged.collect();
        for finding in &findings {
            self.suspects.shift_remove(&finding.digest);
            self.watched.retain(|told| told.digest != finding.digest);
        }
        findings
    }

    /// Notes that a request was answered well: no server ends of it.
    pub fn clear(&mut self, now: Instant, digest: RequestDigest) {
        self.suspects.shift_remove(&digest);
        self.watched.retain(|told| told.digest != digest);
        self.cleared.insert(digest, now);
    }

    /// Returns requests that may be found to end servers, for all to look whether they are answered.
    pub fn watched(&mut self, now: Instant) -> Vec<VerdictUpdate> {
        self.look_through(now);
        self.watched.clone()
    }

    /// Returns whether a server has ended lately.
    pub fn is_alert(&self, now: Instant) -> bool {
        let last = self.ends.last().map(|(_, end)| end.at);
        last.is_some_and(|at| now.saturating_duration_since(at) < WATCHED_FOR)
    }

    /// Returns how many requests are under blame.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    fn blame(&mut self, now: Instant, end: &CrashReport, suspect: &Suspect, at: Instant) {
        if self.cleared.contains_key(&suspect.digest) {
            return;
        }
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&suspect.digest) {
            self.forget_least();
        }
        let new = || SuspectRecord {
            fingerprint: suspect.fingerprint,
            service: end.service.clone(),
            first: at,
            last: at,
            watched: None,
            servers: Vec::new(),
        };
        let blamed = self.suspects.entry(suspect.digest).or_insert_with(new);
        blamed.first = blamed.first.min(at);
        blamed.last = blamed.last.max(at);
        let blame = if suspect.long_running { RAN_ON_BLAME } else { 1.0 };
        match blamed.servers.iter_mut().find(|known| known.server == end.server) {
            Some(known) => {
                known.blame = known.blame.max(blame);
                known.copies += 1;
            }
            None => blamed.servers.push(CrashScore { server: end.server, blame, copies: 1 }),
        }
        if blamed.blame() >= WATCHED_FROM {
            blamed.watched.get_or_insert(now);
        }
    }

    fn judge(&mut self, now: Instant, digest: RequestDigest) -> Option<Finding> {
        let blamed = self.suspects.get(&digest).filter(|blamed| blamed.blame() >= HELD_FROM)?;
        let since = |end: &&End| end.service == blamed.service && end.at >= blamed.first;
        let ended = self.ends.values().filter(since).count().max(blamed.servers.len());
        let part = blamed.servers.len() as f64 / ended as f64;
        let stands_out = blamed.blame() >= HELD_AMONG_OTHERS_FROM || self.is_alone(digest, blamed);
        if part < PART_MIN || !stands_out {
            return None;
        }
        if blamed.may_be_answered(now) {
            self.pending.insert(digest);
            return None;
        }
        let servers = blamed.servers.iter().map(|at| at.server).collect();
        Some(Finding { fingerprint: blamed.fingerprint, digest, servers, ended })
    }

    /// Returns whether no other request was at all the servers that ended with this one.
    fn is_alone(&self, digest: RequestDigest, blamed: &SuspectRecord) -> bool {
        let was_there = |other: &SuspectRecord| {
            let at = |server: Tag| other.servers.iter().any(|known| known.server == server);
            blamed.servers.iter().all(|known| at(known.server))
        };
        !self.suspects.iter().any(|(known, other)| *known != digest && was_there(other))
    }

    /// Makes room.
    fn forget_least(&mut self) {
        self.suspects.sort_by_key(|_, blamed| blamed.rank());
        self.suspects.drain(..FORGOTTEN_AT_ONCE);
    }

    /// Forgets what is old, and finds what is to be watched.
    fn look_through(&mut self, now: Instant) {
        let looked = self.looked.map(|at| now.saturating_duration_since(at));
        if looked.is_some_and(|pause| pause < LOOK_PAUSE) || self.ends.is_empty() {
            return;
        }
        self.looked = Some(now);
        let is_old = |at: Instant, life: Duration| now.saturating_duration_since(at) > life;
        self.ends.retain(|_, end| !is_old(end.at, END_LIFE));
        while self.ends.len() > ENDS_MAX {
            self.ends.shift_remove_index(0);
        }
        self.suspects.retain(|_, blamed| !is_old(blamed.last, END_LIFE));
        self.cleared.retain(|_, at| !is_old(*at, CLEARED_DURATION));
        let mut watched: Vec<(&RequestDigest, &SuspectRecord)> = self.suspects.iter().collect();
        watched.retain(|(_, b)| b.blame() >= WATCHED_FROM && !is_old(b.last, WATCHED_FOR));
        watched.sort_by_key(|(_, blamed)| Reverse(blamed.rank()));
        let told = |(digest, b): (&RequestDigest, &SuspectRecord)| VerdictUpdate {
            digest: *digest,
            fingerprint: b.fingerprint,
            judgement: Judgement::Watched,
            age_ms: 0,
        };
        self.watched = watched.into_iter().take(WATCHED_MAX).map(told).collect();
    }
}
