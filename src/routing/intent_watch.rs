//! How recently an instance's active intent was confirmed to be the newest, and what the instance does next to confirm
//! it again.
//!
//! A confirmation is a time at which the active intent was the newest in the store, read by this instance or by one
//! that sent it an update. Replies of the store about other tables confirm nothing about the intent.

use std::time::{Duration, Instant};

use super::{FleetPosition, StoreVersion, store_version::SETTLING_TIME};

/// Age of the confirmation, as a fraction of the operator's bound, at which the first instance by rank reads the store
/// itself. The ages of the others lie between this and [`READ_AGE_LAST`], so that the first can update the rest.
const READ_AGE_FIRST: f64 = 0.5;

/// The same for the last instance, which still has the time of a read within the bound.
const READ_AGE_LAST: f64 = 0.7;

/// Longest time between two exchanges, as a multiple of the exchange period, which is drawn up to a tenth longer.
const EXCHANGE_JITTER_MAX: f64 = 1.1;

/// Allowance for the calls themselves, during which the confirmation ages: many round trips.
const CALL_TIME: Duration = Duration::from_millis(100);

/// Shortest wait of one call that polls for changes.
const POLL_WAIT_MIN: Duration = Duration::from_millis(200);

/// Longest such wait: with a longer one an unresponsive connection would be detected too late. The wait ends before
/// other instances have to read the store themselves.
const POLL_WAIT_MAX: Duration = Duration::from_secs(2);

/// Shortest interval between two calls to the store, so that a burst of changes costs only a few calls a second.
const CALL_INTERVAL: Duration = Duration::from_millis(200);

/// Time in which a relayed change reaches all instances: 0.3 s with 62 of them, and one more hop with 302. An instance
/// that it has not reached by then asks others.
const RELAY_TIME: Duration = Duration::from_millis(500);

/// Largest fraction of the operator's bound that is spent waiting for a relayed change.
const RELAY_FRACTION_MAX: f64 = 0.25;

/// Time since a newer version was first reported, as a fraction of the operator's bound, after which an instance that
/// still lacks it reads the store. Until then it asks other instances: on a busy machine a relay takes seconds, and each
/// instance that reads the store takes a copy of the whole intent.
const ASK_FRACTION: f64 = 0.3;

/// Delay after the first question to other instances that brought no newer intent. Later delays are half of the time
/// since the first one.
const ASK_DELAY: Duration = Duration::from_millis(100);

/// Longest such delay.
const ASK_DELAY_MAX: Duration = Duration::from_secs(1);

/// Timeout of a poll, as a fraction of the operator's bound, where that is longer than the timeout of other calls. A
/// poll that is abandoned on a slow machine is repeated, and the store sends the changed intent again.
const POLL_TIMEOUT_FRACTION: f64 = 0.2;

/// First delay after a failed call and a question to other instances, doubled with each further failure: calls that the
/// store rejects cost it as much as others. The delay of the aggregator stays at this value, so that it notices without
/// further delay that the store is available again.
const RETRY_DELAY_FIRST: Duration = Duration::from_millis(400);

/// Longest such delay.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// A time at which the active intent was the newest in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// When it was the newest.
    pub at: Instant,
    /// Version of the store at that time.
    pub store: StoreVersion,
}

/// Role of an instance in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchRole {
    /// Whether other instances rely on its reads.
    pub reader: bool,
    /// Its rank among all instances.
    pub position: FleetPosition,
    /// Period between two exchanges.
    pub exchange_period: Duration,
}

/// What an instance does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchStep {
    /// Do nothing for that long.
    Pause(Duration),
    /// Do nothing for that long, or until a newer version is reported.
    Wait(Duration),
    /// Read the whole intent.
    Read,
    /// Poll the store for changes.
    PollChanges {
        /// Version of the store up to which all changes have been read.
        after: StoreVersion,
        /// Longest wait for a change.
        wait: Duration,
    },
    /// Ask other instances.
    AskPeers,
}

/// A version newer than the active one that is known to exist.
#[derive(Debug, Clone, Copy)]
struct NewerVersion {
    version: u64,
    /// When the first version newer than the active one was reported.
    since: Instant,
    /// Whether the delay has been logged.
    is_logged: bool,
    /// Whether other instances were asked after the last call to the store.
    peers_asked: bool,
}

