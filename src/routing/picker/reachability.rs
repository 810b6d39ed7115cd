//! What the picker does about servers that this instance cannot connect to: they stay in use, through other instances.
//!
//! What has been recorded of their health until then is that of the path, so it is forgotten. Requests that go through
//! another instance find out how the server is.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Picker, Tracked};
use crate::{
    names::ServiceName,
    routing::{BackendServer, Health, Incarnation},
};

/// A server to which a connection is opened to find out whether this instance reaches it.
#[derive(Debug, Clone, PartialEq)]
pub struct ProbeTarget {
    /// The server.
    pub server: Arc<BackendServer>,
}

/// How many servers of a service this instance reaches itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachCounts {
    /// Servers that it cannot connect to.
    pub unreached: usize,
    /// All servers.
    pub all: usize,
}

impl ReachCounts {
    /// Returns whether this instance reaches no server of the service.
    pub fn is_partitioned(self) -> bool {
        self.unreached > 0 && self.unreached == self.all
    }

    /// Returns whether most servers are unreached, so that the fault is rather that of this instance.
    pub fn is_mostly_unreached(self) -> bool {
        self.unreached * 2 > self.all + 1
    }
}

impl Picker {
    /// Returns whether this instance cannot connect to `server`.
    pub fn is_unreached(&self, server: &Incarnation) -> bool {
        self.reachability.is_unreached(server)
    }

    /// Returns how many servers of a service this instance reaches itself.
    pub fn reach_counts(&self, service: &ServiceName) -> ReachCounts {
        let unreached = self.reachability.unreached_of(service);
        ReachCounts { unreached, all: self.servers_of(service).count() }
    }

    /// Returns whether this instance knows too little of its own paths to the servers of a service to say that one of them
    /// is down.
    pub fn is_poor_witness(&self, service: &ServiceName) -> bool {
        self.reachability.is_doubted(service) || self.reach_counts(service).is_mostly_unreached()
    }

    /// Returns whether there is anything to probe, now or later.
    pub fn has_paths_in_doubt(&self) -> bool {
        self.reachability.is_in_doubt()
    }

    /// Suspects the path to a server that has fallen silent.
    pub fn suspect_path(&mut self, server: &Incarnation) {
        if self.servers.contains_key(server) {
            self.reachability.suspect(server);
        }
    }

    /// Records that this instance could not connect to `server`; returns whether it was reached before.
    pub fn note_connect_failed(&mut self, now: Instant, server: &Incarnation) -> bool {
        let Some(tracked) = self.servers.get_mut(server) else { return false };
        let service = &tracked.server.service;
        let is_new = self.reachability.note_connect_failed(now, service, server);
        if is_new {
            tracked.health = Health::default();
            self.contacts.note_lost(now, server);
        }
        is_new
    }

    /// Records that `server` has accepted a connection of this instance; returns for how long it was unreached.
    pub fn note_connected(&mut self, now: Instant, server: &Incarnation) -> Option<Duration> {
        self.contacts.note_response(now, server);
        let unreached_for = self.reachability.note_connected(now, server)?;
        self.update(server, |tracked| tracked.health = Health::default());
        Some(unreached_for)
    }

    /// Records that `server` has responded on a connection of this instance.
    pub fn note_heard(&mut self, now: Instant, server: &Incarnation) {
        self.contacts.note_response(now, server);
    }

    /// Returns whether `server`, which has refused a connection, has ended, as far as the other servers show that this
    /// instance reaches.
    pub fn has_ended(&self, server: &Incarnation) -> bool {
        self.contacts.has_ended(server)
    }

    /// Records whether another instance could connect to `server`; returns whether that was not known.
    pub fn note_seen(&mut self, server: &Incarnation, is_up: bool) -> bool {
        let is_new = self.reachability.note_seen(server, is_up);
        if is_new && is_up {
            self.update(server, |tracked| tracked.health = Health::default());
        }
        is_new
    }

    /// Returns whether no instance is known to reach `server`.
    pub fn is_out_of_reach(&self, server: &Incarnation) -> bool {
        self.reachability.is_out_of_reach(server)
    }

    /// Returns up to `max` servers that are suspected, or unreached and due to be probed.
    pub fn due_probes(&self, now: Instant, max: usize) -> Vec<ProbeTarget> {
        let due = self.reachability.due(now, max);
        due.iter().filter_map(|server| self.servers.get(server)).map(target).collect()
    }

    /// Returns the services in doubt, each with some of its other servers to check, chosen by `draw`, a random number.
    pub fn checks(&self, draw: u64) -> Vec<(ServiceName, Vec<ProbeTarget>)> {
        let to_check = self.reachability.to_check().into_iter();
        to_check
            .map(|(service, count)| {
                let is_open = |t: &&Tracked| !t.server.leaving && !self.is_unreached(&t.server.id);
                let mut others: Vec<&Tracked> = self.servers_of(&service).filter(is_open).collect();
                let start = draw as usize % others.len().max(1);
                others.rotate_left(start);
                (service, others.into_iter().take(count).map(target).collect())
            })
            .collect()
    }

    /// Records that some servers of a service were checked, and whether all of them accepted a connection.
    pub fn note_checked(&mut self, service: &ServiceName, all_reached: bool) {
        self.reachability.note_checked(service, all_reached);
    }
}

fn target(tracked: &Tracked) -> ProbeTarget {
    ProbeTarget { server: Arc::clone(&tracked.server) }
}
