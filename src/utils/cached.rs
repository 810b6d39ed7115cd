//! A cached value that is computed again once it is too old.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use super::sync::lock;

/// A value and the time at which it was computed.
#[derive(Debug)]
pub struct Cached<T> {
    max_age: Duration,
    cached: Mutex<Option<(Instant, Arc<T>)>>,
}

impl<T> Cached<T> {
    /// Returns an empty cache whose values are valid for `max_age`.
    pub fn new(max_age: Duration) -> Cached<T> {
        Cached { max_age, cached: Mutex::default() }
    }

    /// Returns the cached value, or the one that `compute` returns if the cached one is too old. Concurrent callers
    /// wait for that value instead of computing it themselves.
    pub fn get(&self, now: Instant, compute: impl FnOnce() -> T) -> Arc<T> {
        let mut cached = lock(&self.cached);
        if let Some((computed_at, value)) = &*cached
            && now.saturating_duration_since(*computed_at) < self.max_age
        {
            return Arc::clone(value);
        }
        let value = Arc::new(compute());
        *cached = Some((now, Arc::clone(&value)));
        value
    }
}
