//! Requests without a shared prompt: one of the servers that may be the least loaded.
//!
//! Answers the load of many instances that see the same counts at the same time: all going to the least loaded would
//! flood it.

use std::{sync::Arc, time::Instant};

use super::{Picker, Tracked};
use crate::{
    routing::{PickRequest, Picked},
    zone::rendezvous,
};

/// Load by which another availability zone counts as worse, for requests without affinity.
const OTHER_ZONE_LOAD: f64 = 0.9;

/// Times the usual spread of a difference of two counts (the root of twice their mean) within which
/// servers count as equally loaded: chance hardly ever makes a larger difference.
const SPREAD_TIMES: f64 = 3.0;

/// Share of requests without affinity that a server of another availability zone gets, of what one of
/// the own zone gets that is as good: bytes between zones cost, and take longer.
const OTHER_ZONE_WEIGHT: f64 = 0.1;

impl Picker {
    /// Picks one of the servers that may be the least loaded. What the others have there is of another
    /// moment and strays by about its root; if all instances went to the least by that, they would
    /// go there together.
    pub(super) fn by_load(
        &self,
        now: Instant,
        request: &PickRequest<'_>,
        pool: &[&Tracked],
    ) -> Option<Picked> {
        let others: Vec<f64> = pool.iter().map(|t| t.load.others(now).unwrap_or(0.0)).collect();
        let strays =
            SPREAD_TIMES * (2.0 * others.iter().sum::<f64>() / others.len().max(1) as f64).sqrt();
        let cost = |at: usize| {
            let away = if pool[at].server.zone == self.zone { 0.0 } else { OTHER_ZONE_LOAD };
            f64::from(pool[at].load.own()) + others[at] + away
        };
        let least = (0..pool.len()).map(cost).min_by(f64::total_cmp)?;
        let score = |&at: &usize| {
            let server = &pool[at].server;
            let weight = if server.zone == self.zone { 1.0 } else { OTHER_ZONE_WEIGHT };
            // Of its own requests an instance knows for sure.
            let own = f64::from(pool[at].load.own());
            rendezvous::score(request.spread, server.place(), weight / (1.0 + own))
        };
        let near = (0..pool.len()).filter(|&at| cost(at) <= least + strays);
        let at = near.max_by(|a, b| score(a).total_cmp(&score(b)))?;
        let load = f64::from(pool[at].load.own()) + others[at];
        let server = Arc::clone(&pool[at].server);
        let wait = self.wait(now, pool[at], load);
        let (cold, bound) = (pool[at].is_cold(now), f64::INFINITY);
        let considered = pool.len();
        Some(Picked { server, rank: 0, load, bound, wait, cold, considered, holder: None })
    }
}
