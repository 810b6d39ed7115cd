//! Times of requests in bounded memory.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time that is told apart, in milliseconds: an hour.
const DURATION_MAX_MS: u64 = 3_600_000;

/// Significant digits kept.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times of a group of requests.
#[derive(Debug, Default)]
pub struct Durations {
    /// Made with the first time: most groups of a long table have few.
    histogram: Option<Histogram<u32>>,
    count: u64,
}

/// Percentiles, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Percentiles {
    /// Half of the times are at most this.
    pub p50_ms: u64,
    /// Nine in ten are.
    pub p90_ms: u64,
    /// Ninety-nine in a hundred are.
    pub p99_ms: u64,
}

impl Durations {
    /// Counts a request, with its time if it is known.
    pub fn record(&mut self, took_ms: Option<f64>) {
        self.count += 1;
        let Some(duration_ms) =
            took_ms.filter(|duration_ms| duration_ms.is_finite() && *duration_ms >= 0.0)
        else {
            return;
        };
        if self.histogram.is_none() {
            // The bounds are constants that the library takes, so there is always one.
            self.histogram =
                Histogram::new_with_bounds(1, DURATION_MAX_MS, SIGNIFICANT_DIGITS).ok();
        }
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record((duration_ms.round() as u64).max(1));
        }
    }

    /// Returns the number of requests.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the percentiles; `None` where no time is known.
    pub fn percentiles(&self) -> Option<Percentiles> {
        let histogram = self.histogram.as_ref().filter(|histogram| !histogram.is_empty())?;
        let at = |quantile| histogram.value_at_quantile(quantile);
        Some(Percentiles { p50_ms: at(0.5), p90_ms: at(0.9), p99_ms: at(0.99) })
    }
}
