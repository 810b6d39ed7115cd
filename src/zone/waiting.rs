//! Requests that wait at a home: in the fair queue, or for the engine with their context.

use std::time::{Duration, Instant};

use crate::{
    contract::{
        fair_queue::FairQueue,
        permit::{PermitId, PermitRequest, TeamPolicy},
    },
    names::Tag,
};

/// Weight of the newest sample in the mean holding time: twenty requests or so, so that it follows
/// a change of load within a second and one long request hardly moves it.
const HOLDING_TIME_SMOOTHING: f64 = 0.05;

/// A request that waits.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    /// What it asked for.
    pub request: PermitRequest,
    /// Terms of its team.
    pub policy: TeamPolicy,
    /// When its time is over.
    pub until: Instant,
}

/// A returning chat that waits for the engine with its context.
#[derive(Debug, Clone)]
pub struct AffinityWaiter {
    /// The request.
    pub waiting: WaitingRequest,
    /// The engine.
    pub engine: Tag,
    /// When it goes elsewhere.
    pub give_up_at: Instant,
}

/// All requests that wait at one home.
#[derive(Debug, Default)]
pub struct WaitQueues {
    queue: FairQueue<WaitingRequest>,
    affinity_waiters: Vec<AffinityWaiter>,
    /// Mean time for which permits are held, in seconds; zero before the first.
    mean_holding_time: f64,
}

impl WaitQueues {
    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.queue.len() + self.affinity_waiters.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the fair queue.
    pub fn queue(&self) -> &FairQueue<WaitingRequest> {
        &self.queue
    }

    /// Puts a request into the fair queue.
    pub fn push(&mut self, waiting: WaitingRequest) {
        let (team, weight, reserved) = queue_key(&waiting);
        self.queue.push(team, weight, reserved, waiting);
    }

    /// Takes the next request out of the fair queue.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        self.queue.pop()
    }

    /// Puts a request that was popped back to the front of its line.
    pub fn push_front(&mut self, waiting: WaitingRequest) {
        let (team, weight, reserved) = queue_key(&waiting);
        self.queue.push_front(team, weight, reserved, waiting);
    }

    /// Lets a returning chat wait for its engine.
    pub fn add_affinity_waiter(&mut self, affinity_waiter: AffinityWaiter) {
        self.affinity_waiters.push(affinity_waiter);
    }

    /// Returns the chat at `position` among those that wait for their engines.
    pub fn affinity_waiter(&self, position: usize) -> Option<&AffinityWaiter> {
        self.affinity_waiters.get(position)
    }

    /// Takes out the chat at `position`.
    ///
    /// # Panics
    ///
    /// No chat waits at `position`.
    pub fn take_affinity_waiter(&mut self, position: usize) -> WaitingRequest {
        self.affinity_waiters.remove(position).waiting
    }

    /// Returns how many chats wait for `engine`.
    pub fn affinity_waiters_for(&self, engine: Tag) -> usize {
        self.affinity_waiters
            .iter()
            .filter(|affinity_waiter| affinity_waiter.engine == engine)
            .count()
    }

    /// Forgets the request `id`.
    pub fn remove(&mut self, id: PermitId) {
        self.queue.extract(|waiting| waiting.request.id == id);
        self.affinity_waiters.retain(|affinity_waiter| affinity_waiter.waiting.request.id != id);
    }

    /// Takes the queued requests out whose time is over.
    pub fn take_expired(&mut self, now: Instant) -> Vec<WaitingRequest> {
        self.queue.extract(|waiting| waiting.until <= now)
    }

    /// Notes for how long a permit was held.
    pub fn note_holding_time(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        let old = if self.mean_holding_time == 0.0 { held } else { self.mean_holding_time };
        self.mean_holding_time = old + HOLDING_TIME_SMOOTHING * (held - old);
    }

    /// Returns how long the request at `position` in line is expected to wait where `slots` requests
    /// run at once, in seconds.
    pub fn expected_wait(&self, position: usize, slots: u32) -> f64 {
        self.mean_holding_time * position as f64 / f64::from(slots.max(1))
    }
}

fn queue_key(waiting: &WaitingRequest) -> (Tag, u32, bool) {
    (waiting.request.team, waiting.policy.weight, waiting.policy.reserved)
}
