//! Orders to engines: complete desired states, rolled out in stages so that enough engines keep serving.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    configs::fleet::{BackendServer, Fleet},
    names::Tag,
};

/// Pause after a failed order before it is sent again; doubles with each further failure.
const RETRY_PAUSE_FIRST: Duration = Duration::from_secs(2);

/// Longest pause after a failed order.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(60);

/// Time after which an order that the engine accepted, but has not carried out, counts as failed.
const LOADING_TIMEOUT: Duration = Duration::from_secs(600);

/// A model that an engine must load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedModel {
    /// Id of the model.
    pub id: String,
    /// Version of the model.
    pub version: String,
    /// Adapters of the model.
    pub adapters: Vec<String>,
}

/// The complete state that an engine must reach. It is never a difference, so an order may be repeated safely.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DesiredState {
    /// Role of the engine.
    pub role: String,
    /// Models to load.
    pub models: Vec<OrderedModel>,
}

/// An order as sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the lease under which the order is given.
    pub fencing: u64,
    /// The desired state.
    #[serde(flatten)]
    pub state: DesiredState,
}

/// Returns the state that the configuration specifies for an engine.
pub fn desired_state(fleet: &Fleet, server: &BackendServer) -> DesiredState {
    let names = fleet.services.get(&server.service).map_or(&[][..], |service| &service.models);
    let models = names.iter().filter_map(|name| fleet.models.get(name)).map(|model| OrderedModel {
        id: model.id.to_string(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
    });
    DesiredState { role: server.role.clone(), models: models.collect() }
}

/// Result of an engine's latest status check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The engine did not respond.
    Unreachable,
    /// The engine responded.
    Responded {
        /// Whether the last order it accepted has the desired state.
        up_to_date: bool,
        /// Whether it accepts requests.
        ready: bool,
    },
}

/// Limits within which a rollout proceeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutLimits {
    /// Most engines that load at once, to limit the load on the store of model weights.
    pub loads_at_once: usize,
    /// Least share of the engines that must keep serving.
    pub min_serving: f64,
}

/// Progress of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Engines that are up to date and accept requests.
    pub done: usize,
    /// Engines that are loading.
    pub loading: usize,
    /// Engines that still have to be ordered.
    pub due: usize,
    /// Engines that did not respond or whose order failed.
    pub failed: usize,
}

#[derive(Debug, Clone, Copy)]
struct Failure {
    count: u32,
    retry_at: Instant,
}

/// The rollout of one shard.
#[derive(Debug, Default)]
pub struct Rollout {
    ordered: HashMap<Tag, Instant>,
    failures: HashMap<Tag, Failure>,
    progress: Progress,
}

impl Rollout {
    /// Returns the engines to order now, given the latest observations of all engines of the shard.
    pub fn next_engines(
        &mut self,
        now: Instant,
        engines: &[(Tag, Observation)],
        limits: RolloutLimits,
    ) -> Vec<Tag> {
        let mut progress = Progress::default();
        let mut due = Vec::new();
        // Engines that are already loading another state: an order takes none of them out of service.
        let mut already_loading = Vec::new();
        let mut serving = 0;
        for (engine, observation) in engines {
            match *observation {
                Observation::Unreachable => progress.failed += 1,
                Observation::Responded { up_to_date: true, ready: true } => {
                    progress.done += 1;
                    serving += 1;
                    self.ordered.remove(engine);
                    self.failures.remove(engine);
                }
                Observation::Responded { up_to_date: true, ready: false } => progress.loading += 1,
                Observation::Responded { up_to_date: false, ready } => {
                    serving += usize::from(ready);
                    progress.loading += usize::from(!ready);
                    match (self.is_paused(now, *engine), ready) {
                        (true, _) => progress.failed += 1,
                        (false, true) => due.push(*engine),
                        (false, false) => already_loading.push(*engine),
                    }
                }
            }
        }
        progress.due = due.len() + already_loading.len();
        self.progress = progress;
        let serving_min = (limits.min_serving * engines.len() as f64).floor() as usize;
        let headroom = limits.loads_at_once.saturating_sub(progress.loading);
        due.truncate(headroom.min(serving.saturating_sub(serving_min)));
        already_loading.extend(due);
        already_loading
    }

    fn is_paused(&mut self, now: Instant, engine: Tag) -> bool {
        let timed_out =
            self.ordered.get(&engine).is_some_and(|at| now.duration_since(*at) >= LOADING_TIMEOUT);
        if timed_out {
            self.note_failure(now, engine);
        }
        self.failures.get(&engine).is_some_and(|failure| now < failure.retry_at)
    }

    /// Notes that an engine accepted an order.
    pub fn note_ordered(&mut self, now: Instant, engine: Tag) {
        self.ordered.insert(engine, now);
    }

    /// Notes that an order to an engine failed.
    pub fn note_failure(&mut self, now: Instant, engine: Tag) {
        let count = self.failures.get(&engine).map_or(0, |failure| failure.count);
        let pause = RETRY_PAUSE_FIRST.saturating_mul(1 << count.min(10)).min(RETRY_PAUSE_MAX);
        self.ordered.remove(&engine);
        self.failures.insert(engine, Failure { count: count + 1, retry_at: now + pause });
    }

    /// Returns the rollout's progress as of the last [`next_engines`](Rollout::next_engines).
    pub fn progress(&self) -> Progress {
        self.progress
    }
}
