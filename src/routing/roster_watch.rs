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

/// Pause before the store is tried again when it cannot be read and others have been asked.
const PAUSE_FAILED: Duration = Duration::from_millis(200);

/// Returns the pause between two reads of the instance that reads for others, where a leaving server is to be acted
/// on within `bound`.
pub fn pause(bound: Duration) -> Duration {
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
    Ask,
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
    /// Whether others are to be asked next.
    ask_next: bool,
    /// When the store is tried again after a failure.
    not_before: Option<Instant>,
}

impl RosterWatch {
    /// Returns the watch of an instance that knows nothing; a leaving server is to be acted on within `bound`.
    pub fn new(bound: Duration) -> RosterWatch {
        RosterWatch { bound, read_at: None, ask_next: false, not_before: None }
    }

    /// Returns what is next, where the list was current at `as_of`.
    pub fn next(&self, now: Instant, role: &RosterRole, as_of: Option<Instant>) -> RosterStep {
        if self.ask_next {
            return RosterStep::Ask;
        }
        let due = [self.due(role, as_of), self.not_before].into_iter().flatten().max();
        match due.map(|due| due.saturating_duration_since(now)) {
            Some(left) if !left.is_zero() => RosterStep::Wait(left),
            _ => RosterStep::Read,
        }
    }

    /// Returns when the list is read next, unless the store must be left alone for longer.
    fn due(&self, role: &RosterRole, as_of: Option<Instant>) -> Option<Instant> {
        if role.reader {
            // One that others have just turned to reads at once, unless it knows what was read lately.
            return self.read_at.max(as_of).map(|at| at + pause(self.bound));
        }
        as_of.map(|as_of| as_of + self.read_age(role.position))
    }

    /// Returns the age at which an instance that others do not rely on reads for itself.
    fn read_age(&self, position: FleetPosition) -> Duration {
        let (first, last) = READ_AGE;
        let place = position.number as f64 / position.instances.max(1) as f64;
        self.bound.mul_f64(first + (last - first) * place)
    }

    /// Notes that the store was read, which began at `began`.
    pub fn read(&mut self, began: Instant) {
        self.read_at = Some(began);
        self.not_before = None;
    }

    /// Notes that the store could not be read: others are asked next.
    pub fn failed(&mut self) {
        self.ask_next = true;
    }

    /// Notes that others were asked, whatever they said.
    pub fn asked(&mut self, now: Instant) {
        self.ask_next = false;
        self.not_before = Some(now + PAUSE_FAILED);
    }
}
