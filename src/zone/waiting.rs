//! Requests that wait at a home: in the fair queue, or for the engine that has their chat's context.

use std::time::{Duration, Instant};

use crate::{
    contract::{
        fair_queue::FairQueue,
        permit::{PermitId, PermitRequest, TeamPolicy},
    },
    names::Tag,
};

/// Weight of the newest sample in the mean holding time of permits. It averages over about twenty requests, so that the
/// mean follows a change of load within a second and one long request hardly moves it.
const HOLDING_TIME_SMOOTHING: f64 = 0.05;

/// A permit request that waits.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    /// The permit request.
    pub request: PermitRequest,
    /// Policy of its team.
    pub policy: TeamPolicy,
    /// Deadline of the caller's request.
    pub until: Instant,
}

/// A returning chat's request that waits for the engine with the chat's context.
#[derive(Debug, Clone)]
pub struct AffinityWaiter {
    /// The request.
    pub waiting: WaitingRequest,
    /// The engine that it waits for.
    pub engine: Tag,
    /// When it stops waiting and may use another engine.
    pub give_up_at: Instant,
}

/// All requests that wait at a home.
#[derive(Debug, Default)]
pub struct WaitQueues {
    queue: FairQueue<WaitingRequest>,
    affinity_waiters: Vec<AffinityWaiter>,
    /// Mean holding time of permits in seconds; zero before the first is released.
    mean_holding_time: f64,
}

impl WaitQueues {
    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.queue.len() + self.affinity_waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the fair queue.
    pub fn queue(&self) -> &FairQueue<WaitingRequest> {
        &self.queue
    }

    /// Adds a request to the fair queue.
    pub fn push(&mut self, waiting: WaitingRequest) {
        let (team, weight, reserved) = queue_key(&waiting);
        self.queue.push(team, weight, reserved, waiting);
    }

    /// Removes and returns the next request of the fair queue.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        self.queue.pop()
    }

    /// Returns a popped request to the front of its queue.
    pub fn push_front(&mut self, waiting: WaitingRequest) {
        let (team, weight, reserved) = queue_key(&waiting);
        self.queue.push_front(team, weight, reserved, waiting);
    }

    /// Adds a request that waits for an engine.
    pub fn add_affinity_waiter(&mut self, waiter: AffinityWaiter) {
        self.affinity_waiters.push(waiter);
    }

    /// Returns the request at `position` among those that wait for an engine.
    pub fn affinity_waiter(&self, position: usize) -> Option<&AffinityWaiter> {
        self.affinity_waiters.get(position)
    }

    /// Removes and returns the request at `position` among those that wait for an engine.
    ///
    /// # Panics
    ///
    /// There is no request at `position`.
    pub fn take_affinity_waiter(&mut self, position: usize) -> WaitingRequest {
        self.affinity_waiters.remove(position).waiting
    }

    /// Returns how many requests wait for `engine`.
    pub fn affinity_waiters_for(&self, engine: Tag) -> usize {
        self.affinity_waiters.iter().filter(|waiter| waiter.engine == engine).count()
    }

    /// Removes the request `id`.
    pub fn remove(&mut self, id: PermitId) {
        self.queue.extract(|waiting| waiting.request.id == id);
        self.affinity_waiters.retain(|waiter| waiter.waiting.request.id != id);
    }

    /// Removes and returns the requests of the fair queue whose deadline has passed.
    pub fn take_expired(&mut self, now: Instant) -> Vec<WaitingRequest> {
        self.queue.extract(|waiting| waiting.until <= now)
    }

    /// Adds a permit's holding time to the mean.
    pub fn note_holding_time(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        let old = if self.mean_holding_time == 0.0 { held } else { self.mean_holding_time };
        self.mean_holding_time = old + HOLDING_TIME_SMOOTHING * (held - old);
    }

    /// Returns the expected wait, in seconds, of the request at `position` in a queue for `slots` requests that run at
    /// once.
    pub fn expected_wait(&self, position: usize, slots: u32) -> f64 {
        self.mean_holding_time * position as f64 / f64::from(slots.max(1))
    }
}

fn queue_key(waiting: &WaitingRequest) -> (Tag, u32, bool) {
    (waiting.request.team, waiting.policy.weight, waiting.policy.reserved)
}
