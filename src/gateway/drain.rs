//! Draining: requests in flight finish before the process ends, and no new ones are accepted near the end.

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

/// How long new connections may still arrive after the signal: the platform checks readiness once a second and removes
/// an instance after two failed checks.
const DEREGISTRATION_TIME: Duration = Duration::from_millis(3200);

/// When idle connections of callers are closed after the signal: by then new ones are routed to other instances.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2200);

/// How long before the kill the process ends by itself: time for the last steps on a slow machine.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// How long before the process ends its last responses are due: time to send them.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Wait after new requests are rejected, for requests that were just being accepted.
const FINAL_CHECK_DELAY: Duration = Duration::from_millis(20);

/// The drain state of an instance.
#[derive(Debug)]
pub struct Drain {
    /// Start and end of the drain, once it has started.
    period: Mutex<Option<DrainPeriod>>,
    draining: AtomicBool,
    /// Whether new requests are rejected.
    closed: AtomicBool,
    in_flight: AtomicUsize,
    /// Readable once idle connections must be closed.
    idle_close_signal: PipeReader,
    /// Dropped to make `idle_close_signal` readable.
    idle_close_writer: Mutex<Option<PipeWriter>>,
}

#[derive(Debug, Clone, Copy)]
struct DrainPeriod {
    since: Instant,
    end: Instant,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct RequestGuard<'d>(&'d Drain);

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drain {
    /// Returns the state of an instance that is not draining.
    ///
    /// # Errors
    ///
    /// The pipe cannot be created.
    pub fn open() -> io::Result<Drain> {
        let (idle_close_signal, idle_close_writer) = io::pipe()?;
        Ok(Drain {
            period: Mutex::default(),
            draining: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            idle_close_signal,
            idle_close_writer: Mutex::new(Some(idle_close_writer)),
        })
    }

    /// Counts a new request; `None` when the process is about to end.
    pub fn enter(&self) -> Option<RequestGuard<'_>> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = RequestGuard(self);
        if self.closed.load(Ordering::SeqCst) { None } else { Some(guard) }
    }

    /// Starts the drain; the process is killed `grace` after `now`.
    pub fn start(&self, now: Instant, grace: Duration) {
        let end = now + grace.saturating_sub(KILL_MARGIN);
        *lock(&self.period) = Some(DrainPeriod { since: now, end });
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the drain has started.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns whether a request that arrives now may be served. While draining, that is one that callers could not yet
    /// send elsewhere, or one that ends in time even if it takes `longest`.
    pub fn has_time_for(&self, now: Instant, longest: Duration) -> bool {
        if !self.is_draining() {
            return true;
        }
        let period = *lock(&self.period);
        period.is_none_or(|p| now < p.since + IDLE_CLOSE_DELAY || now + longest < p.end)
    }

    /// Returns by when a request that arrives now must be answered: by `deadline`, and while draining before the process
    /// ends, so that its caller gets a response in place of a closed connection.
    pub fn response_due(&self, deadline: Instant) -> Instant {
        let period = *lock(&self.period);
        period.map_or(deadline, |p| deadline.min(p.end - RESPONSE_MARGIN))
    }

    /// Returns a pipe that becomes readable when idle connections must be closed.
    ///
    /// # Errors
    ///
    /// The pipe cannot be duplicated.
    pub fn idle_close_signal(&self) -> io::Result<PipeReader> {
        self.idle_close_signal.try_clone()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight and no new ones are expected, or until shortly before the kill. Returns
    /// whether every request finished.
    pub fn finish(&self, clock: &Clock) -> bool {
        let Some(DrainPeriod { since, end }) = *lock(&self.period) else { return true };
        let deregistered_at = (since + DEREGISTRATION_TIME).min(end);
        loop {
            let now = clock.now();
            if now >= since + IDLE_CLOSE_DELAY {
                drop(lock(&self.idle_close_writer).take());
            }
            if now >= end {
                return self.in_flight() == 0;
            }
            if now >= deregistered_at && self.in_flight() == 0 {
                self.closed.store(true, Ordering::SeqCst);
                thread::sleep(FINAL_CHECK_DELAY);
                if self.in_flight() == 0 {
                    return true;
                }
                self.closed.store(false, Ordering::SeqCst);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}
