//! Parts of simulated fleets: events on a simulated clock, servers with slots and queues, and instances that exchange
//! counts.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Instant,
};

use cartvane::{
    routing::{Aggregate, BackendServer, FleetPosition, InFlightCount, Picker},
    units::SlotCount,
};

use crate::routing::{server, set_servers};

/// Events in the order of their times.
pub(crate) struct Timeline<E>(BinaryHeap<Reverse<(Instant, E)>>);

impl<E: Ord> Timeline<E> {
    /// Returns a timeline without events.
    pub(crate) fn new() -> Timeline<E> {
        Timeline(BinaryHeap::new())
    }

    /// Adds an event.
    pub(crate) fn push(&mut self, at: Instant, event: E) {
        self.0.push(Reverse((at, event)));
    }

    /// Removes and returns the next event unless it is after `until`.
    pub(crate) fn pop_until(&mut self, until: Instant) -> Option<(Instant, E)> {
        let Reverse((at, _)) = self.0.peek()?;
        if *at > until {
            return None;
        }
        self.0.pop().map(|Reverse(event)| event)
    }
}

/// Servers that run as many requests as they have slots and queue the others.
pub(crate) struct ServerQueues<J> {
    slots: u32,
    running: Vec<u32>,
    waiting: Vec<VecDeque<J>>,
}

impl<J> ServerQueues<J> {
    /// Returns idle servers with `slots` slots each.
    pub(crate) fn new(servers: usize, slots: u32) -> ServerQueues<J> {
        let waiting = (0..servers).map(|_| VecDeque::new()).collect();
        ServerQueues { slots, running: vec![0; servers], waiting }
    }

    /// Adds a request to the queue of a server.
    pub(crate) fn add(&mut self, server: usize, job: J) {
        self.waiting[server].push_back(job);
    }

    /// Returns the next request that a server starts, if it has a free slot.
    pub(crate) fn start_next(&mut self, server: usize) -> Option<J> {
        if self.running[server] == self.slots {
            return None;
        }
        let job = self.waiting[server].pop_front()?;
        self.running[server] += 1;
        Some(job)
    }

    /// Ends a request that a server was running.
    pub(crate) fn finish(&mut self, server: usize) {
        self.running[server] -= 1;
    }

    /// Returns the number of requests in the queue of a server.
    pub(crate) fn queued(&self, server: usize) -> usize {
        self.waiting[server].len()
    }

    /// Returns the share of all slots that are taken.
    pub(crate) fn taken_share(&self) -> f64 {
        let running = self.running.iter().sum::<u32>();
        f64::from(running) / (f64::from(self.slots) * self.running.len() as f64)
    }
}

/// Returns servers with `slots` slots each.
pub(crate) fn servers(count: u16, slots: u32) -> Vec<BackendServer> {
    let with_slots =
        |s: BackendServer| BackendServer { slots: Some(SlotCount::nearest(slots)), ..s };
    (0..count).map(|i| with_slots(server(&format!("s{i}"), i))).collect()
}

/// Returns the pickers of `instances` instances that know `servers`.
pub(crate) fn pickers(instances: usize, servers: &[BackendServer]) -> Vec<Picker> {
    let picker = |number| {
        let mut picker = Picker::new("north".parse().expect("a valid zone"), 2.0);
        set_servers(&mut picker, Instant::now(), servers);
        picker.set_position(FleetPosition { number, instances });
        picker
    };
    (0..instances).map(picker).collect()
}

/// Reports the counts of an instance to the aggregator and returns them.
pub(crate) fn report_counts(
    now: Instant,
    aggregate: &mut Aggregate,
    number: usize,
    picker: &Picker,
) -> Vec<InFlightCount> {
    let own = picker.own_counts();
    let node = format!("n{number}").parse().expect("a valid name");
    aggregate.record_counts(now, node, own.clone());
    own
}

/// Returns a random pause between two independent arrivals, in seconds.
pub(crate) fn pause(rng: &mut fastrand::Rng, rate: f64) -> f64 {
    -rng.f64().max(1e-9).ln() / rate
}
