//! How sure an instance is that its intent is the newest, and what it does next to be surer.
//!
//! What is known is a moment at which the intent in force was the newest in the store, whoever looked: this
//! instance or one that tells it. Replies about other tables say nothing of the intent.

use std::time::{Duration, Instant};

use super::{FleetPosition, StoreVersion, store_version::SETTLING};

/// Parts of the operator's bound after which the first and the last instance of the fleet read the store
/// themselves if no other tells them anything newer. One after the other, so that the first can tell the
/// rest; the last still has the time of a read within the bound.
const READ_AGE: (f64, f64) = (0.5, 0.7);

/// Times the pause between two exchanges that news may take from the instance that reads: the pause is drawn
/// up to a tenth longer.
const EXCHANGES: f64 = 1.1;

/// Time for the calls themselves, in which nobody is surer: many round trips.
const CALLS: Duration = Duration::from_millis(100);

/// Shortest and longest wait of one call for changes. A wait ends before others need to read for themselves;
/// a longer one would find a connection that went silent too late.
const WAIT: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// Least pause between two calls to the store: a storm of changes costs a few calls a second.
const PACE: Duration = Duration::from_millis(200);

/// Time that a change takes to all instances when each hands it on: 0.3 s measured with 62 of them, and one step
/// more with 302; and the part of the operator's bound that it may take. Then an instance that was missed asks
/// others, then the store.
const HAND_ON: (Duration, f64) = (Duration::from_millis(500), 0.25);

/// Pause after a question to others that brought nothing.
const PAUSE_ASKED: Duration = Duration::from_millis(100);

/// First pause after a failed call and a question to other instances, doubled at each further time, and the longest:
/// calls that the store refuses cost it as much as others. The one that reads for others keeps to the first, so that
/// the store's return is noticed as soon as before.
const PAUSE_FAILED: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(2));

/// That the intent in force was the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// At this moment.
    pub at: Instant,
    /// In the store of this version.
    pub store: StoreVersion,
}

/// What an instance is to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchRole {
    /// Whether others turn to it for news.
    pub reader: bool,
    /// Its place among all instances.
    pub position: FleetPosition,
    /// Pause between two exchanges.
    pub exchange_period: Duration,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchStep {
    /// Nothing for so long.
    Pause(Duration),
    /// Nothing for so long, unless a newer version is told of.
    Wait(Duration),
    /// Read the intent whole.
    Read,
    /// Ask the store what has changed since; wait so long for it.
    PollChanges {
        /// Version of the store up to which everything is known.
        after: StoreVersion,
        /// Longest wait for a change.
        wait: Duration,
    },
    /// Ask another instance.
    AskPeers,
}

/// A newer version than the one in force is known to exist.
#[derive(Debug, Clone, Copy)]
struct NewerVersion {
    newest: u64,
    since: Instant,
    /// Whether the log has been told.
    is_reported: bool,
    /// Whether others were asked since the store was.
    asked: bool,
}

/// What is known of the intent in force.
#[derive(Debug)]
pub struct IntentWatch {
    bound: Duration,
    version: u64,
    confirmed: Option<Confirmation>,
    history_expired: bool,
    newer: Option<NewerVersion>,
    ask_next: bool,
    /// Pause after the next failed call.
    pause_failed: Duration,
    not_before: Option<Instant>,
    /// Until when a newer intent may have been lost with the store's return, and be written again.
    unsettled_until: Option<Instant>,
}

impl IntentWatch {
    /// Returns the watch of an instance that knows nothing; changes are to be in force within `bound`.
    pub fn new(bound: Duration) -> IntentWatch {
        IntentWatch {
            bound,
            version: 0,
            confirmed: None,
            history_expired: false,
            newer: None,
            ask_next: false,
            pause_failed: PAUSE_FAILED.0,
            not_before: None,
            unsettled_until: None,
        }
    }

    /// Returns what is to be done next.
    pub fn next(&self, now: Instant, role: &WatchRole) -> WatchStep {
        let pause = self.not_before.map(|at| at.saturating_duration_since(now));
        if let Some(pause) = pause.filter(|pause| !pause.is_zero()) {
            return WatchStep::Pause(pause);
        }
        if self.ask_next {
            return WatchStep::AskPeers;
        }
        if let Some(newer) = self.newer.filter(|newer| !newer.asked) {
            let patience = HAND_ON.0.min(self.bound.mul_f64(HAND_ON.1));
            let left = (newer.since + patience).saturating_duration_since(now);
            return if left.is_zero() { WatchStep::AskPeers } else { WatchStep::Pause(left) };
        }
        let (Some(age), false) = (self.age(now), self.history_expired) else {
            return WatchStep::Read;
        };
        let own = self.read_age(role.position);
        let due = self.newer.is_some() || role.reader || age >= own;
        if !due {
            return WatchStep::Wait(own.saturating_sub(age));
        }
        let after = self.confirmed.map_or(StoreVersion::default(), |confirmed| confirmed.store);
        let waits = role.reader && self.newer.is_none();
        let wait = if waits { self.wait(role).saturating_sub(age) } else { Duration::ZERO };
        WatchStep::PollChanges { after, wait }
    }

