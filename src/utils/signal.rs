//! A signal that one thread sets and another waits for.

use std::{
    sync::{Condvar, Mutex, PoisonError},
    time::Duration,
};

use super::sync::lock;

/// A signal that stays set until a waiting thread consumes it, also when it is set before the wait begins.
#[derive(Debug, Default)]
pub struct Signal {
    is_set: Mutex<bool>,
    condvar: Condvar,
}

impl Signal {
    /// Sets the signal and wakes the waiting threads.
    pub fn set(&self) {
        *lock(&self.is_set) = true;
        self.condvar.notify_all();
    }

    /// Waits until the signal is set, or for `timeout`, and resets it.
    pub fn wait(&self, timeout: Duration) {
        let is_set = lock(&self.is_set);
        let waited = self.condvar.wait_timeout_while(is_set, timeout, |is_set| !*is_set);
        *waited.unwrap_or_else(PoisonError::into_inner).0 = false;
    }
}
