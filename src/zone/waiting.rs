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
const HOLD_SMOOTHING: f64 = 0.05;

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// What it asked for.
    pub ask: PermitRequest,
    /// Terms of its team.
    pub terms: TeamPolicy,
    /// When its time is over.
    pub until: Instant,
}

/// A returning chat that waits for the engine with its context.
#[derive(Debug, Clone)]
pub struct Patient {
    /// The request.
    pub waiting: Waiting,
    /// The engine.
    pub engine: Tag,
    /// When it goes elsewhere.
    pub leaves: Instant,
}

/// All requests that wait at one home.
#[derive(Debug, Default)]
pub struct WaitingLine {
    queue: FairQueue<Waiting>,
    patients: Vec<Patient>,
    /// Mean time for which permits are held, in seconds; zero before the first.
    mean_hold: f64,
}

impl WaitingLine {
    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.queue.len() + self.patients.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the fair queue.
    pub fn queue(&self) -> &FairQueue<Waiting> {
        &self.queue
    }

    /// Puts a request into the fair queue.
    pub fn push(&mut self, waiting: Waiting) {
        let (team, weight, reserved) = line_of(&waiting);
        self.queue.push(team, weight, reserved, waiting);
    }

    /// Takes the next request out of the fair queue.
    pub fn pop(&mut self) -> Option<Waiting> {
        self.queue.pop()
    }

    /// Puts a request that was popped back to the front of its line.
    pub fn push_front(&mut self, waiting: Waiting) {
        let (team, weight, reserved) = line_of(&waiting);
        self.queue.push_front(team, weight, reserved, waiting);
    }

    /// Lets a returning chat wait for its engine.
    pub fn push_patient(&mut self, patient: Patient) {
        self.patients.push(patient);
    }

    /// Returns the chat at `place` among those that wait for their engines.
    pub fn patient(&self, place: usize) -> Option<&Patient> {
        self.patients.get(place)
    }

    /// Takes out the chat at `place`.
    ///
    /// # Panics
    ///
    /// No chat waits at `place`.
    pub fn take_patient(&mut self, place: usize) -> Waiting {
        self.patients.remove(place).waiting
    }

    /// Returns how many chats wait for `engine`.
    pub fn patients_of(&self, engine: Tag) -> usize {
        self.patients.iter().filter(|patient| patient.engine == engine).count()
    }

    /// Forgets the request `id`.
    pub fn remove(&mut self, id: PermitId) {
        self.queue.extract(|waiting| waiting.ask.id == id);
        self.patients.retain(|patient| patient.waiting.ask.id != id);
    }

    /// Takes the queued requests out whose time is over.
    pub fn take_late(&mut self, now: Instant) -> Vec<Waiting> {
        self.queue.extract(|waiting| waiting.until <= now)
    }

    /// Notes for how long a permit was held.
    pub fn note_hold(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        let old = if self.mean_hold == 0.0 { held } else { self.mean_hold };
        self.mean_hold = old + HOLD_SMOOTHING * (held - old);
    }

    /// Returns how long the request at `place` in line is expected to wait where `slots` requests
    /// run at once, in seconds.
    pub fn expected_wait(&self, place: usize, slots: u32) -> f64 {
        self.mean_hold * place as f64 / f64::from(slots.max(1))
    }
}

fn line_of(waiting: &Waiting) -> (Tag, u32, bool) {
    (waiting.ask.team, waiting.terms.weight, waiting.terms.reserved)
}
