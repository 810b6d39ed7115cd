//! Requests that wait for a slot, queued by team and served by deficit round robin.
//!
//! It handles loads in which one team or a few ask for many times what a small service can serve. The broker of the
//! service decides by it which request gets the next slot.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{LeaseId, SlotRequest};
use crate::names::Tag;

/// Team of a request; the requests of public routes form one team, `None`.
pub(super) type TeamKey = Option<Tag>;

/// What one request takes from its team's deficit counter.
const COST: f64 = 1.0;

/// Priority from which requests are ranked the same.
const PRIORITY_MAX: u8 = 3;

/// Share of its `wait_max` by which a request is ranked as if it had come later, for each step of its priority. Without
/// a limit, a request that is queued below capacity would wait until it is rejected, because more urgent ones that come
/// later overtake it. Beyond capacity, the less urgent ones are not queued in the first place.
const LATER_PER_STEP: f64 = 0.15;

/// Share of its `wait_max` after which a request is served before others while few wait.
const NEAR_EXPIRY_SHARE: f64 = 0.5;

/// Share of a request's `wait_max` up to which the time to serve all that wait is short.
const SHORT_BACKLOG_SHARE: f64 = 0.8;

/// Position of a request within its team; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// The caller retries at its promised time.
    Returned,
    /// Any other request, by the time at which it came, later for less urgent priorities.
    New(Instant),
}

impl Rank {
    /// Returns the rank of a request that comes at `now` without a promise of a retry time.
    pub(super) fn new(now: Instant, req: &SlotRequest) -> Rank {
        let steps = f64::from(req.priority.min(PRIORITY_MAX));
        Rank::New(now + req.wait_max.mul_f64(LATER_PER_STEP * steps))
    }
}

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) req: SlotRequest,
    pub(super) rank: Rank,
    /// When the broker received it.
    pub(super) since: Instant,
}

impl Waiting {
    /// Returns when the request has waited for its `wait_max`.
    pub(super) fn wait_ends(&self) -> Instant {
        self.since + self.req.wait_max
    }

    /// Returns whether the request has waited for a large part of its time, while serving all that wait takes `backlog`.
    fn is_near_expiry(&self, now: Instant, backlog: Duration) -> bool {
        let wait_max = self.req.wait_max;
        let waited = now.saturating_duration_since(self.since);
        waited >= wait_max.mul_f64(NEAR_EXPIRY_SHARE)
            && backlog < wait_max.mul_f64(SHORT_BACKLOG_SHARE)
    }

    /// Returns the request with the time that is left until its deadline at `now`.
    pub(super) fn aged(self, now: Instant) -> SlotRequest {
        let waited = now.saturating_duration_since(self.since);
        SlotRequest { time_left: self.req.time_left.saturating_sub(waited), ..self.req }
    }
}

#[derive(Debug)]
struct TeamQueue {
    /// Requests per second that the team is served at least.
    floor: f64,
    last_turn: Instant,
    /// What the deficit counter gained at the last turn.
    quantum: f64,
    deficit: f64,
    /// Since when the queue has not been empty.
    since: Instant,
    /// Ids by rank, those of one rank by age.
    ids: Vec<(Rank, LeaseId)>,
}

/// Waiting requests.
#[derive(Debug, Default)]
pub(super) struct SlotQueue {
    teams: IndexMap<TeamKey, TeamQueue>,
    /// Index of the team whose turn it is.
    next_team: usize,
    waiting: IndexMap<LeaseId, Waiting>,
    /// Since when there have been waiting requests without a break, up to the last one.
    since: Option<Instant>,
}