/// Tracks the confirmation of the active intent and the calls to the store.
#[derive(Debug)]
pub struct IntentWatch {
    bound: Duration,
    version: u64,
    confirmed: Option<Confirmation>,
    history_expired: bool,
    newer: Option<NewerVersion>,
    ask_peers_next: bool,
    /// Delay after the next failed call.
    retry_delay: Duration,
    not_before: Option<Instant>,
    /// Until when operators may write again a newer intent that a restore of the store lost.
    unsettled_until: Option<Instant>,
}

impl IntentWatch {
    /// Returns the watch of an instance without an intent; changes must be active within `bound`.
    pub fn new(bound: Duration) -> IntentWatch {
        IntentWatch {
            bound,
            version: 0,
            confirmed: None,
            history_expired: false,
            newer: None,
            ask_peers_next: false,
            retry_delay: RETRY_DELAY_FIRST,
            not_before: None,
            unsettled_until: None,
        }
    }

    /// Returns what to do next.
    pub fn next(&self, now: Instant, role: &WatchRole) -> WatchStep {
        let pause = self.not_before.map(|at| at.saturating_duration_since(now));
        if let Some(pause) = pause.filter(|pause| !pause.is_zero()) {
            return WatchStep::Pause(pause);
        }
        if self.ask_peers_next {
            return WatchStep::AskPeers;
        }
        if let Some(newer) = self.newer.filter(|newer| self.asks_peers(now, role, newer)) {
            let left = (newer.since + self.relay_time()).saturating_duration_since(now);
            return if left.is_zero() { WatchStep::AskPeers } else { WatchStep::Pause(left) };
        }
        let (Some(age), false) = (self.age(now), self.history_expired) else {
            return WatchStep::Read;
        };
        let read_age = self.read_age(role.position);
        let due = self.newer.is_some() || role.reader || age >= read_age;
        if !due {
            return WatchStep::Wait(read_age.saturating_sub(age));
        }
        let after = self.confirmed.map_or(StoreVersion::default(), |confirmed| confirmed.store);
        let may_wait = role.reader && self.newer.is_none();
        let wait = if may_wait { self.poll_wait(role).saturating_sub(age) } else { Duration::ZERO };
        WatchStep::PollChanges { after, wait }
    }

    /// Notes the active version.
    pub fn set_active(&mut self, version: u64) {
        if version > self.version {
            self.unsettled_until = None;
        }
        self.version = self.version.max(version);
        if self.newer.is_some_and(|newer| newer.version <= self.version) {
            self.newer = None;
        }
    }

    /// Notes that the active intent was the newest in the store. Confirmations from an earlier era of the store do not
    /// apply to the current one.
    pub fn confirm(&mut self, confirmed: Confirmation) {
        let known = *self.confirmed.get_or_insert(confirmed);
        if confirmed.store.era < known.store.era {
            return;
        }
        if confirmed.store.era > known.store.era {
            self.unsettled_until = Some(confirmed.at + SETTLING_TIME);
            // An instance on which the newer version is active reports it again; if there is none, the version is lost.
            self.newer = None;
        }
        let at = known.at.max(confirmed.at);
        self.confirmed = Some(Confirmation { at, store: known.store.max(confirmed.store) });
    }

