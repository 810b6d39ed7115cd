//! A value that is worked out anew only now and then, whoever asks for it.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use super::sync::lock;

/// A value and when it was worked out.
#[derive(Debug)]
pub struct Cached<T> {
    longest: Duration,
    kept: Mutex<Option<(Instant, Arc<T>)>>,
}

impl<T> Cached<T> {
    /// Returns a value that is told again for up to `longest`.
    pub fn new(longest: Duration) -> Cached<T> {
        Cached { longest, kept: Mutex::default() }
    }

    /// Returns the value, worked out by `find` where none is recent enough. Those that ask meanwhile wait for it.
    pub fn get(&self, now: Instant, find: impl FnOnce() -> T) -> Arc<T> {
        let mut kept = lock(&self.kept);
        if let Some((at, value)) = &*kept
            && now.saturating_duration_since(*at) < self.longest
        {
            return Arc::clone(value);
        }
        let value = Arc::new(find());
        *kept = Some((now, Arc::clone(&value)));
        value
    }
}
