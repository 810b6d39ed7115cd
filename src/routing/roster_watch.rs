//! When an instance reads the list of backend servers itself, and when the updates of others suffice.
//!
//! The aggregator reads the list periodically on behalf of all others. The others read it only when their list is too
//! old: the aggregator may be cut off, killed or suspended, and its successor has not read the list either.

use std::time::{Duration, Instant};

use super::FleetPosition;

/// Period between two reads of the aggregator, as a fraction of the bound within which a leaving server must be acted
/// on. Even with the longest period between two exchanges and the calls themselves, the list that the others receive
/// is then not old enough for them to read it.
const READ_PERIOD: f64 = 0.2;

/// Age of the list, as a fraction of the bound, at which the first instance by rank reads the store itself. The ages of
/// the others lie between this and [`READ_AGE_LAST`], so that not all read at once.
const READ_AGE_FIRST: f64 = 0.5;

/// The same for the last instance. The rest of the bound is for a read that is lost and repeated (0.9 s), and for
/// requests in flight. In a simulation of 295 instances that lose their aggregator, the age of the list reached at
/// most 0.61 of the bound, where it had reached 0.73 before.
const READ_AGE_LAST: f64 = 0.6;

/// Age of the list, as a fraction of the bound, at which an instance asks others for a newer list before it reads the
/// store. In a large fleet the aggregator's updates arrive as late as they may, so that lists which are only some
/// tenths of a second too old would be read: 0.316 GB from the store on a day with 296 instances and 2,964 servers,
/// 0.105 GB with the questions to others.
const ASK_AGE: f64 = 0.4;

/// First delay before a failed read of the store is retried, doubled with each further failure: calls that the store
/// rejects cost it as much as others.
const RETRY_DELAY_FIRST: Duration = Duration::from_millis(250);

/// Longest such delay.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// Period between two questions to other instances, as a fraction of the bound.
const ASK_PERIOD: f64 = 0.1;

/// Returns the period between two reads of the aggregator, where a leaving server must be acted on within `bound`.
pub fn read_period(bound: Duration) -> Duration {
    bound.mul_f64(READ_PERIOD)
}

/// What an instance does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterStep {
    /// Wait for that long.
    Wait(Duration),
    /// Read the store.
    Read,
    /// Ask other instances, because the store could not be read or the list is about to be too old.
    AskPeers,
}

/// Role of an instance in the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RosterRole {
    /// Whether other instances rely on its reads, or it has none to rely on.
    pub reader: bool,
    /// Its rank among all instances.
    pub position: FleetPosition,
}

/// Tracks the age of the list and the reads of the store.
#[derive(Debug)]
pub struct RosterWatch {
    /// Bound within which a leaving server must be acted on.
    bound: Duration,
    /// When the last successful read started.
    read_at: Option<Instant>,
    /// When other instances were last asked.
    asked_at: Option<Instant>,
    /// Set while the store cannot be read.
    failing: Option<Failing>,
}

#[derive(Debug, Clone, Copy)]
struct Failing {
    /// When the read is retried.
    retry_at: Instant,
    /// Delay before that retry.
    delay: Duration,
    /// When other instances are asked next.
    ask_at: Instant,
}

impl RosterWatch {
    /// Returns the watch of an instance without a list; a leaving server must be acted on within `bound`.
    pub fn new(bound: Duration) -> RosterWatch {
        RosterWatch { bound, read_at: None, asked_at: None, failing: None }
    }

    /// Returns what to do next if the list was last current at `as_of`.
    pub fn next(&self, now: Instant, role: &RosterRole, as_of: Option<Instant>) -> RosterStep {
        let due = self.due(role, as_of).unwrap_or(now);
        if now < due {
            let ask_at = self.ask_at(role, as_of).filter(|at| *at < due);
            return match ask_at {
                Some(at) if at <= now => RosterStep::AskPeers,
                ask_at => RosterStep::Wait(ask_at.unwrap_or(due) - now),
            };
        }
        let Some(Failing { retry_at, ask_at, .. }) = self.failing else { return RosterStep::Read };
        if now >= retry_at {
            RosterStep::Read
        } else if now >= ask_at {
            RosterStep::AskPeers
        } else {
            RosterStep::Wait(retry_at.min(ask_at) - now)
        }
    }

    /// Returns when the next read is due.
    fn due(&self, role: &RosterRole, as_of: Option<Instant>) -> Option<Instant> {
        if role.reader {
            // A new aggregator reads at once unless its list is recent.
            return self.read_at.max(as_of).map(|at| at + read_period(self.bound));
        }
        as_of.map(|as_of| as_of + self.read_age(role.position))
    }

    /// Returns when other instances are asked for a newer list.
    fn ask_at(&self, role: &RosterRole, as_of: Option<Instant>) -> Option<Instant> {
        if role.reader || role.position.instances <= 1 {
            return None;
        }
        let aged = as_of? + self.bound.mul_f64(ASK_AGE);
        let period = self.bound.mul_f64(ASK_PERIOD);
        Some(self.asked_at.map_or(aged, |asked| aged.max(asked + period)))
    }

    /// Returns the age of the list at which an instance that is not the aggregator reads the store.
    fn read_age(&self, position: FleetPosition) -> Duration {
        let rank = position.number as f64 / position.instances.max(1) as f64;
        self.bound.mul_f64(READ_AGE_FIRST + (READ_AGE_LAST - READ_AGE_FIRST) * rank)
    }

    /// Notes a successful read of the store that started at `started_at`.
    pub fn store_read(&mut self, started_at: Instant) {
        self.read_at = Some(started_at);
        self.failing = None;
    }

    /// Notes that the store could not be read: other instances are asked next.
    pub fn store_failed(&mut self, now: Instant) {
        let delay = self
            .failing
            .map_or(RETRY_DELAY_FIRST, |failing| (failing.delay * 2).min(RETRY_DELAY_MAX));
        self.failing = Some(Failing { retry_at: now + delay, delay, ask_at: now });
    }

    /// Notes that other instances were asked, whatever their replies.
    pub fn peers_asked(&mut self, now: Instant) {
        self.asked_at = Some(now);
        if let Some(failing) = &mut self.failing {
            failing.ask_at = now + self.bound.mul_f64(ASK_PERIOD);
        }
    }
}
