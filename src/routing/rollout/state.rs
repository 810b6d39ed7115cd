//! What instances believe of roll-outs, and tell each other.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{RolloutOrder, RolloutRecord, VersionSplit};
use crate::names::{ServiceName, SoftwareVersion};

/// How long the share of a trial holds after the instance that takes it further has said so: three exchanges. If that one
/// is lost, a version that is not proven gets nothing.
const TRIAL_LIFE: Duration = Duration::from_millis(2500);

/// How far a roll-out has come; later ones outdo earlier ones, whoever tells them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The version gets few requests.
    Trial,
    /// Requests move to it.
    Moving,
    /// It gets nothing any more.
    RolledBack,
    /// It has taken over, and the others stop. Is told once the store has it: then it cannot be undone.
    Succeeded,
}

/// A roll-out at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub to: SoftwareVersion,
    /// How far it has come.
    pub stage: Stage,
    /// Fencing number of the instance that says so.
    pub term: u64,
    /// Grows with each change that this instance makes.
    pub step: u32,
    /// Share of the service's requests that go to the version.
    pub share: f64,
    /// Servers of the version that are used.
    pub servers: usize,
    /// Versions that get nothing.
    pub barred: Vec<SoftwareVersion>,
    /// Whether the store has the stage, from where operators read it.
    #[serde(default)]
    pub is_written: bool,
}

/// A state as instances tell it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The state.
    pub state: RolloutState,
    /// Milliseconds since the instance that takes the roll-out further said so.
    pub age_ms: u64,
}

#[derive(Debug)]
struct Known {
    state: RolloutState,
    /// When the instance that takes the roll-out further said so.
    as_of: Instant,
}

/// What an instance knows of roll-outs.
#[derive(Debug, Default)]
pub struct RolloutStates {
    orders: IndexMap<ServiceName, RolloutOrder>,
    known: IndexMap<ServiceName, Known>,
    /// Versions whose order was taken back or replaced before they were proven.
    unproven: IndexMap<ServiceName, IndexSet<SoftwareVersion>>,
}

impl Stage {
    /// Returns whether nothing follows.
    pub fn is_final(self) -> bool {
        self >= Stage::RolledBack
    }
}

impl RolloutState {
    /// Returns what the store's record of a service says, before anything is known of requests.
    pub fn of(service: &ServiceName, record: &RolloutRecord) -> RolloutState {
        RolloutState {
            service: service.clone(),
            to: record.order.to.clone(),
            stage: record.stage,
            term: record.term,
            step: 0,
            share: if record.stage == Stage::Succeeded { 1.0 } else { 0.0 },
            servers: usize::MAX,
            barred: record.barred.clone(),
            is_written: true,
        }
    }

    /// Returns whether nothing is left to do.
    pub fn is_done(&self) -> bool {
        self.stage.is_final() && self.is_written
    }

    fn has_succeeded(&self) -> bool {
        self.stage == Stage::Succeeded
    }

    /// Returns whether this is to be believed rather than `known`.
    fn outdoes(&self, known: &RolloutState) -> bool {
        if self.to != known.to {
            return self.term > known.term;
        }
        let rank = |state: &RolloutState| {
            let is_final = state.stage.is_final();
            (is_final.then_some(state.stage), state.term, state.stage, state.is_done(), state.step)
        };
        rank(self) >= rank(known)
    }
}

impl RolloutStates {
    /// Takes what operators want; returns whether that is news.
    pub fn set_orders(&mut self, orders: &IndexMap<ServiceName, RolloutOrder>) -> bool {
        if self.orders == *orders {
            return false;
        }
        for (service, former) in std::mem::replace(&mut self.orders, orders.clone()) {
            let is_proven = self.of(&service, &former.to).is_some_and(RolloutState::has_succeeded);
            if !is_proven {
                self.unproven.entry(service).or_default().insert(former.to);
            }
        }
        for (service, order) in orders {
            if let Some(unproven) = self.unproven.get_mut(service) {
                unproven.swap_remove(&order.to);
            }
        }
        true
    }

    /// Returns the versions of a service whose order was taken back or replaced before they were proven.
    pub fn unproven(&self, service: &ServiceName) -> impl Iterator<Item = &SoftwareVersion> {
        self.unproven.get(service).into_iter().flatten()
    }

    /// Returns what operators want.
    pub fn orders(&self) -> &IndexMap<ServiceName, RolloutOrder> {
        &self.orders
    }

    /// Takes what another instance tells, or this one has decided; returns the stage if that is another one.
    pub fn take(&mut self, now: Instant, told: &RolloutUpdate) -> Option<Stage> {
        let as_of = now.checked_sub(Duration::from_millis(told.age_ms)).unwrap_or(now);
        let state = &told.state;
        let before = self.known.get(&state.service);
        if before.is_some_and(|known| !state.outdoes(&known.state)) {
            return None;
        }
        let stage = |known: &Known| (known.state.stage, known.state.to.clone());
        let is_news = before.map(stage) != Some((state.stage, state.to.clone()));
        let same = before.filter(|known| known.state == *state);
        let as_of = same.map_or(as_of, |known| known.as_of.max(as_of));
        let known = Known { state: state.clone(), as_of };
        self.known.insert(state.service.clone(), known);
        is_news.then_some(state.stage)
    }

    /// Returns what is known of a service's roll-out to a version.
    pub fn of(&self, service: &ServiceName, to: &SoftwareVersion) -> Option<&RolloutState> {
        self.known.get(service).map(|known| &known.state).filter(|state| state.to == *to)
    }

    /// Returns the highest fencing number that is known of a service.
    pub fn term(&self, service: &ServiceName) -> u64 {
        self.known.get(service).map_or(0, |known| known.state.term)
    }

    /// Returns what other instances are told.
    pub fn updates(&self, now: Instant) -> Vec<RolloutUpdate> {
        let age = |known: &Known| now.saturating_duration_since(known.as_of).as_millis();
        let told = |known: &Known| RolloutUpdate {
            state: known.state.clone(),
            age_ms: u64::try_from(age(known)).unwrap_or(u64::MAX),
        };
        self.known.values().map(told).collect()
    }

    /// Returns which servers requests may go to, for each service with a roll-out.
    pub fn version_splits(&self) -> Vec<VersionSplit> {
        let services = self.orders.keys().chain(self.known.keys());
        let services: IndexSet<&ServiceName> = services.collect();
        services.into_iter().map(|service| self.split(service)).collect()
    }

    fn split(&self, service: &ServiceName) -> VersionSplit {
        let order = self.orders.get(service);
        let known = self.known.get(service);
        let mut barred = known.map_or_else(Vec::new, |known| known.state.barred.clone());
        barred.extend(self.unproven(service).cloned());
        let current = known.filter(|known| order.is_some_and(|o| o.to == known.state.to));
        if let Some(former) = known.filter(|_| current.is_none())
            && !former.state.has_succeeded()
        {
            // As others know it, who have seen its order.
            barred.push(former.state.to.clone());
        }
        let mut split = VersionSplit {
            service: service.clone(),
            to: order.map(|order| order.to.clone()),
            share: 0.0,
            until: None,
            servers: usize::MAX,
            barred,
        };
        let Some(Known { state, as_of }) = current else { return split };
        (split.share, split.servers) = (state.share, state.servers);
        match state.stage {
            Stage::Trial => split.until = Some(*as_of + TRIAL_LIFE),
            Stage::Moving => {}
            Stage::RolledBack => {
                split.barred.push(state.to.clone());
                split.to = None;
            }
            Stage::Succeeded => split.to = None,
        }
        split
    }
}
