//! A wish that one thread makes and another waits for.

use std::{
    sync::{Condvar, Mutex, PoisonError},
    time::Duration,
};

use super::sync::lock;

/// A wish that is kept until it is taken.
#[derive(Debug, Default)]
pub struct Signal {
    wished: Mutex<bool>,
    told: Condvar,
}

impl Signal {
    /// Makes the wish.
    pub fn set(&self) {
        *lock(&self.wished) = true;
        self.told.notify_all();
    }

    /// Waits for a wish, `longest` at most, and takes it.
    pub fn wait(&self, longest: Duration) {
        let wished = lock(&self.wished);
        let waited = self.told.wait_timeout_while(wished, longest, |wished| !*wished);
        *waited.unwrap_or_else(PoisonError::into_inner).0 = false;
    }
}