    /// Returns whether no restore of the store can still hide a newer intent.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.unsettled_until.is_none_or(|until| now >= until)
    }

    /// Notes that all changes up to `store` were read, including any that could not be parsed.
    pub fn note_store_version(&mut self, store: StoreVersion) {
        if let Some(known) = &mut self.confirmed {
            known.store = known.store.max(store);
        }
    }

    /// Notes that `version` exists; returns whether it is newer than any version known before.
    pub fn note_version(&mut self, now: Instant, version: u64) -> bool {
        if version <= self.version {
            return false;
        }
        let since = self.newer.map_or(now, |newer| newer.since);
        if self.newer.is_some_and(|newer| newer.version >= version) {
            return false;
        }
        let peers_asked = self.newer.is_some_and(|newer| newer.peers_asked);
        self.newer = Some(NewerVersion { version, since, is_logged: false, peers_asked });
        // Other instances can provide the newer version even if the store is unavailable.
        self.not_before = self.not_before.map(|at| at.min(now + RETRY_DELAY_FIRST));
        true
    }

    /// Notes that the store was read.
    pub fn store_read(&mut self, now: Instant) {
        self.history_expired = false;
        self.retry_delay = RETRY_DELAY_FIRST;
        self.not_before = Some(now + CALL_INTERVAL);
        self.allow_asking();
    }

    /// Notes that the store could not be read: other instances are asked next.
    pub fn store_failed(&mut self) {
        self.ask_peers_next = true;
        self.allow_asking();
    }

    /// Returns whether other instances are asked because the store could not be read, not for a newer version.
    pub fn has_store_failed(&self) -> bool {
        self.ask_peers_next
    }

    /// Notes that the store no longer keeps the changes since the last poll: the whole intent is read next.
    pub fn history_expired(&mut self) {
        self.history_expired = true;
    }

    /// Notes that other instances were asked, whatever their replies.
    pub fn peers_asked(&mut self, now: Instant, role: &WatchRole) {
        let delay = if self.ask_peers_next { self.retry_delay } else { self.ask_delay(now) };
        self.not_before = Some(now + delay);
        if self.ask_peers_next && !role.reader {
            self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
        }
        self.ask_peers_next = false;
        if let Some(newer) = &mut self.newer {
            newer.peers_asked = true;
        }
    }

    /// Returns whether other instances are asked for `newer` before the store is. An instance whose confirmation is old
    /// enough that it reads the store in any case asks only once.
    fn asks_peers(&self, now: Instant, role: &WatchRole, newer: &NewerVersion) -> bool {
        let outdated_for = now.saturating_duration_since(newer.since);
        let is_recent = self.age(now).is_some_and(|age| age < self.read_age(role.position));
        !newer.peers_asked || (is_recent && outdated_for < self.bound.mul_f64(ASK_FRACTION))
    }

    /// Returns the time in which a newer version is relayed to this instance.
    fn relay_time(&self) -> Duration {
        RELAY_TIME.min(self.bound.mul_f64(RELAY_FRACTION_MAX))
    }

    /// Returns the delay until other instances are asked again for a newer version.
    fn ask_delay(&self, now: Instant) -> Duration {
        let outdated_for = self.outdated_for(now).unwrap_or_default();
        (outdated_for.saturating_sub(self.relay_time()) / 2).clamp(ASK_DELAY, ASK_DELAY_MAX)
    }

    /// Returns the timeout of a poll's reply after its wait, and of each pause in the reply.
    pub fn poll_timeout(&self) -> Duration {
        self.bound.mul_f64(POLL_TIMEOUT_FRACTION)
    }

    fn allow_asking(&mut self) {
        if let Some(newer) = &mut self.newer {
            newer.peers_asked = false;
        }
    }

    /// Returns the latest confirmation.
    pub fn confirmed(&self) -> Option<Confirmation> {
        self.confirmed
    }

    /// Returns the time since the latest confirmation.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_duration_since(confirmed.at))
    }

    /// Returns the newest version that is known to exist.
    pub fn newest(&self) -> u64 {
        self.newer.map_or(self.version, |newer| newer.version)
    }

    /// Returns whether a version newer than the active one is known to exist.
    pub fn is_outdated(&self) -> bool {
        self.newer.is_some()
    }

    /// Returns for how long a version newer than the active one has been known to exist.
    pub fn outdated_for(&self, now: Instant) -> Option<Duration> {
        self.newer.map(|newer| now.saturating_duration_since(newer.since))
    }

    /// Returns how long the active intent has been outdated if that is longer than half of the operator's bound, once
    /// for each newer version.
    pub fn take_overdue(&mut self, now: Instant) -> Option<Duration> {
        let late = self.bound / 2;
        let newer = self.newer.as_mut().filter(|newer| !newer.is_logged)?;
        let since = now.saturating_duration_since(newer.since);
        newer.is_logged = since >= late;
        newer.is_logged.then_some(since)
    }

    /// Returns the age of the confirmation at which an instance reads the store itself.
    fn read_age(&self, position: FleetPosition) -> Duration {
        let rank = position.number as f64 / position.instances.max(1) as f64;
        self.bound.mul_f64(READ_AGE_FIRST + (READ_AGE_LAST - READ_AGE_FIRST) * rank)
    }

    /// Returns how long the aggregator waits for changes in one poll, such that its confirmation reaches the others
    /// before they have to read the store themselves.
    fn poll_wait(&self, role: &WatchRole) -> Duration {
        let elapsed = CALL_INTERVAL + CALL_TIME + role.exchange_period.mul_f64(EXCHANGE_JITTER_MAX);
        self.bound
            .mul_f64(READ_AGE_FIRST)
            .saturating_sub(elapsed)
            .clamp(POLL_WAIT_MIN, POLL_WAIT_MAX)
    }
}
