//! Picks servers for requests that share a prompt, and the server from which the prompt's KV cache is fetched.
//!
//! A prompt that many requests share goes to one engine until that has its part of the mean load, then to the next in
//! the rendezvous order of the prompt, so that few engines have to process it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Picker, Tracked, placement::Placement};
use crate::{
    names::ServiceName,
    routing::{AdmissionControl, BackendServer, PickRequest, Picked, load::target_load},
    zone::rendezvous,
};

/// Requests in flight above the scaled mean that an engine may have before prompts spill: the mean of a small fleet
/// changes by as much from one moment to the next.
const BOUND_SLACK: f64 = 3.0;

/// Mean load, as a share of the limit, above which capacity is scarce and all instances keep to their allotments
/// at every server: where servers of evacuated zones count in the bound, random variation alone would take the load of
/// the others over it.
const SCARCE_SHARE: f64 = 0.6;

/// Position between the mean and the limit of the load that all instances target together while capacity is
/// scarce.
const SCARCE_TARGET_SHARE: f64 = 0.3;

/// Number of servers, drawn per request, from which the least loaded is picked if capacity is scarce and this instance
/// has no allotment left: few enough that the instances do not all pick the same server, and different ones for each
/// request of a popular prompt.
const SCARCE_CHOICES: usize = 8;

impl Picker {
    /// Picks the first server in the order of a prompt that keeps it and has headroom and a free slot, or else headroom
    /// and an acceptable wait. If there is none, picks the one with the most headroom, preferably with a free slot, or a
    /// lightly loaded one while capacity is scarce.
    pub(super) fn by_affinity(
        &self,
        now: Instant,
        key: u64,
        request: &PickRequest<'_>,
        pool: &[&Tracked],
        fallback_load: f64,
    ) -> Option<Picked> {
        let loads: Vec<f64> = pool.iter().map(|t| t.load.estimate(now, fallback_load)).collect();
        let bound = self.limit(self.mean_load(now, request.service, &loads));
        let Placement { order, key: placement_key } = self.placement(key, request, pool);
        let keeps = |i: usize| pool[i].weight.keeps(placement_key, pool[i].server.stable_tag());
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let is_scarce = mean > SCARCE_SHARE * bound;
        let scarce_target =
            if is_scarce { mean + (bound - mean) * SCARCE_TARGET_SHARE } else { 0.0 };
        let target = target_load(bound).max(scarce_target);
        let first_crowded =
            is_scarce || order.first().is_some_and(|&i| pool[i].load.is_crowded(now));
        let headroom = |&i: &usize| {
            let (load, phase) = (&pool[i].load, self.phase(pool[i].server.stable_tag()));
            let crowded = first_crowded || load.is_crowded(now);
            let allotment =
                if crowded { load.allotment(now, target, self.position, phase) } else { None };
            allotment.unwrap_or_else(|| load.headroom(now, bound, fallback_load))
        };
        let headrooms: Vec<f64> = order.iter().map(headroom).collect();
        let waits: Vec<Duration> =
            order.iter().map(|&i| self.wait(now, pool[i], loads[i])).collect();
        let admission = self.admission.get(request.service);
        let max_wait = AdmissionControl::max_wait(request.target);
        let ordered = || order.iter().enumerate();
        let nearly_full =
            admission.is_some_and(|a| a.is_nearly_full(now, self.slots_of(now, request.service)));
        let is_free = |&(at, &i): &(usize, &usize)| {
            let has_slot = !nearly_full || self.has_allotted_slot(now, pool[i]);
            let is_free = headrooms[at] > 0.0 && waits[at].is_zero() && !has_queue(now, pool[i]);
            is_free && has_slot && keeps(i)
        };
        let is_free_in_time =
            |&(at, _): &(usize, &usize)| headrooms[at] > 0.0 && waits[at] <= max_wait;
        let overflow = || {
            if is_scarce {
                let from = usize::try_from(request.spread % order.len().max(1) as u64).unwrap_or(0);
                let choices = ordered().cycle().skip(from).take(SCARCE_CHOICES.min(order.len()));
                return choices.min_by(|a, b| loads[*a.1].total_cmp(&loads[*b.1]));
            }
            // Without a free slot the request may be rejected for its wait, though others are free.
            let has_slot = |at: usize| waits[at].is_zero();
            let by_headroom = |a: usize, b: usize| headrooms[a].total_cmp(&headrooms[b]);
            ordered().max_by(|a, b| has_slot(a.0).cmp(&has_slot(b.0)).then(by_headroom(a.0, b.0)))
        };
        let (at, &i) = ordered()
            .find(is_free)
            .or_else(|| ordered().find(is_free_in_time))
            .or_else(overflow)?;
        let server = Arc::clone(&pool[i].server);
        let holder = self.cache_holder(now, key, request, &server);
        let cold = pool[i].is_cold(now);
        let considered = pool.len();
        let (load, wait) = (loads[i], waits[at]);
        let counts_age = self.usable_counts_age(now);
        Some(Picked { server, rank: at, load, counts_age, bound, wait, cold, considered, holder })
    }

    /// Returns the mean load of a service's servers, including those that may not be used now; `loads` are the loads of
    /// the candidates among them, if the counts of the other instances are not known.
    fn mean_load(&self, now: Instant, service: &ServiceName, loads: &[f64]) -> f64 {
        if let Some(mean) = self.by_service.get(service).and_then(|servers| servers.mean(now)) {
            return mean;
        }
        let counted = loads.len() + self.evacuated_of(service);
        loads.iter().sum::<f64>() / counted.max(1) as f64
    }

    /// Returns the load that a server may have in a service with a mean load of `mean`.
    pub(super) fn limit(&self, mean: f64) -> f64 {
        self.load_bound * mean + BOUND_SLACK
    }

    /// Returns the server that holds the KV cache of the prompt `key` if `picked` does not: the first other one in the
    /// rendezvous order, including leaving servers. It is the server that got the prompt before a newer one was added,
    /// before it started to leave, or from which the request spilled.
    fn cache_holder(
        &self,
        now: Instant,
        key: u64,
        request: &PickRequest<'_>,
        picked: &BackendServer,
    ) -> Option<Arc<BackendServer>> {
        // A server at which this request has failed may have stopped, and fetching from it would time out; a server
        // that requests a backoff must not be asked for its cache either.
        let is_usable = |t: &&Tracked| {
            t.server.service == picked.service
                && t.notice.backoff_left(now).is_none()
                && !request.tried.contains(&t.server.id)
                && t.server.id != picked.id
                && self.is_in_home_region(&t.server, request)
                && self.shares_cache(&t.server, picked)
                && !t.health.is_paused(now)
        };
        let candidates = self.candidates(request, 0);
        let mut usable = candidates.into_iter().filter(is_usable);
        if !self.is_small(&picked.service) {
            return usable.next().map(|t| Arc::clone(&t.server));
        }
        let score = |t: &Tracked| rendezvous::score(key, t.server.stable_tag(), 1.0);
        let best = usable.max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|t| Arc::clone(&t.server))
    }
}

/// Returns whether a server that does not report its number of slots has queued requests.
fn has_queue(now: Instant, tracked: &Tracked) -> bool {
    tracked.server.slots.is_none() && tracked.load.waiting(now) > 0
}
