//! The loads of a shard's engines at one instant, and what follows from them.

use std::time::Instant;

use indexmap::IndexMap;

use crate::{
    names::Tag,
    zone::{engine::EngineState, home_event::ShardLoad},
};

/// What decides at one instant whether an engine may be granted a request.
#[derive(Debug, Clone, Copy)]
pub struct LoadView {
    now: Instant,
    guarded: bool,
    /// Every engine is suspected: they are tried rather than all work refused.
    all_suspect: bool,
    /// Most load of one engine, one more request counted in the mean.
    pub bound: u32,
}

impl LoadView {
    /// Looks at `engines`; `elsewhere` is the load of the service's other shards.
    ///
    /// While `guarded`, reported loads count where they are larger than the permits known.
    pub fn new(
        now: Instant,
        engines: &IndexMap<Tag, EngineState>,
        guarded: bool,
        elsewhere: ShardLoad,
        load_bound: f64,
    ) -> LoadView {
        let all_suspect = engines.values().all(|e| e.is_leaving() || e.is_suspect(now));
        let mut view = LoadView { now, guarded, all_suspect, bound: 0 };
        let usable = engines.values().filter(|e| view.is_usable(e));
        let (load, count) = usable.fold((0, 0), |(load, n), e| (load + view.load(e), n + 1));
        view.bound = bound_of(load_bound, load + elsewhere.load + 1, count + elsewhere.engines);
        view
    }

    /// Returns the engine's load.
    pub fn load(&self, engine: &EngineState) -> u32 {
        engine.load(self.now, self.guarded)
    }

    /// Returns whether the engine may get work at all.
    pub fn is_usable(&self, engine: &EngineState) -> bool {
        !engine.is_leaving() && (self.all_suspect || !engine.is_suspect(self.now))
    }

    /// Returns whether the engine may be granted one more request.
    pub fn takes(&self, engine: &EngineState) -> bool {
        let load = self.load(engine);
        self.is_usable(engine) && load < engine.spec.capacity && load < self.bound
    }

    /// Returns how full one more request would make the engine, relative to its weight.
    pub fn filled(&self, engine: &EngineState) -> f64 {
        f64::from(self.load(engine) + 1) / engine.spec.weight.max(f64::MIN_POSITIVE)
    }
}

/// Returns `ceil(bound x load / engines)`, at least one.
pub fn bound_of(bound: f64, load: u32, engines: u32) -> u32 {
    let mean = f64::from(load) / f64::from(engines.max(1));
    ((bound * mean).ceil() as u32).max(1)
}
