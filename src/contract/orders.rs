//! Orders to engines: full desired states, staged so that enough engines go on serving.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    configs::fleet::{BackendServer, Fleet},
    names::Tag,
};

/// First pause before an order that failed is given again; doubles with each failure.
const RETRY_PAUSE_FIRST: Duration = Duration::from_secs(2);

/// Longest such pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(60);

/// Time after which an engine that was ordered and is not ready yet counts as failed.
const LOADING_TIMEOUT: Duration = Duration::from_secs(600);

/// A model as an engine is to hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedModel {
    /// Id.
    pub id: String,
    /// Version.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<String>,
}

/// What an engine is to hold and to be. Never a step, so that giving it twice does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DesiredState {
    /// Role.
    pub role: String,
    /// Models.
    pub models: Vec<OrderedModel>,
}

/// An order as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the lease under which it is given.
    pub fencing: u64,
    /// The desired state.
    #[serde(flatten)]
    pub state: DesiredState,
}

/// Returns what the file wants of an engine.
pub fn desired_state(fleet: &Fleet, server: &BackendServer) -> DesiredState {
    let names = fleet.services.get(&server.service).map_or(&[][..], |service| &service.models);
    let models = names.iter().filter_map(|name| fleet.models.get(name)).map(|model| OrderedModel {
        id: model.id.to_string(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
    });
    DesiredState { role: server.role.clone(), models: models.collect() }
}

/// What was last seen of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It did not answer.
    Unreachable,
    /// It answered.
    Responded {
        /// Whether it holds and is what is wanted.
        up_to_date: bool,
        /// Whether it takes requests.
        ready: bool,
    },
}

/// How a rollout is staged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutLimits {
    /// Most engines loading at once, for the weight store's sake.
    pub loads_at_once: usize,
    /// Least share of the engines that go on serving.
    pub min_serving: f64,
}

/// How far a rollout has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Engines that are as wanted and take requests.
    pub done: usize,
    /// Engines that load.
    pub loading: usize,
    /// Engines that wait for their turn.
    pub due: usize,
    /// Engines that did not answer or whose order failed.
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
    /// Returns the engines to be ordered now.
    pub fn next_engines(
        &mut self,
        now: Instant,
        engines: &[(Tag, Observation)],
        terms: RolloutLimits,
    ) -> Vec<Tag> {
        let mut progress = Progress::default();
        let mut due = Vec::new();
        // Those that load something else already: ordering them takes no engine out of service.
        let mut already_loading = Vec::new();
        let mut serving = 0;
        for (engine, seen) in engines {
            match *seen {
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
        let least = (terms.min_serving * engines.len() as f64).floor() as usize;
        let headroom = terms.loads_at_once.saturating_sub(progress.loading);
        due.truncate(headroom.min(serving.saturating_sub(least)));
        already_loading.extend(due);
        already_loading
    }

    fn is_paused(&mut self, now: Instant, engine: Tag) -> bool {
        let stuck =
            self.ordered.get(&engine).is_some_and(|at| now.duration_since(*at) >= LOADING_TIMEOUT);
        if stuck {
            self.note_failure(now, engine);
        }
        self.failures.get(&engine).is_some_and(|failure| now < failure.retry_at)
    }

    /// Notes that an order was taken.
    pub fn note_ordered(&mut self, now: Instant, engine: Tag) {
        self.ordered.insert(engine, now);
    }

    /// Notes that an order failed.
    pub fn note_failure(&mut self, now: Instant, engine: Tag) {
        let count = self.failures.get(&engine).map_or(0, |failure| failure.count);
        let pause = RETRY_PAUSE_FIRST.saturating_mul(1 << count.min(10)).min(RETRY_PAUSE_MAX);
        self.ordered.remove(&engine);
        self.failures.insert(engine, Failure { count: count + 1, retry_at: now + pause });
    }

    /// Returns how far the rollout had come when it was last looked at.
    pub fn progress(&self) -> Progress {
        self.progress
    }
}
