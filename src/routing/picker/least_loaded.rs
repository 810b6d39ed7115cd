//! Picks servers for requests without a shared prompt: one of those that may be the least loaded.
//!
//! Many instances see the same counts at the same time. If all of them picked the server with the lowest count, they
//! would overload it.

use std::{sync::Arc, time::Instant};

use super::{Picker, Tracked};
use crate::{
    routing::{PickRequest, Picked},
    zone::rendezvous,
};

/// Load that is added to servers of other availability zones, for requests without affinity.
const OTHER_ZONE_LOAD: f64 = 0.9;

/// Number of standard deviations of the difference of two counts (the square root of twice their mean) within which
/// servers count as equally loaded: random variation hardly ever causes a larger difference.
const DEVIATIONS: f64 = 3.0;

/// Weight of a server of another availability zone, relative to an equally loaded one of the own zone, for requests
/// without affinity: traffic between zones costs money and takes longer.
const OTHER_ZONE_WEIGHT: f64 = 0.1;

impl Picker {
    /// Picks one of the servers that may be the least loaded. The counts of the other instances are outdated and
    /// deviate by about their square root; if all instances picked the lowest one, they would pick the same server.
    pub(super) fn by_load(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        pool: &[&Tracked],
    ) -> Option<Picked> {
        let others: Vec<f64> = pool.iter().map(|t| t.load.others(now).unwrap_or(0.0)).collect();
        let tolerance =
            DEVIATIONS * (2.0 * others.iter().sum::<f64>() / others.len().max(1) as f64).sqrt();
        let cost = |at: usize| {
            let zone_cost = if pool[at].server.zone == self.zone { 0.0 } else { OTHER_ZONE_LOAD };
            f64::from(pool[at].load.own()) + others[at] + zone_cost
        };
        let least = (0..pool.len()).map(cost).min_by(f64::total_cmp)?;
        let score = |&at: &usize| {
            let server = &pool[at].server;
            let weight = if server.zone == self.zone { 1.0 } else { OTHER_ZONE_WEIGHT };
            // The instance's own count is exact.
            let own = f64::from(pool[at].load.own());
            rendezvous::score(request.spread, server.stable_tag(), weight / (1.0 + own))
        };
        let near_least = (0..pool.len()).filter(|&at| cost(at) <= least + tolerance);
        let at = near_least.max_by(|a, b| score(a).total_cmp(&score(b)))?;
        let load = f64::from(pool[at].load.own()) + others[at];
        let server = Arc::clone(&pool[at].server);
        let wait = self.wait(now, pool[at], load);
        let (cold, bound) = (pool[at].is_cold(now), f64::INFINITY);
        let (considered, counts_age) = (pool.len(), self.usable_counts_age(now));
        Some(Picked {
            server,
            rank: 0,
            load,
            counts_age,
            bound,
            wait,
            cold,
            considered,
            holder: None,
        })
    }
}
