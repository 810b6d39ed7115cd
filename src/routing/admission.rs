//! Admission beyond capacity: which share of a service's requests is admitted, and when those that are
//! refused should come back.
//!
//! A queue that is longer than callers wait only makes every answer late: as many requests are served as
//! without it, but none in time. So as the places of a service's servers fill up, a falling share of its
//! requests is admitted, a little more of the urgent ones than of the others.
//!
//! Instances know each other's requests only as of the last exchange. If each went by the sum, all would
//! fill the same room, find it overfull, and stop together; so each goes by its own requests, which it
//! knows exactly, against its part of the places, which moves with what it had at the last exchange.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::load::FLEET_COUNT_MAX_AGE;

/// Part of the shortest target latency beyond which nothing waits for a place, whatever the admitted share:
/// what would wait longer is late, with the time that its prompt is read in.
const WAIT_MOST: f64 = 0.6;

/// Part of an instance's places up to which all is admitted, and from which nothing is: between them, the
/// share that holds an overload of any size keeps nearly all places taken and few requests waiting.
const TAKEN: (f64, f64) = (0.85, 1.05);

/// Part of all places that must have been taken at the last exchange for anything to be refused: below,
/// one instance's few requests say nothing, and what comes until the next exchange finds room.
const FILLED: f64 = 0.75;

/// How much more of the most urgent rank is admitted than of the least urgent: as exponents of the
/// admitted share, half of this above and below one.
const URGENCY: f64 = 0.4;

/// Time after which a rank that no request had counts no more: several times what a request takes.
const RANK_LIFE: Duration = Duration::from_secs(10);

/// Weight of the newest answer in the learnt means: they follow a change within some tens of answers.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// Answers below which nothing is refused: the means say little yet.
const ANSWERS_MIN: u32 = 8;

/// Time without a refusal after which the next one begins a new period of overload.
const CALM: Duration = Duration::from_millis(1000);

/// Admitted share from which a caller is told to come back while it can still be served in time: below,
/// it would most likely be refused again.
const SOON_FROM: f64 = 0.25;

/// When such a caller comes back, as a part of its target latency: those refused together do not return
/// together, and the last still has time for its prompt to be read.
const SOON: (f64, f64) = (0.15, 0.45);

/// When others come back, as a part of the time that the overload has lasted: it is likely to last as long
/// again.
const LATER: (f64, f64) = (0.5, 1.5);

/// Least time after which those come back.
const LATER_MIN: Duration = Duration::from_millis(200);

/// Least time without a byte that speaks against a server: several round trips within a region, and a
/// pause of its own of some tenths of a second.
const SILENCE_MIN: Duration = Duration::from_millis(250);

/// Times the mean deviation beyond the mean that nearly all answers' heads come within.
const DEVIATIONS: f64 = 6.0;

/// A mean that forgets, with the mean deviation from it, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Mean(Option<f64>, f64);

impl Mean {
    fn note(&mut self, value: Duration) {
        let value = value.as_secs_f64();
        let mean = self.0.unwrap_or(value);
        self.1 += ((value - mean).abs() - self.1) * MEAN_WEIGHT;
        self.0 = Some(mean + (value - mean) * MEAN_WEIGHT);
    }
}

/// When the parts of an answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimes {
    /// From sending the request to its answer's head.
    pub head: Duration,
    /// From the head to the end.
    pub body: Duration,
}

/// Requests of one rank.
#[derive(Debug, Clone, Copy)]
struct Rank {
    seen: Instant,
    target: Duration,
}

/// Requests in flight at all servers of a service at the last exchange.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetTotal {
    /// Those of all instances.
    pub all: f64,
    /// Those of this instance among them.
    pub own: f64,
    /// When it was told.
    pub at: Instant,
}

/// What is learnt of one service.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    /// Time to the head of answers that found a free place.
    head: Mean,
    /// Time from there to the end.
    body: Mean,
    answers: u32,
    /// Ranks of late, by priority.
    ranks: IndexMap<u8, Rank>,
    /// What all instances had in flight at the last exchange.
    fleet: Option<FleetTotal>,
    /// First and last refusal of the period of overload that is or was last.
    period: Option<(Instant, Instant)>,
}

impl AdmissionControl {
    /// Notes a caller's request with its rank (0 is the most urgent) and target latency.
    pub fn note_request(&mut self, now: Instant, priority: u8, target: Duration) {
        self.ranks.insert(priority, Rank { seen: now, target });
        self.ranks.retain(|_, rank| now.saturating_duration_since(rank.seen) < RANK_LIFE);
    }

    /// Notes a good answer; `waited` says whether its request was expected to wait for a place.
    pub fn note_response(&mut self, times: ResponseTimes, waited: bool) {
        if !waited {
            self.head.note(times.head);
        }
        self.body.note(times.body);
        self.answers = self.answers.saturating_add(1);
    }

    /// Returns how long a request holds a place in the mean, once that is known.
    pub fn slot_time(&self) -> Option<Duration> {
        if self.answers < ANSWERS_MIN {
            return None;
        }
        Some(Duration::from_secs_f64(self.head.0? + self.body.0?))
    }

