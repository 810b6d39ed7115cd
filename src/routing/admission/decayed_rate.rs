//! A rate of events with exponential decay.

use std::time::{Duration, Instant};

/// Time constant of the decay. A surge of a team counts with 0.63 of its rate after this time, which is about two
/// exchanges; a shorter one would take random bursts for surges.
pub(super) const DECAY_TIME: Duration = Duration::from_millis(500);

/// Decaying rate, in events per second.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayedRate {
    rate: f64,
    at: Instant,
}

impl DecayedRate {
    /// Returns a rate of zero.
    pub(super) fn new(now: Instant) -> DecayedRate {
        DecayedRate { rate: 0.0, at: now }
    }

    /// Counts one event.
    pub(super) fn note(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / DECAY_TIME.as_secs_f64();
        self.at = now;
    }

    /// Returns the rate.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.rate * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
