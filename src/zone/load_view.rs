//! The loads of a shard's engines at one point in time, and the load bound that follows from them.

use std::time::Instant;

use indexmap::IndexMap;

use crate::{
    names::Tag,
    zone::{engine::EngineState, home_event::ShardLoad},
};

/// Decides, at one point in time, whether an engine may be granted a request.
#[derive(Debug, Clone, Copy)]
pub struct LoadView {
    now: Instant,
    counts_reported: bool,
    /// Whether every engine is suspect or leaving: then suspect engines are used rather than all requests refused.
    all_suspect: bool,
    /// Highest load of one engine; the mean counts one more request.
    pub bound: u32,
}

impl LoadView {
    /// Computes the view of `engines`; `other_shards` is the load of the service's other shards.
    ///
    /// With `counts_reported`, reported loads count where they are larger than the number of permits.
    pub fn new(
        now: Instant,
        engines: &IndexMap<Tag, EngineState>,
        counts_reported: bool,
        other_shards: ShardLoad,
        load_bound: f64,
    ) -> LoadView {
        let all_suspect = engines.values().all(|e| e.is_leaving() || e.is_suspect(now));
        let mut view = LoadView { now, counts_reported, all_suspect, bound: 0 };
        let usable = engines.values().filter(|e| view.is_usable(e));
        let own = usable.fold(ShardLoad::default(), |sum, e| {
            sum.saturating_add(ShardLoad { load: view.load(e), engines: 1 })
        });
        let all = own.saturating_add(other_shards);
        view.bound = bound_of(load_bound, all.load.saturating_add(1), all.engines);
        view
    }

    /// Returns the engine's load.
    pub fn load(&self, engine: &EngineState) -> u32 {
        engine.load(self.now, self.counts_reported)
    }

    /// Returns whether the engine may get requests, regardless of its load.
    pub fn is_usable(&self, engine: &EngineState) -> bool {
        !engine.is_leaving() && (self.all_suspect || !engine.is_suspect(self.now))
    }

    /// Returns whether the engine may be granted one more request.
    pub fn accepts(&self, engine: &EngineState) -> bool {
        let load = self.load(engine);
        self.is_usable(engine) && load < engine.spec.capacity && load < self.bound
    }

    /// Returns the engine's load with one more request, relative to its weight.
    pub fn fill_level(&self, engine: &EngineState) -> f64 {
        (f64::from(self.load(engine)) + 1.0) / engine.spec.weight.max(f64::MIN_POSITIVE)
    }
}

/// Returns `ceil(bound x load / engines)`, at least one.
pub fn bound_of(bound: f64, load: u32, engines: u32) -> u32 {
    let mean = f64::from(load) / f64::from(engines.max(1));
    ((bound * mean).ceil() as u32).max(1)
}