    /// Returns after which time without a head a request speaks against its server, where it was expected
    /// to wait for a place for `wait`; `None` while too little is known.
    pub fn stall_timeout(&self, wait: Duration) -> Option<Duration> {
        let Mean(Some(mean), deviation) = self.head else { return None };
        if self.answers < ANSWERS_MIN {
            return None;
        }
        let nearly_all = Duration::from_secs_f64(mean + DEVIATIONS * deviation);
        // The queue may be a few requests longer than is known.
        Some(nearly_all.max(SILENCE_MIN) + wait * 2)
    }

    /// Returns how long a request waits behind `queued` others at a server that runs `slots` at once.
    pub fn wait(&self, queued: f64, slots: u32) -> Duration {
        let Some(slot_time) = self.slot_time() else { return Duration::ZERO };
        slot_time.mul_f64(queued.max(0.0) / f64::from(slots.max(1)))
    }

    /// Takes what all instances had in flight at the last exchange.
    pub fn set_fleet_total(&mut self, total: FleetTotal) {
        self.fleet = Some(total);
    }

    /// Returns what all had in flight, unless that is older than a request takes: then it has been replaced
    /// by other requests since.
    fn fleet(&self, now: Instant) -> Option<FleetTotal> {
        let life = self.slot_time()?.min(FLEET_COUNT_MAX_AGE);
        self.fleet.filter(|f| now.saturating_duration_since(f.at) < life)
    }

    /// Returns whether the other instances' requests are known as they are now.
    pub fn has_recent_counts(&self, now: Instant) -> bool {
        self.fleet(now).is_some()
    }

    /// Returns whether few of a service's `places` were free at the last exchange.
    pub fn is_nearly_full(&self, now: Instant, places: f64) -> bool {
        places > 0.0 && self.fleet(now).is_some_and(|fleet| fleet.all >= FILLED * places)
    }

    /// Returns this instance's part of the service's `places`, where `instances` share them; `None` while
    /// many are free.
    ///
    /// It is what the instance had, grown or shrunk as all must; one that had little gets at least an
    /// equal part of what is free.
    fn own_slots(&self, now: Instant, places: f64, instances: usize) -> Option<f64> {
        if !self.is_nearly_full(now, places) {
            return None;
        }
        let fleet = self.fleet(now)?;
        let in_proportion = fleet.own * places / fleet.all.max(1.0);
        let equal = fleet.own + (places - fleet.all).max(0.0) / instances.max(1) as f64;
        Some(if fleet.all > places { in_proportion } else { in_proportion.max(equal) }.max(1.0))
    }

    /// Returns the share of the requests of a rank that is admitted by an instance that has `own` requests
    /// in flight at servers with `places` together, shared by `instances`.
    pub fn admitted_share(
        &self,
        now: Instant,
        priority: u8,
        own: f64,
        places: f64,
        instances: usize,
    ) -> f64 {
        let Some(own_slots) = self.own_slots(now, places, instances) else { return 1.0 };
        let share = ((TAKEN.1 - own / own_slots) / (TAKEN.1 - TAKEN.0)).clamp(0.0, 1.0);
        let others = self.recent(now).count().saturating_sub(1).max(1) as f64;
        let ahead = self.recent(now).filter(|(other, _)| **other < priority).count() as f64;
        share.powf(1.0 + URGENCY * (ahead / others - 0.5))
    }

    /// Returns how long a request may be expected to wait for a place and still be sent.
    pub fn max_wait(&self, now: Instant) -> Duration {
        self.shortest_target(now).map_or(Duration::ZERO, |target| target.mul_f64(WAIT_MOST))
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = (&u8, &Rank)> {
        self.ranks
            .iter()
            .filter(move |(_, rank)| now.saturating_duration_since(rank.seen) < RANK_LIFE)
    }

    fn shortest_target(&self, now: Instant) -> Option<Duration> {
        self.recent(now).map(|(_, rank)| rank.target).min()
    }

    /// Notes a refusal and returns when its caller should come back.
    ///
    /// `admitted_share` is the share of requests of its rank that is admitted, `draw` in [0, 1) another one for
    /// each caller, and `most` the longest time that makes sense for this one.
    pub fn note_refusal(
        &mut self,
        now: Instant,
        admitted_share: f64,
        draw: f64,
        target: Duration,
        most: Duration,
    ) -> Duration {
        let since = match self.period {
            Some((since, last)) if now.saturating_duration_since(last) < CALM => since,
            _ => now,
        };
        self.period = Some((since, now));
        // Only draws from the admitted share upwards are refused.
        let draw =
            ((draw - admitted_share) / (1.0 - admitted_share).max(f64::EPSILON)).clamp(0.0, 1.0);
        let between = |(least, most): (f64, f64)| least + draw * (most - least);
        let after = if admitted_share >= SOON_FROM {
            target.mul_f64(between(SOON))
        } else {
            let lasted = now.saturating_duration_since(since);
            lasted.mul_f64(between(LATER)).max(LATER_MIN.mul_f64(1.0 + draw))
        };
        after.min(most)
    }
}
