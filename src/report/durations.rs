//! Durations of requests in bounded memory.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest recorded duration, an hour; longer ones count as this one.
const DURATION_MAX_MS: u64 = 3_600_000;

/// Precision of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Durations of a group of requests.
#[derive(Debug, Default)]
pub struct Durations {
    /// Allocated with the first duration: most groups of a large report have few requests.
    histogram: Option<Histogram<u32>>,
    count: u64,
}

/// Percentiles, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median duration.
    pub p50_ms: u64,
    /// 90th percentile.
    pub p90_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
}

impl Durations {
    /// Counts a request, and records its duration if that is known.
    pub fn record(&mut self, took_ms: Option<f64>) {
        self.count += 1;
        let Some(duration_ms) =
            took_ms.filter(|duration_ms| duration_ms.is_finite() && *duration_ms >= 0.0)
        else {
            return;
        };
        if self.histogram.is_none() {
            // Always succeeds, since the library accepts these constants.
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

    /// Returns the percentiles, or `None` if no duration is known.
    pub fn percentiles(&self) -> Option<Percentiles> {
        let histogram = self.histogram.as_ref().filter(|histogram| !histogram.is_empty())?;
        let at = |quantile| histogram.value_at_quantile(quantile);
        Some(Percentiles { p50_ms: at(0.5), p90_ms: at(0.9), p99_ms: at(0.99) })
    }
}
