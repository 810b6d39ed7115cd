//! What an instance believes of the operator's intent and of the backend servers, and how old that
//! is.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;

use crate::{
    routing::{BackendServer, Intent, IntentInForce, Roster, roster::RosterChange},
    utils::sync::lock,
};

/// An instance's beliefs.
#[derive(Default)]
pub struct Knowledge {
    current: ArcSwapOption<Intent>,
    in_force: Mutex<IntentInForce>,
    roster: Mutex<Roster>,
    /// Latest moment at which the intent in force was known to be the newest.
    confirmed: Mutex<Option<Instant>>,
    /// The intent and the servers' list as they came, for other instances.
    raw: Mutex<RawKnowledge>,
}

/// Knowledge in the form in which it was read, to be passed on.
#[derive(Debug, Clone, Default)]
pub struct RawKnowledge {
    /// The operator's intent.
    pub intent: Arc<Vec<u8>>,
    /// Entries of backend servers, by key.
    pub servers: Arc<Vec<(String, Vec<u8>)>>,
}

impl Knowledge {
    /// Returns the intent in force.
    pub fn intent(&self) -> Option<Arc<Intent>> {
        self.current.load_full()
    }

    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        lock(&self.in_force).version()
    }

    /// Returns how long an idle connection of a caller stays open.
    pub fn idle_time(&self) -> Duration {
        lock(&self.in_force).idle_time()
    }

    /// Takes an intent that was the newest at `as_of`; returns whether it is now in force.
    pub fn offer_intent(&self, intent: Intent, raw: Vec<u8>, as_of: Instant) -> bool {
        let mut in_force = lock(&self.in_force);
        let version = intent.version;
        let newer = in_force.offer(intent);
        if newer {
            self.current.store(in_force.current().cloned());
            lock(&self.raw).intent = Arc::new(raw);
        }
        if version >= in_force.version() {
            self.confirm(as_of);
        }
        newer
    }

    /// Notes that the intent in force was the newest at `as_of`.
    pub fn confirm(&self, as_of: Instant) {
        let mut confirmed = lock(&self.confirmed);
        *confirmed = Some(confirmed.map_or(as_of, |known| known.max(as_of)));
    }

    /// Returns how long ago the intent in force was known to be the newest.
    pub fn intent_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.confirmed).map(|at| now.saturating_duration_since(at))
    }

    /// Takes a list of backend servers that was current at `as_of`.
    pub fn observe_servers(
        &self,
        now: Instant,
        as_of: Instant,
        list: Vec<BackendServer>,
        raw: Vec<(String, Vec<u8>)>,
    ) -> RosterChange {
        let mut roster = lock(&self.roster);
        let change = roster.observe(now, as_of, list);
        if roster.as_of() == Some(as_of) {
            lock(&self.raw).servers = Arc::new(raw);
        }
        change
    }

    /// Runs `f` with the servers in force.
    pub fn with_servers<T>(&self, f: impl FnOnce(&Roster) -> T) -> T {
        f(&lock(&self.roster))
    }

    /// Forgets a server whose address answered as another one.
    pub fn forget_server(&self, id: &crate::names::ServerId) {
        lock(&self.roster).forget(id);
    }

    /// Returns how old the servers' list is.
    pub fn servers_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.roster).as_of().map(|at| now.saturating_duration_since(at))
    }

    /// Returns what can be passed on to another instance.
    pub fn raw(&self) -> RawKnowledge {
        lock(&self.raw).clone()
    }
}
