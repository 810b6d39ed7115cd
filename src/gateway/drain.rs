//! Leaving without cutting a request: what is under way finishes, nothing new begins at the end.

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::clock::Clock;

/// How long new connections may still come after the signal: the platform looks at readiness once
/// a second and takes an instance out after two misses.
const STILL_FOUND: Duration = Duration::from_millis(3200);

/// Time before the kill at which the process ends by itself.
const END_BEFORE_KILL: Duration = Duration::from_millis(400);

/// Pause between two looks at the requests under way.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Pause between closing the entrance and the end, for requests that were just coming in.
const LAST_LOOK: Duration = Duration::from_millis(20);

/// The state of leaving.
#[derive(Debug, Default)]
pub struct Drain {
    draining: AtomicBool,
    closed: AtomicBool,
    busy: AtomicUsize,
}

/// Counts a request under way for as long as it lives.
#[derive(Debug)]
pub struct Busy<'d>(&'d Drain);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drain {
    /// Notes a request under way; `None` when the process is about to end.
    pub fn enter(&self) -> Option<Busy<'_>> {
        self.busy.fetch_add(1, Ordering::SeqCst);
        let busy = Busy(self);
        if self.closed.load(Ordering::SeqCst) { None } else { Some(busy) }
    }

    /// Begins to leave.
    pub fn start(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the instance is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns the number of requests under way.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// Waits until nothing is under way and nothing new is to be expected, or until shortly before
    /// the kill; returns whether every request finished.
    pub fn finish(&self, clock: &Clock, since: Instant, grace: Duration) -> bool {
        let end = since + grace.saturating_sub(END_BEFORE_KILL);
        let quiet_from = (since + STILL_FOUND).min(end);
        loop {
            let now = clock.now();
            if now >= end {
                return self.busy() == 0;
            }
            if now >= quiet_from && self.busy() == 0 {
                self.closed.store(true, Ordering::SeqCst);
                thread::sleep(LAST_LOOK);
                if self.busy() == 0 {
                    return true;
                }
                self.closed.store(false, Ordering::SeqCst);
            }
            thread::sleep(LOOK_PERIOD);
        }
    }
}
