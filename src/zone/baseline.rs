//! Baseline placements for measurements: each entry chooses engines alone, from its own observations.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    configs::fleet::service::Placement,
    names::Tag,
    zone::{
        engine::EngineSpec,
        load_view::bound_of,
        rendezvous::{ChatKey, ranked},
    },
};

/// Age at which a reported load no longer counts.
const REPORT_AGE_MAX: Duration = Duration::from_secs(10);

/// One entry's own observations of a service's engines.
#[derive(Debug, Default)]
pub struct Baseline {
    next: usize,
    in_flight: HashMap<Tag, u32>,
    reported: HashMap<Tag, (u32, Instant)>,
}

impl Baseline {
    /// Chooses an engine by `placement`; `None` if all are leaving or in `avoid`.
    pub fn choose(
        &mut self,
        now: Instant,
        placement: Placement,
        engines: &[EngineSpec],
        chat: ChatKey,
        avoid: &[Tag],
        bound: f64,
    ) -> Option<Tag> {
        let usable: Vec<EngineSpec> =
            engines.iter().filter(|e| !e.leaving && !avoid.contains(&e.tag)).copied().collect();
        if usable.is_empty() {
            return None;
        }
        let order = || ranked(chat.0, usable.iter().map(|e| (e.tag, e.weight)));
        let at = match placement {
            Placement::Permit | Placement::RoundRobin => self.next_index(usable.len()),
            Placement::LeastReported => self.least_reported(now, &usable),
            Placement::Rendezvous => order()[0],
            Placement::BoundedAlone => self.first_under_bound(&usable, &order(), bound),
        };
        Some(usable[at].tag)
    }

    fn next_index(&mut self, count: usize) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next % count
    }

    fn least_reported(&mut self, now: Instant, usable: &[EngineSpec]) -> usize {
        let first = self.next_index(usable.len());
        let load = |tag: Tag| match self.reported.get(&tag) {
            Some((load, at)) if now.duration_since(*at) < REPORT_AGE_MAX => *load,
            _ => 0,
        };
        // The starting point rotates, so that ties do not send everything to one engine after a new report.
        let order = (0..usable.len()).map(|i| (first + i) % usable.len());
        order.min_by_key(|&i| load(usable[i].tag)).unwrap_or(first)
    }

    fn first_under_bound(&self, usable: &[EngineSpec], order: &[usize], bound: f64) -> usize {
        let load = |at: usize| self.in_flight.get(&usable[at].tag).copied().unwrap_or(0);
        let total: u32 = (0..usable.len()).map(load).sum();
        let max = bound_of(bound, total + 1, usable.len() as u32);
        order.iter().copied().find(|&at| load(at) < max).unwrap_or(order[0])
    }

    /// Notes that a request is sent to `engine`.
    pub fn start_request(&mut self, engine: Tag) {
        *self.in_flight.entry(engine).or_default() += 1;
    }

    /// Notes that a request at `engine` finished, and the load that the engine reported.
    pub fn finish_request(&mut self, now: Instant, engine: Tag, load: Option<u32>) {
        if let Some(count) = self.in_flight.get_mut(&engine) {
            *count = count.saturating_sub(1);
        }
        if let Some(load) = load {
            self.reported.insert(engine, (load, now));
        }
    }
}
