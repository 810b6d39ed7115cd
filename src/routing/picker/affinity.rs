//! Requests that share a prompt: which server in their rank, and from where the prompt's memory is fetched.
//!
//! Answers the load of one prompt that many ask for at once: it goes to one engine until that has its part of the mean,
//! and then on in its own rank, so that it is read by few.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Picker, Tracked};
use crate::{
    names::ServiceName,
    routing::{
        BackendServer, PickRequest, Picked,
        load::{LoadBounds, target_load},
    },
    zone::rendezvous,
};

/// Requests in flight beyond the scaled mean that an engine may have before a chat spills: small
/// fleets' means move by as much from one moment to the next.
const BOUND_SLACK: f64 = 3.0;

/// Part of the way from the mean to the operator's bound at which chats spill; the rest is for
/// requests of other instances that are on their way.
const BOUND_SHARE: f64 = 0.6;

/// Part of the load at which prompts spill, from which servers have so much on the mean that all keep to their part of each:
/// where the servers of emptied zones count in the bound, chance alone takes the others beyond it.
const SCARCE: f64 = 0.7;

/// Part of the way from that mean to the load at which prompts spill, which all instances aim at together then.
const SCARCE_AIM: f64 = 0.5;

/// Servers, drawn for each request, of which the least loaded takes it then where this instance has no part left: few enough
/// that not all instances turn to the same one, and others for each request of a prompt that many ask for.
const SCARCE_CHOICES: usize = 8;

impl Picker {
    /// Picks the first server in the rank of a prompt that has room, else the one where it waits least beyond its bound.
    pub(super) fn by_affinity(
        &self,
        now: Instant,
        key: u64,
        request: &PickRequest<'_>,
        pool: &[&Tracked],
        usual: f64,
    ) -> Option<Picked> {
        let loads: Vec<f64> = pool.iter().map(|t| t.load.estimate(now, usual)).collect();
        let bound = self.bounds(self.mean_load(now, request.service, &loads)).spill;
        let rank = if self.is_small(request.service) {
            rendezvous::ranked(key, pool.iter().map(|t| (t.server.place(), 1.0)))
        } else {
            // They come in their rank.
            (0..pool.len()).collect()
        };
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let is_scarce = mean > SCARCE * bound;
        let scarce_aim = if is_scarce { mean + (bound - mean) * SCARCE_AIM } else { 0.0 };
        let aim = target_load(bound).max(scarce_aim);
        let home_crowded = is_scarce || rank.first().is_some_and(|&i| pool[i].load.is_crowded(now));
        let room = |&i: &usize| {
            let (load, phase) = (&pool[i].load, self.phase(pool[i].server.place()));
            let crowded = home_crowded || load.is_crowded(now);
            let allotted =
                if crowded { load.allotment(now, aim, self.position, phase) } else { None };
            allotted.unwrap_or_else(|| load.headroom(now, bound, usual))
        };
        let rooms: Vec<f64> = rank.iter().map(room).collect();
        let waits: Vec<Duration> =
            rank.iter().map(|&i| self.wait(now, pool[i], loads[i])).collect();
        let admission = self.admission.get(request.service);
        let admissible = admission.map_or(Duration::ZERO, |o| o.max_wait(now));
        let ranked = || rank.iter().enumerate();
        let filled =
            admission.is_some_and(|o| o.is_nearly_full(now, self.slots_of(now, request.service)));
        let free = |&(at, &i): &(usize, &usize)| {
            let own_place = !filled || self.has_allotted_slot(now, pool[i]);
            rooms[at] > 0.0 && waits[at].is_zero() && own_place && !is_full(now, pool[i])
        };
        let soon = |&(at, _): &(usize, &usize)| rooms[at] > 0.0 && waits[at] <= admissible;
        let most = || {
            if is_scarce {
                let from = usize::try_from(request.spread % rank.len().max(1) as u64).unwrap_or(0);
                let some = ranked().cycle().skip(from).take(SCARCE_CHOICES.min(rank.len()));
                return some.min_by(|a, b| loads[*a.1].total_cmp(&loads[*b.1]));
            }
            ranked().max_by(|a, b| rooms[a.0].total_cmp(&rooms[b.0]))
        };
        let (at, &i) = ranked().find(free).or_else(|| ranked().find(soon)).or_else(most)?;
        let server = Arc::clone(&pool[i].server);
        let holder = self.holder(now, key, request, &server);
        let cold = pool[i].is_cold(now);
        let considered = pool.len();
        let (load, wait) = (loads[i], waits[at]);
        Some(Picked { server, rank: at, load, bound, wait, cold, considered, holder })
    }

    /// Returns the mean load of a service's servers, of which those that a request looks at have `loads`.
    fn mean_load(&self, now: Instant, service: &ServiceName, loads: &[f64]) -> f64 {
        if !self.is_small(service)
            && let Some(mean) = self.by_service.get(service).and_then(|of| of.mean(now))
        {
            return mean;
        }
        let counted = loads.len() + self.evacuated_of(service);
        loads.iter().sum::<f64>() / counted.max(1) as f64
    }

    /// Returns how much load a server should have, where those of its service have `mean`.
    pub(super) fn bounds(&self, mean: f64) -> LoadBounds {
        let spill = (1.0 + (self.load_bound - 1.0) * BOUND_SHARE) * mean + BOUND_SLACK;
        LoadBounds { spill, limit: self.load_bound * mean + BOUND_SLACK }
    }

    /// Returns the server that keeps the prompt `key` if `picked` does not: the best of the key's
    /// rank beside it, leaving ones included. That is the server before a newer one took its place,
    /// before it began to leave, or from which the request spilled.
    fn holder(
        &self,
        now: Instant,
        key: u64,
        request: &PickRequest<'_>,
        picked: &BackendServer,
    ) -> Option<Arc<BackendServer>> {
        // A server at which this request has failed may be gone, and would be waited for; one that wants no requests is
        // not to be asked for memory either.
        let reachable = |t: &&Tracked| {
            t.server.service == picked.service
                && t.notice.backoff_left(now).is_none()
                && !request.tried.contains(&t.server.id)
                && t.server.id != picked.id
                && self.is_in_home_region(&t.server, request)
                && self.shares_memory(&t.server, picked)
                && !t.health.is_paused(now)
        };
        let candidates = self.candidates(request, 0);
        let mut possible = candidates.into_iter().filter(reachable);
        if !self.is_small(&picked.service) {
            return possible.next().map(|t| Arc::clone(&t.server));
        }
        let score = |t: &Tracked| rendezvous::score(key, t.server.place(), 1.0);
        let best = possible.max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|t| Arc::clone(&t.server))
    }
}

/// Returns whether requests wait at a server that does not say how many it runs at once.
fn is_full(now: Instant, tracked: &Tracked) -> bool {
    tracked.server.slots.is_none() && tracked.load.waiting(now) > 0
}
