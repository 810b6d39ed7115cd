//! The share of its prompts that a server keeps, so that its mean load stays near that of the others.
//!
//! Rendezvous hashing gives some servers twice as many prompts as others. In a large fleet the counts of all instances
//! are older than most requests, so that spilling by them moves prompts at random and does not relieve such a server.
//! Its mean load over seconds does not become outdated, and the prompts that it gives up are always the same.

use std::time::Instant;

use crate::{names::Tag, zone::rendezvous};

/// Half-life of the mean load, in seconds: several requests and exchanges.
const LOAD_HALF_LIFE_S: f64 = 4.0;

/// Exponent with which the weight follows the ratio of target and load, per second.
const GAIN_PER_S: f64 = 0.3;

/// Time by which the first observations are smoothed, in seconds; until the half-life has passed, the mean is over all
/// observations so far, and the weight follows it faster.
const FIRST_OBSERVATION_S: f64 = 0.3;

/// Longest time that one observation stands for, in seconds: more has been missed.
const OBSERVATION_MAX_S: f64 = 2.0;

/// Range of the ratio of target and load, as a load near zero says little.
const RATIO_MIN: f64 = 0.25;
const RATIO_MAX: f64 = 2.0;

/// Smallest weight, so that a server's load can still be observed.
const WEIGHT_MIN: f64 = 0.05;

/// Mean load of a server.
#[derive(Debug, Clone, Copy)]
struct MeanLoad {
    /// In requests.
    requests: f64,
    /// Time that the observations stand for, in seconds.
    observed_s: f64,
    at: Instant,
}

impl MeanLoad {
    fn note(&mut self, now: Instant, load: f64, elapsed_s: f64) {
        let decay = 0.5_f64.powf(elapsed_s / LOAD_HALF_LIFE_S);
        let part = elapsed_s / (self.observed_s + FIRST_OBSERVATION_S);
        let keep = decay.min(1.0 - part).max(0.0);
        self.requests = keep * self.requests + (1.0 - keep) * load;
        self.at = now;
    }
}

/// Share of the prompts that rank a server first which it keeps.
#[derive(Debug, Clone, Copy)]
pub struct PlacementWeight {
    /// In (0, 1].
    weight: f64,
    load: Option<MeanLoad>,
}

impl Default for PlacementWeight {
    fn default() -> PlacementWeight {
        PlacementWeight { weight: 1.0, load: None }
    }
}

impl PlacementWeight {
    /// Adjusts the weight to the load of the server at an exchange and the load that it should have, both in requests.
    pub fn observe(&mut self, now: Instant, load: f64, target: f64) {
        let Some(mean) = &mut self.load else {
            self.load = Some(MeanLoad { requests: load.min(target), observed_s: 0.0, at: now });
            return;
        };
        let elapsed_s = now.saturating_duration_since(mean.at).as_secs_f64().min(OBSERVATION_MAX_S);
        // Without requests there is nothing to observe.
        mean.observed_s += elapsed_s * load.min(1.0);
        mean.note(now, load, elapsed_s);
        let ratio = (target / mean.requests.max(f64::EPSILON)).clamp(RATIO_MIN, RATIO_MAX);
        let gain = GAIN_PER_S.max(1.0 / (mean.observed_s + FIRST_OBSERVATION_S));
        self.weight = (self.weight * ratio.powf(gain * elapsed_s)).clamp(WEIGHT_MIN, 1.0);
    }

    /// Returns whether `server`, whose weight this is, keeps the prompt or request with the hash `key`.
    pub fn keeps(&self, key: u64, server: Tag) -> bool {
        self.weight >= 1.0 || rendezvous::draw(key, server) < self.weight
    }
}
