//! Baselines for measurements: each entry decides alone, from what it sees itself.

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

/// What one entry knows of a service's engines by itself.
#[derive(Debug, Default)]
pub struct Baseline {
    turn: usize,
    in_flight: HashMap<Tag, u32>,
    reported: HashMap<Tag, (u32, Instant)>,
}

impl Baseline {
    /// Chooses an engine by `placement`; `None` when none may take work.
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
        let rank = || ranked(chat.0, usable.iter().map(|e| (e.tag, e.weight)));
        let at = match placement {
            Placement::Permit | Placement::RoundRobin => self.next_turn(usable.len()),
            Placement::LeastReported => self.least_reported(now, &usable),
            Placement::Rendezvous => rank()[0],
            Placement::BoundedAlone => self.first_under_bound(&usable, &rank(), bound),
        };
        Some(usable[at].tag)
    }

    fn next_turn(&mut self, count: usize) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn % count
    }

    fn least_reported(&mut self, now: Instant, usable: &[EngineSpec]) -> usize {
        let first = self.next_turn(usable.len());
        let load = |tag: Tag| match self.reported.get(&tag) {
            Some((load, at)) if now.duration_since(*at) < REPORT_AGE_MAX => *load,
            _ => 0,
        };
        // Ties go around, so that a fresh report does not draw everything to one engine.
        let order = (0..usable.len()).map(|i| (first + i) % usable.len());
        order.min_by_key(|&i| load(usable[i].tag)).unwrap_or(first)
    }

    fn first_under_bound(&self, usable: &[EngineSpec], rank: &[usize], bound: f64) -> usize {
        let load = |at: usize| self.in_flight.get(&usable[at].tag).copied().unwrap_or(0);
        let total: u32 = (0..usable.len()).map(load).sum();
        let most = bound_of(bound, total + 1, usable.len() as u32);
        rank.iter().copied().find(|&at| load(at) < most).unwrap_or(rank[0])
    }

    /// Notes that a request goes to `engine`.
    pub fn start_request(&mut self, engine: Tag) {
        *self.in_flight.entry(engine).or_default() += 1;
    }

    /// Notes that a request at `engine` ended, and the load it reported.
    pub fn finish_request(&mut self, now: Instant, engine: Tag, load: Option<u32>) {
        if let Some(count) = self.in_flight.get_mut(&engine) {
            *count = count.saturating_sub(1);
        }
        if let Some(load) = load {
            self.reported.insert(engine, (load, now));
        }
    }
}
