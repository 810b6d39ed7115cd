//! Health of a backend server, as inferred from the results of requests.

use std::time::{Duration, Instant};

/// First pause after a failed connection; doubled with each further failure.
const PAUSE_FIRST: Duration = Duration::from_millis(500);

/// Longest pause, so that a server that has recovered is used again soon.
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// Time in which the recorded results lose half of their weight.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of stalled requests, without a response in between, from which a server counts as unresponsive. A single one
/// may have a long prompt.
const STALLS_MIN: f64 = 1.5;

/// Time after a response within which reports of other instances that the server is unresponsive are ignored.
const RECENT_RESPONSE: Duration = Duration::from_millis(500);

/// How long a report of other instances is valid: two exchanges, so that a lost one has no effect.
const REPORT_TTL: Duration = Duration::from_millis(600);

/// Weight of failures below which the failure share is not reliable.
const FAILURES_MIN: f64 = 1.5;

/// Decaying counts of successes and failures, and pauses after failed connections and stalls.
#[derive(Debug, Clone, Default)]
pub struct Health {
    successes: f64,
    failures: f64,
    decayed_at: Option<Instant>,
    /// Weight of stalled requests.
    stalls: f64,
    last_response: Option<Instant>,
    pause: Duration,
    paused_until: Option<Instant>,
    /// End of the validity of other instances' reports that the server is unresponsive.
    reported_until: Option<Instant>,
}

impl Health {
    /// Records a response, or an event of a stream.
    pub fn note_success(&mut self, now: Instant) {
        self.decay(now);
        self.successes += 1.0;
        self.stalls = 0.0;
        self.last_response = Some(now);
        self.pause = Duration::ZERO;
        self.paused_until = None;
        self.reported_until = None;
    }

    /// Records a failure of a request that reached the server.
    pub fn note_failure(&mut self, now: Instant) {
        self.decay(now);
        self.failures += 1.0;
    }

    /// Records that no connection could be made, or that an open one became unresponsive.
    pub fn note_unreachable(&mut self, now: Instant) {
        self.note_failure(now);
        self.start_pause(now);
    }

    /// Pauses the server for twice as long as the last time.
    fn start_pause(&mut self, now: Instant) {
        // Failures of requests that were sent before the current pause are not new evidence.
        if self.is_paused_locally(now) {
            return;
        }
        self.pause = (self.pause * 2).clamp(PAUSE_FIRST, PAUSE_MAX);
        self.paused_until = Some(now + self.pause);
    }

    /// Records a request that has received no byte for longer than nearly all requests do; returns whether the server
    /// counts as unresponsive from now on.
    pub fn note_stall(&mut self, now: Instant) -> bool {
        self.note_failure(now);
        self.stalls += 1.0;
        let was_paused = self.is_paused_locally(now);
        if self.stalls >= STALLS_MIN {
            self.start_pause(now);
        }
        !was_paused && self.is_paused_locally(now)
    }

    /// Records that a request that counted as stalled has received a response after all.
    pub fn clear_stall(&mut self, now: Instant) {
        self.note_success(now);
        self.failures = (self.failures - 1.0).max(0.0);
    }

    /// Records the report of other instances that the server is unresponsive.
    pub fn note_reported_unresponsive(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RECENT_RESPONSE;
        if !self.last_response.is_some_and(is_recent) {
            self.reported_until = Some(now + REPORT_TTL);
        }
    }

    /// Records a request sent. The first one after a pause is a trial: no other is sent until it succeeds or the next
    /// pause is over.
    pub fn start_request(&mut self, now: Instant) {
        if self.is_on_trial(now) {
            self.paused_until = Some(now + self.pause);
        }
    }

    /// Returns whether the server was paused and has not responded since.
    fn is_on_trial(&self, now: Instant) -> bool {
        !self.pause.is_zero() && !self.is_paused_locally(now)
    }

    /// Returns whether the server is paused because this instance itself found it unresponsive or unreachable.
    pub fn is_paused_locally(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether no requests are sent to the server for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.is_paused_locally(now) || self.reported_until.is_some_and(|until| now < until)
    }

    /// Returns the failure share, and whether there are enough failures for it to be reliable.
    pub fn failure_share(&self, now: Instant) -> (f64, bool) {
        let weight = self.weight(now);
        let (successes, failures) = (self.successes * weight, self.failures * weight);
        (failures / (successes + failures + 1.0), failures >= FAILURES_MIN)
    }

    fn weight(&self, now: Instant) -> f64 {
        let Some(at) = self.decayed_at else { return 1.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn decay(&mut self, now: Instant) {
        let weight = self.weight(now);
        self.successes *= weight;
        self.failures *= weight;
        self.stalls *= weight;
        self.decayed_at = Some(now);
    }
}
