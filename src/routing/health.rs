//! Evidence from requests on whether a backend server works.

use std::time::{Duration, Instant};

/// First pause after a server could not be reached; doubled at each further time.
const PAUSE_FIRST: Duration = Duration::from_millis(500);

/// Longest pause: a server that is back is used again soon.
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// Time in which evidence loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of failures below which a server is not judged by its share of failures.
const FAILURES_MIN: f64 = 1.5;

/// Decaying counts of good and bad answers, and pauses after failed connections.
#[derive(Debug, Clone, Default)]
pub struct Health {
    good: f64,
    bad: f64,
    at: Option<Instant>,
    pause: Duration,
    paused_until: Option<Instant>,
}

impl Health {
    /// Notes an answer, or an event of a stream.
    pub fn good(&mut self, now: Instant) {
        self.decay(now);
        self.good += 1.0;
        self.pause = Duration::ZERO;
        self.paused_until = None;
    }

    /// Notes a failure of a request that reached the server.
    pub fn bad(&mut self, now: Instant) {
        self.decay(now);
        self.bad += 1.0;
    }

    /// Notes that no connection could be made, or that it went silent.
    pub fn unreachable(&mut self, now: Instant) {
        self.bad(now);
        // Failures of requests sent before the pause began say nothing new.
        if self.is_paused(now) {
            return;
        }
        self.pause = (self.pause * 2).clamp(PAUSE_FIRST, PAUSE_MAX);
        self.paused_until = Some(now + self.pause);
    }

    /// Returns whether nothing is sent for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns the share of failures, and whether there are enough to judge by.
    pub fn failure_share(&self, now: Instant) -> (f64, bool) {
        let weight = self.weight(now);
        let (good, bad) = (self.good * weight, self.bad * weight);
        (bad / (good + bad + 1.0), bad >= FAILURES_MIN)
    }

    fn weight(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 1.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn decay(&mut self, now: Instant) {
        let weight = self.weight(now);
        self.good *= weight;
        self.bad *= weight;
        self.at = Some(now);
    }
}
