//! Demand for shared prompts over all instances, from which follows among how many servers the requests with one prompt
//! are spread.
//!
//! An instance of a large fleet has hardly one request with a popular prompt in flight. If each sent its next one to the
//! first server that had room at the last exchange, all of them would send it to the same server, and none would know.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Time in which a demand that is no longer observed falls to half: a few exchanges, so that the instances do not return
/// to a single server together.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Requests in flight from which the demand for a prompt is passed on: fewer never exceed what one server has room for.
const POPULAR_MIN: u32 = 4;

/// Largest number of prompts whose demand is passed on, so that replies stay small.
const POPULAR_MAX: usize = 64;

/// A 32-bit hash of a shared prompt, used in messages between instances. Two prompts with the same tag are taken for
/// one, and are spread more widely than necessary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptTag(pub u32);

impl PromptTag {
    /// Returns the tag of a prompt with the hash `key`.
    pub fn of(key: u64) -> PromptTag {
        PromptTag((key ^ (key >> 32)) as u32)
    }
}

/// Requests in flight with one prompt.
pub type PromptCount = (PromptTag, u32);

/// Demand for a prompt over all instances.
#[derive(Debug, Clone, Copy)]
struct Demand {
    requests: f64,
    at: Instant,
}

impl Demand {
    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.requests * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// Demand for shared prompts as this instance knows it.
#[derive(Debug, Default)]
pub struct PromptDemand {
    /// Requests in flight of this instance.
    own: IndexMap<PromptTag, u32>,
    /// Demand of all instances, for popular prompts.
    fleet: IndexMap<PromptTag, Demand>,
    /// Requests in flight with popular prompts at the last exchange.
    last_counts: Option<IndexMap<PromptTag, u32>>,
}

impl PromptDemand {
    /// Counts a request of this instance that is sent.
    pub fn start_request(&mut self, prompt: PromptTag) {
        *self.own.entry(prompt).or_default() += 1;
    }

    /// Counts a request of this instance that has ended.
    pub fn finish_request(&mut self, prompt: PromptTag) {
        let Some(count) = self.own.get_mut(&prompt) else { return };
        *count -= 1;
        if *count == 0 {
            self.own.swap_remove(&prompt);
        }
    }

    /// Returns the requests in flight of this instance, to report them to the other instances.
    pub fn own_counts(&self) -> Vec<PromptCount> {
        self.own.iter().map(|(&prompt, &count)| (prompt, count)).collect()
    }

    /// Sets the requests in flight of all instances with popular prompts. A demand that has grown is expected to grow as
    /// much until the next exchange; one that is no longer observed decays.
    pub fn set_fleet_counts(&mut self, now: Instant, counts: &[PromptCount]) {
        for demand in self.fleet.values_mut() {
            *demand = Demand { requests: demand.decayed(now), at: now };
        }
        for &(prompt, count) in counts {
            let requests = f64::from(count.saturating_add(self.growth(prompt, count)));
            let demand = self.fleet.entry(prompt).or_insert(Demand { requests, at: now });
            demand.requests = demand.requests.max(requests);
        }
        self.fleet.retain(|_, demand| demand.requests >= f64::from(POPULAR_MIN));
        self.last_counts = Some(counts.iter().copied().collect());
    }

    /// Returns by how many requests a prompt has more in flight than at the last exchange.
    fn growth(&self, prompt: PromptTag, count: u32) -> u32 {
        let Some(last) = &self.last_counts else { return 0 };
        // Less than what is passed on is not known.
        count.saturating_sub(last.get(&prompt).copied().unwrap_or(POPULAR_MIN))
    }

    /// Estimates the requests in flight of all instances with a prompt, at least those of this instance.
    pub fn estimate(&self, prompt: PromptTag) -> f64 {
        let own = self.own.get(&prompt).copied().unwrap_or(0);
        self.fleet.get(&prompt).map_or(0.0, |demand| demand.requests).max(f64::from(own))
    }
}

/// Returns the popular ones of the prompts in `counts`, which may list a prompt several times, the most popular first.
pub fn popular_prompts(counts: impl Iterator<Item = PromptCount>) -> Vec<PromptCount> {
    let mut sums: IndexMap<PromptTag, u32> = IndexMap::new();
    for (prompt, count) in counts {
        let sum = sums.entry(prompt).or_default();
        *sum = sum.saturating_add(count);
    }
    let mut popular: Vec<PromptCount> =
        sums.into_iter().filter(|&(_, count)| count >= POPULAR_MIN).collect();
    popular.sort_by_key(|&(prompt, count)| (std::cmp::Reverse(count), prompt));
    popular.truncate(POPULAR_MAX);
    popular
}
