//! A rate that is averaged over a long time while it is steady, and follows a change at once.

use std::time::{Duration, Instant};

use super::decayed_rate::DECAY_TIME;

/// Longest time constant of the average. The rate of a team with few requests per second is then known well enough not
/// to exceed the level by chance.
const STEADY_TIME: Duration = Duration::from_secs(2);

/// Number of standard deviations by which a rate must differ from its average to count as changed.
const CHANGE_DEVIATIONS: f64 = 3.0;

/// Smoothed rate, in events per second.
#[derive(Debug, Clone, Copy)]
pub(super) struct SmoothedRate {
    mean: f64,
    changed_at: Instant,
    at: Instant,
}

impl SmoothedRate {
    /// Returns a rate that is `rate` now.
    pub(super) fn new(now: Instant, rate: f64) -> SmoothedRate {
        SmoothedRate { mean: rate, changed_at: now, at: now }
    }

    /// Records that the sum of the instances' decayed rates is `rate` now.
    pub(super) fn note(&mut self, now: Instant, rate: f64) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        if (rate - self.mean).abs() > CHANGE_DEVIATIONS * deviation(self.mean.max(rate), DECAY_TIME)
        {
            (self.mean, self.changed_at) = (rate, now);
            return;
        }
        let weight = 1.0 - (-elapsed / self.time_constant().as_secs_f64()).exp();
        self.mean += (rate - self.mean) * weight;
    }

    /// Returns the rate.
    pub(super) fn rate(&self) -> f64 {
        self.mean
    }

    /// Returns the standard deviation of the rate if its events are independent.
    pub(super) fn deviation(&self) -> f64 {
        deviation(self.mean, self.time_constant())
    }

    fn time_constant(&self) -> Duration {
        let steady_for = self.at.saturating_duration_since(self.changed_at);
        (DECAY_TIME + steady_for / 2).min(STEADY_TIME)
    }
}

/// Returns the standard deviation of an exponential average of independent events with that rate.
fn deviation(rate: f64, time_constant: Duration) -> f64 {
    (rate / (2.0 * time_constant.as_secs_f64())).sqrt()
}
