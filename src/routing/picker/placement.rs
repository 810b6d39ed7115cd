//! Among how many servers the requests with one prompt are spread, and which of these a request is sent to.

use super::{Picker, Tracked};
use crate::{
    routing::{PickRequest, PromptTag, ServiceLoad},
    zone::rendezvous,
};

/// Number of standard deviations by which a server's load may vary without exceeding the operator's bound.
const DEVIATIONS: f64 = 3.0;

/// Least ratio of the load that each server should have and the mean over the usable ones: less cannot be reached.
const EVEN_RATIO: f64 = 1.1;

/// Least load, in requests, that a server has room for beside other prompts, for the number of servers of a prompt.
const ROOM_MIN: f64 = 0.2;

/// Returns the mean load, in requests, at which random variation by its square root hardly ever exceeds `limit`.
pub(super) fn steady_load(limit: f64) -> f64 {
    let half = DEVIATIONS / 2.0;
    ((limit + half * half).sqrt() - half).powi(2)
}

/// Where the requests with one prompt are sent.
#[derive(Debug)]
pub(super) struct Placement {
    /// Indexes of the candidates, in order of preference.
    pub(super) order: Vec<usize>,
    /// Hash by which a server keeps the request or gives it up: of the prompt, or of the request if the prompt is
    /// spread over several servers.
    pub(super) key: u64,
}

impl Picker {
    /// Has requests spread over all servers until the counts of the other instances are first known: an instance that
    /// has just started does not know for which prompts there is room.
    pub fn await_counts(&mut self) {
        self.awaits_counts = true;
    }

    /// Returns the load that each usable server of a service should have at most, by its load over all instances: with
    /// random variation it stays within the bound. If some servers are not usable, the others share the load.
    pub(super) fn placement_target(&self, load: &ServiceLoad) -> f64 {
        let mean = f64::from(load.mean);
        let servers = self.servers_of(&load.service).count();
        let usable = self.servers_of(&load.service).filter(|t| self.is_available(t)).count();
        let mean_of_usable = mean * servers as f64 / usable.max(1) as f64;
        steady_load(self.limit(mean)).max(mean_of_usable * EVEN_RATIO)
    }

    /// Returns where a request with the prompt `key` is sent among the candidates in `pool`. The first servers in the
    /// rendezvous order of a popular prompt begin at one that differs between requests.
    pub(super) fn placement(
        &self,
        key: u64,
        request: &PickRequest<'_>,
        pool: &[&Tracked],
    ) -> Placement {
        let mut order = if self.is_small(request.service) {
            rendezvous::ranked(key, pool.iter().map(|t| (t.server.stable_tag(), 1.0)))
        } else {
            // The candidates of a large service are ordered already.
            (0..pool.len()).collect()
        };
        let width = self.width(request).min(order.len());
        if width <= 1 {
            return Placement { order, key };
        }
        let first = (request.spread % width as u64) as usize;
        order[..width].rotate_left(first);
        Placement { order, key: request.spread }
    }

    /// Returns among how many servers the requests with the same prompt as this one are spread, so that none gets more
    /// than random variation allows: one unless the prompt is popular. More than there are means all.
    pub(super) fn width(&self, request: &PickRequest<'_>) -> usize {
        let Some(key) = request.affinity else { return 1 };
        if self.awaits_counts {
            return usize::MAX;
        }
        let Some(servers) = self.by_service.get(request.service) else { return 1 };
        let Some(mean) = servers.last_mean() else { return 1 };
        let demand = self.prompts.estimate(PromptTag::of(key));
        let limit = self.limit(mean);
        if demand <= limit - mean {
            return 1;
        }
        let others = (mean - demand / servers.len().max(1) as f64).max(0.0);
        let room = (steady_load(limit).max(mean) - others).max(ROOM_MIN);
        let width = (demand / room).ceil() as usize;
        // A prompt that needs most servers gets all, as few others would be left for the rest.
        if 2 * width > servers.len() { usize::MAX } else { width }
    }
}
