//! Estimate of the time for which leases of slots are held.

use std::time::Duration;

/// Weight of the newest lease in the moving means, which follow a change within a few tens of leases.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// Number of mean deviations above the mean within which nearly all leases end.
const DEVIATIONS: f64 = 6.0;

/// Moving mean and mean deviation of the time from the grant of a lease to its release.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlotTime {
    /// Seconds; `None` until the first lease has been released.
    mean: Option<f64>,
    /// Seconds.
    deviation: f64,
}

impl SlotTime {
    /// Records the time for which a lease was held.
    pub(super) fn note(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        let mean = self.mean.unwrap_or(held);
        self.deviation += ((held - mean).abs() - self.deviation) * MEAN_WEIGHT;
        self.mean = Some(mean + (held - mean) * MEAN_WEIGHT);
    }

    /// Returns the mean; `None` until the first lease has been released.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.mean.map(Duration::from_secs_f64)
    }

    /// Returns by how much nearly all leases exceed the mean at most.
    pub(super) fn excess(&self) -> Duration {
        Duration::from_secs_f64(self.deviation * DEVIATIONS)
    }
}