    /// Notes the version in force.
    pub fn set_active(&mut self, version: u64) {
        if version > self.version {
            self.unsettled_until = None;
        }
        self.version = self.version.max(version);
        if self.newer.is_some_and(|newer| newer.newest <= self.version) {
            self.newer = None;
        }
    }

    /// Notes that the intent in force was the newest. What is told of an earlier era of the store says nothing of
    /// this one.
    pub fn confirm(&mut self, confirmed: Confirmation) {
        let known = *self.confirmed.get_or_insert(confirmed);
        if confirmed.store.era < known.store.era {
            return;
        }
        if confirmed.store.era > known.store.era {
            self.unsettled_until = Some(confirmed.at + SETTLING);
            // Whoever has the newer version in force tells of it again; if nobody does, it is lost.
            self.newer = None;
        }
        let at = known.at.max(confirmed.at);
        self.confirmed = Some(Confirmation { at, store: known.store.max(confirmed.store) });
    }

    /// Returns whether nothing newer can have been lost with the store's return.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.unsettled_until.is_none_or(|until| now >= until)
    }

    /// Notes that all of the store up to `store` was seen, whether it was understood or not.
    pub fn note_store_version(&mut self, store: StoreVersion) {
        if let Some(known) = &mut self.confirmed {
            known.store = known.store.max(store);
        }
    }

    /// Notes that there is `version`; returns whether that is news.
    pub fn note_version(&mut self, now: Instant, version: u64) -> bool {
        if version <= self.version {
            return false;
        }
        let since = self.newer.map_or(now, |newer| newer.since);
        if self.newer.is_some_and(|newer| newer.newest >= version) {
            return false;
        }
        let asked = self.newer.is_some_and(|newer| newer.asked);
        self.newer = Some(NewerVersion { newest: version, since, is_reported: false, asked });
        // Whatever the store does, others can tell what is newer.
        self.not_before = self.not_before.map(|at| at.min(now + PAUSE_FAILED.0));
        true
    }

    /// Notes that the store was read.
    pub fn store_read(&mut self, now: Instant) {
        self.history_expired = false;
        self.pause_failed = PAUSE_FAILED.0;
        self.not_before = Some(now + PACE);
        self.ask_again();
    }

    /// Notes that the store could not be read: others are asked next.
    pub fn store_failed(&mut self) {
        self.ask_next = true;
        self.ask_again();
    }

    /// Notes that the store no longer tells what has changed: it is read whole.
    pub fn history_expired(&mut self) {
        self.history_expired = true;
    }

    /// Notes that others were asked, whatever they said.
    pub fn peers_asked(&mut self, now: Instant, role: &WatchRole) {
        let pause = if self.ask_next { self.pause_failed } else { PAUSE_ASKED };
        self.not_before = Some(now + pause);
        if self.ask_next && !role.reader {
            self.pause_failed = (self.pause_failed * 2).min(PAUSE_FAILED.1);
        }
        self.ask_next = false;
        if let Some(newer) = &mut self.newer {
            newer.asked = true;
        }
    }

    fn ask_again(&mut self) {
        if let Some(newer) = &mut self.newer {
            newer.asked = false;
        }
    }

    /// Returns when the intent in force was last known to be the newest.
    pub fn confirmed(&self) -> Option<Confirmation> {
        self.confirmed
    }

    /// Returns how long ago the intent in force was known to be the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_duration_since(confirmed.at))
    }

    /// Returns the newest version that is known to exist.
    pub fn newest(&self) -> u64 {
        self.newer.map_or(self.version, |newer| newer.newest)
    }

    /// Returns whether a newer version than the one in force is known to exist.
    pub fn is_outdated(&self) -> bool {
        self.newer.is_some()
    }

    /// Returns for how long a newer version has been known to exist without being in force.
    pub fn outdated_for(&self, now: Instant) -> Option<Duration> {
        self.newer.map(|newer| now.saturating_duration_since(newer.since))
    }

    /// Returns how long the instance has been behind, once for each newer version, when that is longer than
    /// half of the operator's bound.
    pub fn take_overdue(&mut self, now: Instant) -> Option<Duration> {
        let late = self.bound / 2;
        let newer = self.newer.as_mut().filter(|newer| !newer.is_reported)?;
        let since = now.saturating_duration_since(newer.since);
        newer.is_reported = since >= late;
        newer.is_reported.then_some(since)
    }

    /// Returns the age at which an instance reads the store itself.
    fn read_age(&self, position: FleetPosition) -> Duration {
        let (first, last) = READ_AGE;
        let place = position.number as f64 / position.instances.max(1) as f64;
        self.bound.mul_f64(first + (last - first) * place)
    }

    /// Returns how long the instance that reads for the others waits for changes, so that what it tells is
    /// never as old as what makes them read for themselves.
    fn wait(&self, role: &WatchRole) -> Duration {
        let spent = PACE + CALLS + role.exchange_period.mul_f64(EXCHANGES);
        self.bound.mul_f64(READ_AGE.0).saturating_sub(spent).clamp(WAIT.0, WAIT.1)
    }
}
