//! What is measured while a load runs.

use std::time::Duration;

use serde::Serialize;

/// What came of one request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// When it was sent, from the start.
    pub at: Duration,
    /// Whether the answer came whole and is the request's own.
    pub complete: bool,
    /// Status; zero when none came.
    pub status: u16,
    /// What the router said of it.
    pub told: String,
    /// Time to the first byte of the answer's body.
    pub first_token: Option<Duration>,
    /// Whether the chat returned.
    pub returning: bool,
    /// Whether the request belongs to a surge.
    pub surge: bool,
    /// Whether it belongs to the reserved class.
    pub reserved: bool,
    /// Tokens found cached.
    pub cached: u32,
    /// Tokens that could have been found cached.
    pub reusable: u32,
}

/// Loads of a service's engines at one moment.
#[derive(Debug, Clone)]
pub struct LoadSample {
    /// When, from the start.
    pub at: Duration,
    /// Loads.
    pub loads: Vec<u32>,
}

/// Control bytes of all routers, by purpose.
#[derive(Debug, Clone, Default)]
pub struct ControlBytes {
    /// Purpose, bytes sent, bytes received.
    pub by_purpose: Vec<(String, f64, f64)>,
}

/// The figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Scenario.
    pub scenario: String,
    /// How places were chosen.
    pub placement: String,
    /// Requests sent.
    pub requests: usize,
    /// Of these, answered whole and right.
    pub complete: usize,
    /// Of these, refused as not run.
    pub refused: usize,
    /// Cached tokens of returning chats, as a share of the most any placement could have got.
    pub reuse: f64,
    /// Worst load of an engine over the mean, while the mean is at least two.
    pub skew_worst: f64,
    /// The same, 99th percentile of samples.
    pub skew_p99: f64,
    /// Most requests of an engine beyond `ceil(bound x mean)` at any arrival.
    pub over_bound: u32,
    /// Share of arrivals beyond it, in percent.
    pub over_bound_percent: f64,
    /// Arrivals beyond it, by second of the run.
    pub over_bound_by_second: Vec<u32>,
    /// Bytes a second that a router sends for control.
    pub control_sent: f64,
    /// Bytes a second that a router receives for control.
    pub control_received: f64,
    /// The same by purpose, sent.
    pub control_by_purpose: Vec<(String, f64)>,
    /// Time to the first token in milliseconds, median.
    pub first_token_p50: f64,
    /// Time to the first token in milliseconds, 95th percentile.
    pub first_token_p95: f64,
    /// The same of requests that are not part of a surge.
    pub others_p95: f64,
    /// The same of the reserved class.
    pub reserved_p95: f64,
}

/// Returns the value below which `share` of the values lie.
pub fn percentile(values: &mut [f64], share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let at = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len());
    values[at - 1]
}

/// Least mean load at which a sample's skew counts.
const MEAN_LEAST: f64 = 2.0;

/// Returns the skew of a set of samples: worst, and 99th percentile.
pub fn skew(samples: &[LoadSample]) -> (f64, f64) {
    let mut ratios = Vec::new();
    for LoadSample { loads, .. } in samples {
        let most = loads.iter().copied().max().unwrap_or(0);
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len().max(1) as f64;
        if mean >= MEAN_LEAST {
            ratios.push(f64::from(most) / mean);
        }
    }
    let p99 = percentile(&mut ratios, 0.99);
    (ratios.last().copied().unwrap_or(0.0), p99)
}

/// Returns cached tokens of returning chats over those that could have been found.
pub fn reuse(outcomes: &[Outcome]) -> f64 {
    let returning = outcomes.iter().filter(|o| o.returning && o.complete);
    let (cached, reusable) = returning.fold((0_u64, 0_u64), |(cached, reusable), o| {
        (cached + u64::from(o.cached.min(o.reusable)), reusable + u64::from(o.reusable))
    });
    cached as f64 / reusable.max(1) as f64
}

/// Returns the percentile of the times to the first token, in milliseconds.
pub fn first_token<'o>(outcomes: impl Iterator<Item = &'o Outcome>, share: f64) -> f64 {
    let mut times: Vec<f64> =
        outcomes.filter_map(|o| o.first_token).map(|time| time.as_secs_f64() * 1000.0).collect();
    percentile(&mut times, share)
}