impl SlotQueue {
    /// Returns whether the request with this id waits.
    pub(super) fn contains(&self, id: LeaseId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of teams with waiting requests.
    pub(super) fn teams(&self) -> usize {
        self.teams.len()
    }

    /// Returns since when requests of a team have been waiting without a break.
    pub(super) fn waiting_since(&self, team: TeamKey) -> Option<Instant> {
        self.teams.get(&team).map(|queue| queue.since)
    }

    /// Returns how many requests of a team are served in each round.
    pub(super) fn quantum(&self, team: TeamKey) -> f64 {
        self.teams.get(&team).map_or(COST, |queue| queue.quantum)
    }

    /// Returns how many requests are served before a new one of `team` with this rank, if `coming` more of its team
    /// arrive that precede it. An upper bound: each other team is assumed to have its turn first in each round.
    pub(super) fn ahead_of(&self, team: TeamKey, rank: Rank, coming: usize) -> usize {
        let own = self.teams.get(&team).map_or(0, |queue| queue.position_of(rank)) + coming;
        let rounds = (own as f64 / self.quantum(team)).floor() + 1.0;
        let others = self.teams.iter().filter(|(other, _)| **other != team);
        let turns = |queue: &TeamQueue| queue.ids.len().min((rounds * queue.quantum) as usize);
        own + others.map(|(_, queue)| turns(queue)).sum::<usize>()
    }

    /// Adds a request. Its team is served one request in each round, or `floor` requests per second if that is more.
    pub(super) fn push(&mut self, now: Instant, floor: f64, waiting: Waiting) {
        if self.waiting.is_empty() {
            self.since = Some(now);
        }
        let queue = self.teams.entry(waiting.req.team).or_insert_with(|| TeamQueue {
            floor,
            last_turn: now,
            quantum: COST,
            deficit: 0.0,
            since: now,
            ids: Vec::new(),
        });
        queue.floor = floor;
        let at = queue.position_of(waiting.rank);
        queue.ids.insert(at, (waiting.rank, waiting.req.id));
        self.waiting.insert(waiting.req.id, waiting);
    }

    /// Removes and returns the next request that `fits`; requests that do not are skipped.
    pub(super) fn pop(
        &mut self,
        now: Instant,
        fits: impl Fn(&SlotRequest) -> bool,
    ) -> Option<Waiting> {
        for _ in 0..self.teams.len() {
            self.next_team %= self.teams.len();
            let (_, queue) = self.teams.get_index_mut(self.next_team)?;
            let fits = |id: &LeaseId| self.waiting.get(id).is_some_and(|w| fits(&w.req));
            let Some(at) = queue.ids.iter().position(|(_, id)| fits(id)) else {
                self.next_team += 1;
                continue;
            };
            if queue.deficit < COST {
                queue.begin_turn(now);
            }
            queue.deficit -= COST;
            let (_, id) = queue.ids.remove(at);
            if queue.ids.is_empty() {
                self.teams.shift_remove_index(self.next_team);
            } else if queue.deficit < COST {
                self.next_team += 1;
            }
            return self.waiting.swap_remove(&id);
        }
        None
    }

    /// Removes and returns the request that must be served next so that its wait is not over first, if it has waited for
    /// more than [`NEAR_EXPIRY_SHARE`] of its time and all that wait are served soon; `backlog` is the time that this
    /// takes.
    ///
    /// Below capacity, a burst of other teams and of more urgent requests would otherwise keep a request of a large team
    /// waiting until it is rejected. Beyond capacity there are waiting requests for longer than the time until the
    /// deadline, and the order stays that of teams and priorities.
    pub(super) fn pop_near_expiry(
        &mut self,
        now: Instant,
        backlog: Duration,
        fits: impl Fn(&SlotRequest) -> bool,
    ) -> Option<Waiting> {
        let since = self.since?;
        let lasted = now.saturating_duration_since(since);
        let is_near_expiry = |waiting: &&Waiting| {
            lasted < waiting.req.time_left
                && waiting.is_near_expiry(now, backlog)
                && fits(&waiting.req)
        };
        let next = self.waiting.values().filter(is_near_expiry).min_by_key(|w| w.wait_ends())?;
        self.remove(next.req.id)
    }

    /// Removes and returns the request with this id.
    pub(super) fn remove(&mut self, id: LeaseId) -> Option<Waiting> {
        let waiting = self.waiting.swap_remove(&id)?;
        let (index, _, queue) = self.teams.get_full_mut(&waiting.req.team)?;
        queue.ids.retain(|(_, other)| *other != id);
        if queue.ids.is_empty() {
            self.teams.shift_remove_index(index);
            // The turn stays with the same team.
            if index < self.next_team {
                self.next_team -= 1;
            }
        }
        Some(waiting)
    }

    /// Removes and returns the requests whose wait is over.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Waiting> {
        let over = self.waiting.values().filter(|w| w.wait_ends() <= now).map(|w| w.req.id);
        let mut ids: Vec<LeaseId> = over.collect();
        ids.sort_unstable_by_key(|id| self.waiting.get(id).map(Waiting::wait_ends));
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns when the next wait is over.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.waiting.values().map(Waiting::wait_ends).min()
    }
}

impl TeamQueue {
    fn begin_turn(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_turn);
        self.quantum = (self.floor * elapsed.as_secs_f64()).max(COST);
        self.deficit += self.quantum;
        self.last_turn = now;
    }

    /// Returns how many requests of this team precede a new one with this rank.
    fn position_of(&self, rank: Rank) -> usize {
        self.ids.partition_point(|(other, _)| *other <= rank)
    }
}
