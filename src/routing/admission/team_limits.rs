//! Limits of teams as this instance applies them, from the aggregator's last reply.
//!
//! It handles loads beyond the capacity of a service: the requests of teams above the level are rejected in part and at
//! once, and the others are admitted. Limits that are too old, because the aggregator was lost or this instance was
//! frozen, limit nobody.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{
    decayed_rate::DECAY_TIME,
    team_messages::{CentiRate, ServiceLimits},
};
use crate::names::{ServiceName, Tag};

/// Age up to which limits are applied: several exchanges.
pub const TEAM_LIMITS_MAX_AGE: Duration = Duration::from_secs(2);

/// Range in which the delay of a rejected caller is drawn, as a share of the time that its team needs.
const RETRY_MIN: f64 = 0.5;
const RETRY_MAX: f64 = 1.5;

/// Shortest delay: the limits may have changed by then.
const RETRY_FLOOR: Duration = Duration::from_millis(200);

/// Smallest share that a delay is computed with: the aggregator rounds shares to thousandths, and so down to zero.
const SHARE_MIN: f64 = 0.001;

/// Lower end of the range of delays that the caller's remaining time cuts short, as a share of the longest.
const CUT_SHORT_MIN: f64 = 0.5;

/// What the limits say of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TeamVerdict {
    /// There are no fresh limits for its service.
    Unlimited,
    /// Its team's demand fits into the capacity that is divided.
    Fits,
    /// This share of its team's requests may be admitted.
    Limited(f64),
}

/// A limit that has begun or ended.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamLimitChange {
    /// The service.
    pub service: ServiceName,
    /// The team.
    pub team: Tag,
    /// Share of its requests that may be admitted; `None` if the limit has ended.
    pub share: Option<f64>,
    /// Rate above which a team is limited, over all instances.
    pub level: CentiRate,
    /// How long the limit was in force, if it has ended.
    pub age: Duration,
}

#[derive(Debug)]
struct Limit {
    share: f64,
    since: Instant,
}

#[derive(Debug)]
struct Limits {
    level: CentiRate,
    teams: IndexMap<Tag, Limit>,
}

/// Limits of teams, by service.
#[derive(Debug, Default)]
pub struct TeamLimits {
    services: IndexMap<ServiceName, Limits>,
    /// When the report was sent to which the aggregator replied with them.
    as_of: Option<Instant>,
}

impl TeamLimits {
    /// Applies the aggregator's limits as of `as_of`; returns those that have begun or ended. `None` are no limits: the
    /// aggregator does not know them yet, and those of its predecessor stay until they are too old.
    pub fn apply(
        &mut self,
        now: Instant,
        as_of: Instant,
        limits: Option<&[ServiceLimits]>,
    ) -> Vec<TeamLimitChange> {
        let Some(limits) = limits else { return self.expire(now) };
        self.as_of = Some(as_of);
        self.replace(now, limits)
    }

    /// Drops limits that are too old; returns those that have ended.
    pub fn expire(&mut self, now: Instant) -> Vec<TeamLimitChange> {
        if self.is_fresh(now) { Vec::new() } else { self.replace(now, &[]) }
    }

    fn replace(&mut self, now: Instant, limits: &[ServiceLimits]) -> Vec<TeamLimitChange> {
        let mut before = std::mem::take(&mut self.services);
        let mut changes = Vec::new();
        for ServiceLimits { service, level, teams } in limits {
            let mut former = before.swap_remove(service).map(|limits| limits.teams);
            let mut entries = IndexMap::new();
            for (team, share) in teams {
                let share = share.share();
                let known = former.as_mut().and_then(|former| former.swap_remove(team));
                if known.is_none() {
                    changes.push(change(service, *team, Some(share), *level, Duration::ZERO));
                }
                let since = known.map_or(now, |limit| limit.since);
                entries.insert(*team, Limit { share, since });
            }
            changes.extend(ended(now, service, *level, former.unwrap_or_default()));
            self.services.insert(service.clone(), Limits { level: *level, teams: entries });
        }
        for (service, limits) in before {
            changes.extend(ended(now, &service, limits.level, limits.teams));
        }
        changes
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.as_of.is_some_and(|at| now.saturating_duration_since(at) <= TEAM_LIMITS_MAX_AGE)
    }

    /// Returns what the limits say of a request.
    pub fn verdict(&self, now: Instant, service: &ServiceName, team: Tag) -> TeamVerdict {
        let Some(limits) = self.services.get(service).filter(|_| self.is_fresh(now)) else {
            return TeamVerdict::Unlimited;
        };
        limits.teams.get(&team).map_or(TeamVerdict::Fits, |l| TeamVerdict::Limited(l.share))
    }

    /// Returns the number of limited teams of each service that had limits in the last reply.
    pub fn counts(&self, now: Instant) -> impl Iterator<Item = (&ServiceName, usize)> {
        let is_fresh = self.is_fresh(now);
        let count = move |limits: &Limits| if is_fresh { limits.teams.len() } else { 0 };
        self.services.iter().map(move |(service, limits)| (service, count(limits)))
    }
}

fn change(
    service: &ServiceName,
    team: Tag,
    share: Option<f64>,
    level: CentiRate,
    age: Duration,
) -> TeamLimitChange {
    TeamLimitChange { service: service.clone(), team, share, level, age }
}

fn ended(
    now: Instant,
    service: &ServiceName,
    level: CentiRate,
    teams: IndexMap<Tag, Limit>,
) -> impl Iterator<Item = TeamLimitChange> {
    teams.into_iter().map(move |(team, limit)| {
        change(service, team, None, level, now.saturating_duration_since(limit.since))
    })
}

/// Returns the delay after which the caller of a rejected request should retry, at most `max_delay`.
///
/// `share` of its team's requests may be admitted, and `draw` is a random number in [0, 1) of this caller. The requests
/// of the time over which demand is measured fit into the team's share of capacity after `1 / share` times as long.
pub fn team_retry_delay(share: f64, draw: f64, max_delay: Duration) -> Duration {
    // Only requests whose draw is at or above the share are rejected.
    let draw = ((draw - share) / (1.0 - share).max(f64::EPSILON)).clamp(0.0, 1.0);
    let needed = DECAY_TIME.as_secs_f64() * (1.0 / share.max(SHARE_MIN) - 1.0);
    let longest = (needed * RETRY_MAX).max(RETRY_FLOOR.as_secs_f64() * 2.0);
    let max_delay = max_delay.as_secs_f64();
    let (min, max) = if longest > max_delay {
        // Callers that were rejected together would otherwise all return after `max_delay`.
        ((needed * RETRY_MIN).clamp(0.0, CUT_SHORT_MIN * max_delay), max_delay)
    } else {
        ((needed * RETRY_MIN).max(RETRY_FLOOR.as_secs_f64()), longest)
    };
    Duration::from_secs_f64(min + draw * (max - min))
}
