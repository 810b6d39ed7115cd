//! Mean and spread of durations that are measured one by one: times to a response head, and times for which leases of
//! slots are held.
//!
//! It includes whatever the durations include. `service_time` serves another purpose: it removes waits from a mean that
//! the instances report.

use std::time::Duration;

/// Weight of the newest duration, with which the mean follows a change within a few tens of durations.
const WEIGHT: f64 = 1.0 / 32.0;

/// Number of mean deviations above the mean within which nearly all durations are.
const DEVIATIONS: f64 = 6.0;

/// Exponentially weighted moving mean and mean deviation of durations.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MovingMean {
    /// Seconds; `None` until the first duration was recorded.
    mean: Option<f64>,
    /// Seconds.
    deviation: f64,
}

impl MovingMean {
    /// Records a duration.
    pub(super) fn note(&mut self, value: Duration) {
        let value = value.as_secs_f64();
        let mean = self.mean.unwrap_or(value);
        self.deviation += ((value - mean).abs() - self.deviation) * WEIGHT;
        self.mean = Some(mean + (value - mean) * WEIGHT);
    }

    /// Returns the mean; `None` until the first duration was recorded.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.mean.map(Duration::from_secs_f64)
    }

    /// Returns the mean in seconds; `None` until the first duration was recorded.
    pub(super) fn seconds(&self) -> Option<f64> {
        self.mean
    }

    /// Returns by how much nearly all durations exceed the mean at most, in seconds.
    pub(super) fn excess_seconds(&self) -> f64 {
        DEVIATIONS * self.deviation
    }
}
