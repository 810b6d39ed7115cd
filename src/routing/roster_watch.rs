//! When an instance reads the list of backend servers itself, and when the news of others will do.
//!
//! One instance reads the list for all others at a pace. The others read it only when what they have been told has
//! grown old: the one that they turn to may be cut off, killed or standing still, and the next one that they turn
//! to has not read it either.

use std::time::{Duration, Instant};

use super::FleetPosition;

/// Part of the time in which a leaving server must be acted on that passes between two reads of
/// the servers' list; with the longest pause between two exchanges and the calls themselves, what the others are
/// told is then younger than they wait for.
const PACE: f64 = 0.2;

/// Parts of that time at which the first and the last of all instances no longer wait for news from others and
/// read the store themselves, so that not all do it at once. The rest is for a read that is lost and made again
/// (0.9 s), and for requests on their way: 295 instances that lose the one they turn to have a list of 0.61 of
/// the time at the most, and had one of 0.73 (simulated).
const READ_AGE: (f64, f64) = (0.5, 0.6);

/// Part of that time at which an instance asks others for younger news before it reads the store: in a large fleet the
/// news of the one that reads come as late as they may, and lists are read since they are
/// some tenths of a second too old: 0.316 GB of the store on a day with 296 instances and 2,964 servers, 0.105 GB with it.
const ASK_AGE: f64 = 0.4;

/// First pause before the store is tried again when it cannot be read, doubled at each further time, and the
/// longest: calls that the store refuses cost it as much as others.
const PAUSE_FAILED: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// Part of that time between two questions to others.
const ASK_PACE: f64 = 0.1;

/// Returns the pause between two reads of the instance that reads for others, where a leaving server is to be acted
/// on within `bound`.
pub fn read_period(bound: Duration) -> Duration {
    bound.mul_f64(PACE)
}

/// What is next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterStep {
    /// Nothing, for that long.
    Wait(Duration),
    /// The store is read.
    Read,
    /// Other instances are asked, since the store could not be read.
    AskPeers,
}

/// What an instance is to the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RosterRole {
    /// Whether others rely on it, or it has nobody to rely on.
    pub reader: bool,
    /// Its place among all.
    pub position: FleetPosition,
}

/// The watch over the age of the list.
#[derive(Debug)]
pub struct RosterWatch {
    /// Time within which a leaving server must be acted on.
    bound: Duration,
    /// When the last read began.
    read_at: Option<Instant>,
    /// When others were last asked.
    asked_at: Option<Instant>,
    /// What is known of a store that cannot be read.
    failing: Option<Failing>,
}

#[derive(Debug, Clone, Copy)]
struct Failing {
    /// When the store is tried again.
    retry_at: Instant,
    /// Pause that led there.
    pause: Duration,
    /// When others are asked next.
    ask_at: Instant,
}

impl RosterWatch {
    /// Returns the watch of an instance that knows nothing; a leaving server is to be acted on within `bound`.
    pub fn new(bound: Duration) -> RosterWatch {
        RosterWatch { bound, read_at: None, asked_at: None, failing: None }
    }

    /// Returns what is next, where the list was current at `as_of`.
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

    /// Returns when the list should be read next.
    fn due(&self, role: &RosterRole, as_of: Option<Instant>) -> Option<Instant> {
        if role.reader {
            // One that others have just turned to reads at once, unless it knows what was read lately.
            return self.read_at.max(as_of).map(|at| at + read_period(self.bound));
        }
        as_of.map(|as_of| as_of + self.read_age(role.position))
    }

    /// Returns when others are asked for younger news.
    fn ask_at(&self, role: &RosterRole, as_of: Option<Instant>) -> Option<Instant> {
        if role.reader || role.position.instances <= 1 {
            return None;
        }
        let aged = as_of? + self.bound.mul_f64(ASK_AGE);
        let pause = self.bound.mul_f64(ASK_PACE);
        Some(self.asked_at.map_or(aged, |asked| aged.max(asked + pause)))
    }

    /// Returns the age at which an instance that others do not rely on reads for itself.
    fn read_age(&self, position: FleetPosition) -> Duration {
        let (first, last) = READ_AGE;
        let place = position.number as f64 / position.instances.max(1) as f64;
        self.bound.mul_f64(first + (last - first) * place)
    }

    /// Notes that the store was read, which began at `began`.
    pub fn store_read(&mut self, began: Instant) {
        self.read_at = Some(began);
        self.failing = None;
    }

    /// Notes that the store could not be read: others are asked next.
    pub fn store_failed(&mut self, now: Instant) {
        let (first, longest) = PAUSE_FAILED;
        let pause = self.failing.map_or(first, |failing| (failing.pause * 2).min(longest));
        self.failing = Some(Failing { retry_at: now + pause, pause, ask_at: now });
    }

    /// Notes that others were asked, whatever they said.
    pub fn peers_asked(&mut self, now: Instant) {
        self.asked_at = Some(now);
        if let Some(failing) = &mut self.failing {
            failing.ask_at = now + self.bound.mul_f64(ASK_PACE);
        }
    }
}
