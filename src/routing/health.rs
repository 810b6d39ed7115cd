//! Evidence from requests on whether a backend server works.

use std::time::{Duration, Instant};

/// First pause after a server could not be reached; doubled at each further time.
const PAUSE_FIRST: Duration = Duration::from_millis(500);

/// Longest pause: a server that is back is used again soon.
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// Time in which evidence loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Requests without an answer, each of them silent for longer than nearly all others are, after which a
/// server counts as silent unless it has answered meanwhile: one may be a long prompt.
const SILENT_MIN: f64 = 1.5;

/// Time after an answer within which others' word that a server is silent is not taken.
const HEARD_LATELY: Duration = Duration::from_millis(500);

/// How long others' word holds: two exchanges, so that one that is lost changes nothing.
const TOLD_LIFE: Duration = Duration::from_millis(600);

/// Weight of failures below which a server is not judged by its share of failures.
const FAILURES_MIN: f64 = 1.5;

/// Decaying counts of good and bad answers, and pauses after failed connections.
#[derive(Debug, Clone, Default)]
pub struct Health {
    successes: f64,
    failures: f64,
    at: Option<Instant>,
    /// Weight of requests that wait in vain.
    stalls: f64,
    heard: Option<Instant>,
    pause: Duration,
    paused_until: Option<Instant>,
    /// Until when others' word that the server is silent holds.
    told_until: Option<Instant>,
}

impl Health {
    /// Notes an answer, or an event of a stream.
    pub fn note_success(&mut self, now: Instant) {
        self.decay(now);
        self.successes += 1.0;
        self.stalls = 0.0;
        self.heard = Some(now);
        self.pause = Duration::ZERO;
        self.paused_until = None;
        self.told_until = None;
    }

    /// Notes a failure of a request that reached the server.
    pub fn note_failure(&mut self, now: Instant) {
        self.decay(now);
        self.failures += 1.0;
    }

    /// Notes that no connection could be made, or that it went silent.
    pub fn note_unreachable(&mut self, now: Instant) {
        self.note_failure(now);
        self.pause_from(now);
    }

    /// Pauses the server, longer each time.
    fn pause_from(&mut self, now: Instant) {
        // Failures of requests sent before the pause began say nothing new.
        if self.is_found_silent(now) {
            return;
        }
        self.pause = (self.pause * 2).clamp(PAUSE_FIRST, PAUSE_MAX);
        self.paused_until = Some(now + self.pause);
    }

    /// Notes a request that has waited for a byte for longer than nearly all do; returns whether the server
    /// has come to count as silent.
    pub fn note_stall(&mut self, now: Instant) -> bool {
        self.note_failure(now);
        self.stalls += 1.0;
        let was_found = self.is_found_silent(now);
        if self.stalls >= SILENT_MIN {
            self.pause_from(now);
        }
        !was_found && self.is_found_silent(now)
    }

    /// Notes that a request that counted as waiting in vain was answered after all.
    pub fn clear_stall(&mut self, now: Instant) {
        self.note_success(now);
        self.failures = (self.failures - 1.0).max(0.0);
    }

    /// Takes the word of other instances that the server is silent.
    pub fn note_reported_unresponsive(&mut self, now: Instant) {
        let heard = |at: Instant| now.saturating_duration_since(at) < HEARD_LATELY;
        if !self.heard.is_some_and(heard) {
            self.told_until = Some(now + TOLD_LIFE);
        }
    }

    /// Notes a request sent: the first one after a pause is a trial, and no other goes out until it is
    /// answered or the next pause is over.
    pub fn start_request(&mut self, now: Instant) {
        if self.is_on_trial(now) {
            self.paused_until = Some(now + self.pause);
        }
    }

    /// Returns whether the server was paused and has not answered since.
    fn is_on_trial(&self, now: Instant) -> bool {
        !self.pause.is_zero() && !self.is_found_silent(now)
    }

    /// Returns whether this instance itself found the server silent or unreachable, and has it paused.
    pub fn is_found_silent(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether nothing is sent for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.is_found_silent(now) || self.told_until.is_some_and(|until| now < until)
    }

    /// Returns the share of failures, and whether there are enough to judge by.
    pub fn failure_share(&self, now: Instant) -> (f64, bool) {
        let weight = self.weight(now);
        let (successes, failures) = (self.successes * weight, self.failures * weight);
        (failures / (successes + failures + 1.0), failures >= FAILURES_MIN)
    }

    fn weight(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 1.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn decay(&mut self, now: Instant) {
        let weight = self.weight(now);
        self.successes *= weight;
        self.failures *= weight;
        self.stalls *= weight;
        self.at = Some(now);
    }
}
