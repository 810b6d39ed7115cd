//! Which backend servers this instance itself can connect to.
//!
//! A failed connect does not say whose fault it is: the server may have ended, or this instance may be partitioned from
//! it, and from all others, while other instances reach them. Without the distinction, an instance that is partitioned
//! takes every server for failed, reports that to the others, and refuses its callers although another instance could
//! serve them.
//!
//! A server to which a connect fails is unreached. Probes find out whether another instance reaches it, in which case
//! requests go through that one, and when this instance can connect to it again. A failure also casts doubt on the paths
//! to the other servers of its service, some of which are checked, more with each round in which one of them fails, until
//! a round succeeds.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::Incarnation;
use crate::names::ServiceName;

/// Pause before an unreached server is probed, doubled with each probe that fails.
const PROBE_PAUSE_FIRST: Duration = Duration::from_millis(250);

/// Longest such pause.
const PROBE_PAUSE_MAX: Duration = Duration::from_millis(500);

/// Number of servers that are checked after the first failure of a service.
const CHECKED_FIRST: usize = 2;

/// Largest number of servers of a service that are checked at once.
const CHECKED_MAX: usize = 16;

/// What is known of a server that this instance cannot connect to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    /// No other instance has tried to connect to it.
    Unknown,
    /// Another instance has connected to it.
    Up,
    /// Other instances could not connect to it either.
    Down,
}

/// A server that this instance cannot connect to.
#[derive(Debug)]
struct Unreached {
    service: ServiceName,
    since: Instant,
    probe_at: Instant,
    pause: Duration,
    seen: Seen,
}

/// The servers that this instance cannot connect to, and what is to be probed.
#[derive(Debug, Default)]
pub struct Reachability {
    unreached: IndexMap<Incarnation, Unreached>,
    /// Servers that have fallen silent and have not been probed since.
    suspected: IndexSet<Incarnation>,
    /// Services with a new failure, and how many of their other servers are checked next.
    doubted: IndexMap<ServiceName, usize>,
}

impl Reachability {
    /// Returns whether this instance cannot connect to `server`.
    pub fn is_unreached(&self, server: &Incarnation) -> bool {
        self.unreached.contains_key(server)
    }

    /// Returns whether no instance is known to reach `server`.
    pub fn is_out_of_reach(&self, server: &Incarnation) -> bool {
        self.seen(server).is_some_and(|seen| seen != Seen::Up)
    }

    /// Returns whether what this instance finds wrong with `server` may be the fault of its own path: the server is
    /// suspected, or unreached and not known to be down, or no other server of its service has been reached since.
    pub fn is_path_in_doubt(&self, server: &Incarnation) -> bool {
        if self.suspected.contains(server) {
            return true;
        }
        let Some(unreached) = self.unreached.get(server) else { return false };
        unreached.seen != Seen::Down || self.is_doubted(&unreached.service)
    }

    /// Returns whether a server of `service` was not reached, and others have not been checked since.
    pub fn is_doubted(&self, service: &ServiceName) -> bool {
        self.doubted.contains_key(service)
    }

    fn seen(&self, server: &Incarnation) -> Option<Seen> {
        self.unreached.get(server).map(|unreached| unreached.seen)
    }

    /// Returns the number of unreached servers of a service.
    pub fn unreached_of(&self, service: &ServiceName) -> usize {
        self.unreached.values().filter(|unreached| unreached.service == *service).count()
    }

    /// Returns whether there is anything to probe, now or later.
    pub fn is_in_doubt(&self) -> bool {
        !(self.unreached.is_empty() && self.suspected.is_empty() && self.doubted.is_empty())
    }

    /// Suspects the path to a server that has fallen silent.
    pub fn suspect(&mut self, server: &Incarnation) {
        if !self.is_unreached(server) {
            self.suspected.insert(server.clone());
        }
    }

    /// Records that no connection to `server` could be opened; returns whether it was reached before.
    pub fn note_connect_failed(
        &mut self,
        now: Instant,
        service: &ServiceName,
        server: &Incarnation,
    ) -> bool {
        self.suspected.shift_remove(server);
        if let Some(unreached) = self.unreached.get_mut(server) {
            unreached.pause = (unreached.pause * 2).min(PROBE_PAUSE_MAX);
            unreached.probe_at = now + unreached.pause;
            return false;
        }
        let new = Unreached {
            service: service.clone(),
            since: now,
            probe_at: now + PROBE_PAUSE_FIRST,
            pause: PROBE_PAUSE_FIRST,
            seen: Seen::Unknown,
        };
        self.unreached.insert(server.clone(), new);
        self.doubted.entry(service.clone()).or_insert(CHECKED_FIRST);
        true
    }

    /// Records whether another instance could connect to `server`; returns whether that was not known.
    pub fn note_seen(&mut self, server: &Incarnation, is_up: bool) -> bool {
        let Some(unreached) = self.unreached.get_mut(server) else { return false };
        let seen = if is_up { Seen::Up } else { Seen::Down };
        std::mem::replace(&mut unreached.seen, seen) != seen
    }

    /// Records that `server` has accepted a connection of this instance; returns for how long it was unreached.
    ///
    /// The other unreached servers of its service are due to be probed: paths that were lost together return together.
    pub fn note_connected(&mut self, now: Instant, server: &Incarnation) -> Option<Duration> {
        self.suspected.shift_remove(server);
        let unreached = self.unreached.shift_remove(server)?;
        for other in self.unreached.values_mut().filter(|o| o.service == unreached.service) {
            other.probe_at = other.probe_at.min(now);
            other.pause = PROBE_PAUSE_FIRST;
        }
        Some(now.saturating_duration_since(unreached.since))
    }

    /// Returns up to `max` servers to probe now: suspected ones, and unreached ones that are due.
    pub fn due(&self, now: Instant, max: usize) -> Vec<Incarnation> {
        let due = self.unreached.iter().filter(|(_, unreached)| now >= unreached.probe_at);
        let mut due: Vec<_> = due.map(|(server, unreached)| (unreached.probe_at, server)).collect();
        due.sort_by_key(|(at, _)| *at);
        let due = due.into_iter().map(|(_, server)| server);
        self.suspected.iter().chain(due).take(max).cloned().collect()
    }

    /// Returns the services whose other servers are to be checked, and how many of them at once.
    pub fn to_check(&self) -> Vec<(ServiceName, usize)> {
        self.doubted.iter().map(|(service, count)| (service.clone(), *count)).collect()
    }

    /// Records that some servers of a service were checked, and whether all of them accepted a connection.
    pub fn note_checked(&mut self, service: &ServiceName, all_reached: bool) {
        if all_reached {
            self.doubted.shift_remove(service);
        } else if let Some(count) = self.doubted.get_mut(service) {
            *count = (*count * 2).min(CHECKED_MAX);
        }
    }

    /// Forgets the servers for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&Incarnation) -> bool) {
        self.unreached.retain(|server, _| is_listed(server));
        self.suspected.retain(|server| is_listed(server));
    }
}
