//! Leaving without cutting a request: what is under way finishes, nothing new begins at the end.

use std::{
    io::{self, PipeReader, PipeWriter},
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{clock::Clock, utils::sync::lock};

/// How long new connections may still come after the signal: the platform looks at readiness once
/// a second and takes an instance out after two misses.
const STILL_FOUND: Duration = Duration::from_millis(3200);

/// When idle connections of callers are closed after the signal: by then new ones go elsewhere.
const IDLE_CLOSED: Duration = Duration::from_millis(2200);

/// Time before the kill at which the process ends by itself: room for a slow machine's last steps.
const END_BEFORE_KILL: Duration = Duration::from_millis(700);

/// Pause between two looks at the requests under way.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Pause between closing the entrance and the end, for requests that were just coming in.
const LAST_LOOK: Duration = Duration::from_millis(20);

/// The state of leaving.
#[derive(Debug)]
pub struct Drain {
    /// When the process ends, once it is leaving.
    leaving: Mutex<Option<Leaving>>,
    draining: AtomicBool,
    closed: AtomicBool,
    in_flight: AtomicUsize,
    /// Becomes readable when idle connections are to close.
    idle_close_signal: PipeReader,
    /// Dropped to make the other end readable.
    idle_open: Mutex<Option<PipeWriter>>,
}

#[derive(Debug, Clone, Copy)]
struct Leaving {
    since: Instant,
    end: Instant,
}

/// Counts a request under way for as long as it lives.
#[derive(Debug)]
pub struct RequestGuard<'d>(&'d Drain);

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drain {
    /// Returns the state of an instance that stays.
    ///
    /// # Errors
    ///
    /// No pipe can be made.
    pub fn open() -> io::Result<Drain> {
        let (idle_close_signal, idle_open) = io::pipe()?;
        Ok(Drain {
            leaving: Mutex::default(),
            draining: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            idle_close_signal,
            idle_open: Mutex::new(Some(idle_open)),
        })
    }

    /// Notes a request under way; `None` when the process is about to end.
    pub fn enter(&self) -> Option<RequestGuard<'_>> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let in_flight = RequestGuard(self);
        if self.closed.load(Ordering::SeqCst) { None } else { Some(in_flight) }
    }

    /// Begins to leave; the kill comes `grace` after `now`.
    pub fn start(&self, now: Instant, grace: Duration) {
        let end = now + grace.saturating_sub(END_BEFORE_KILL);
        *lock(&self.leaving) = Some(Leaving { since: now, end });
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the instance is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns whether a request that comes now can still be carried through: one that came while
    /// callers could not know better, or one that ends in time for sure.
    pub fn has_time_for(&self, now: Instant, longest: Duration) -> bool {
        if !self.is_draining() {
            return true;
        }
        let leaving = *lock(&self.leaving);
        leaving.is_none_or(|l| now < l.since + IDLE_CLOSED || now + longest < l.end)
    }

    /// Returns what becomes readable when idle connections are to close.
    ///
    /// # Errors
    ///
    /// It cannot be duplicated.
    pub fn idle_close_signal(&self) -> io::Result<PipeReader> {
        self.idle_close_signal.try_clone()
    }

    /// Returns the number of requests under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until nothing is under way and nothing new is to be expected, or until shortly before
    /// the kill; returns whether every request finished.
    pub fn finish(&self, clock: &Clock) -> bool {
        let Some(Leaving { since, end }) = *lock(&self.leaving) else { return true };
        let quiet_from = (since + STILL_FOUND).min(end);
        loop {
            let now = clock.now();
            if now >= since + IDLE_CLOSED {
                drop(lock(&self.idle_open).take());
            }
            if now >= end {
                return self.in_flight() == 0;
            }
            if now >= quiet_from && self.in_flight() == 0 {
                self.closed.store(true, Ordering::SeqCst);
                thread::sleep(LAST_LOOK);
                if self.in_flight() == 0 {
                    return true;
                }
                self.closed.store(false, Ordering::SeqCst);
            }
            thread::sleep(LOOK_PERIOD);
        }
    }
}
