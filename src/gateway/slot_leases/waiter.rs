//! The wait of a request for the broker's decision.

use std::{
    sync::{Condvar, Mutex, PoisonError},
    time::Duration,
};

use super::messages::FromBroker;
use crate::utils::sync::lock;

/// How far a request for a lease has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum WaitState {
    /// The broker has not replied.
    Sent,
    /// The broker has queued the request.
    Queued,
    /// The broker has granted or rejected the request, or is none.
    Decided(FromBroker),
    /// The broker is lost.
    Lost,
}

/// State of one request, on which the requesting thread waits.
#[derive(Debug)]
pub(super) struct Waiter {
    state: Mutex<WaitState>,
    changed: Condvar,
}

impl Waiter {
    pub(super) fn new() -> Waiter {
        Waiter { state: Mutex::new(WaitState::Sent), changed: Condvar::new() }
    }

    pub(super) fn state(&self) -> WaitState {
        lock(&self.state).clone()
    }

    /// Sets the state unless the request is decided or lost: `Queued` may arrive after the grant that follows it, since
    /// different threads of the broker send them.
    pub(super) fn set(&self, next: WaitState) {
        let mut state = lock(&self.state);
        if matches!(*state, WaitState::Sent | WaitState::Queued) {
            *state = next;
            self.changed.notify_all();
        }
    }

    /// Waits until the state is not `known`, or for `timeout`.
    pub(super) fn wait(&self, known: &WaitState, timeout: Duration) {
        let state = lock(&self.state);
        let waited = self.changed.wait_timeout_while(state, timeout, |state| state == known);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}
