//! State of roll-outs at an instance, and its propagation between instances.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{RolloutOrder, RolloutRecord, VersionSplit};
use crate::names::{ServiceName, SoftwareVersion};

/// How long the share of a trial is valid after the controller's last update: three exchanges. If the controller is
/// lost, a version that is not proven gets no requests after that.
const TRIAL_SHARE_TTL: Duration = Duration::from_millis(2500);

/// Stage of a roll-out. Later stages supersede earlier ones, whichever instance reports them.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Stage {
    /// The new version gets few requests.
    #[default]
    Trial,
    /// Requests move to the new version.
    Moving,
    /// The new version gets no requests any more.
    RolledBack,
    /// The new version has taken over, and the others stop. Propagated once it is stored, after which it cannot be
    /// undone.
    Succeeded,
}

/// State of a roll-out at one time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub to: SoftwareVersion,
    /// The stage that it has reached.
    pub stage: Stage,
    /// Fencing number of the controller that decided it.
    pub term: u64,
    /// Number that grows with each change by this controller.
    pub step: u32,
    /// Share of the service's requests that goes to the new version.
    pub share: f64,
    /// Number of servers of the new version that are used.
    pub servers: usize,
    /// Versions that get no requests.
    pub barred: Vec<SoftwareVersion>,
    /// Whether the stage is stored, so that operators can read it.
    #[serde(default)]
    pub is_written: bool,
}

/// A state as it is propagated between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The state.
    pub state: RolloutState,
    /// Milliseconds since the controller sent it.
    pub age_ms: u64,
}

#[derive(Debug)]
struct Known {
    state: RolloutState,
    /// When the controller sent the state.
    as_of: Instant,
}

/// Orders and states of roll-outs, as an instance knows them.
#[derive(Debug, Default)]
pub struct RolloutStates {
    orders: IndexMap<ServiceName, RolloutOrder>,
    known: IndexMap<ServiceName, Known>,
    /// Versions whose order was withdrawn or replaced before they were proven.
    unproven: IndexMap<ServiceName, IndexSet<SoftwareVersion>>,
}

impl Stage {
    /// Returns whether no other stage follows.
    pub fn is_final(self) -> bool {
        self >= Stage::RolledBack
    }
}

impl RolloutState {
    /// Returns the state in a stored record, before any requests have been counted.
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

    /// Returns whether the roll-out is complete and stored.
    pub fn is_done(&self) -> bool {
        self.stage.is_final() && self.is_written
    }

    fn has_succeeded(&self) -> bool {
        self.stage == Stage::Succeeded
    }

    /// Returns whether this state replaces `known`.
    fn supersedes(&self, known: &RolloutState) -> bool {
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
    /// Replaces the orders; returns whether they have changed.
    pub fn set_orders(&mut self, orders: &IndexMap<ServiceName, RolloutOrder>) -> bool {
        if self.orders == *orders {
            return false;
        }
        for (service, former) in std::mem::replace(&mut self.orders, orders.clone()) {
            let is_proven =
                self.state(&service, &former.to).is_some_and(RolloutState::has_succeeded);
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

    /// Returns the versions of a service whose order was withdrawn or replaced before they were proven.
    pub fn unproven(&self, service: &ServiceName) -> impl Iterator<Item = &SoftwareVersion> {
        self.unproven.get(service).into_iter().flatten()
    }

    /// Returns the current orders.
    pub fn orders(&self) -> &IndexMap<ServiceName, RolloutOrder> {
        &self.orders
    }

    /// Merges a state that was decided here, or received in the reply to a request that was sent at `sent_at`; returns
    /// its stage if stage or version have changed.
    ///
    /// The state had its age at `sent_at` at the earliest. If the age were counted from the receipt, each transit would
    /// make the state younger, and the share of a trial would never expire while two instances send it to each other
    /// over a slow link.
    pub fn merge(&mut self, sent_at: Instant, update: &RolloutUpdate) -> Option<Stage> {
        let age = Duration::from_millis(update.age_ms);
        let as_of = sent_at.checked_sub(age).unwrap_or(sent_at);
        self.merge_as_of(as_of, &update.state)
    }

    /// Merges a state that an instance reported, as [`RolloutStates::merge`] does.
    ///
    /// It is not known when the report was sent: after a suspension of this instance that can be long ago. So the report
    /// does not extend the time to live of a trial's share.
    pub fn merge_reported(&mut self, now: Instant, update: &RolloutUpdate) -> Option<Stage> {
        let as_of = now.checked_sub(TRIAL_SHARE_TTL).unwrap_or(now);
        self.merge_as_of(as_of, &update.state)
    }

    fn merge_as_of(&mut self, as_of: Instant, state: &RolloutState) -> Option<Stage> {
        let before = self.known.get(&state.service);
        if before.is_some_and(|known| !state.supersedes(&known.state)) {
            return None;
        }
        let stage = |known: &Known| (known.state.stage, known.state.to.clone());
        let is_changed = before.map(stage) != Some((state.stage, state.to.clone()));
        let same = before.filter(|known| known.state == *state);
        let as_of = same.map_or(as_of, |known| known.as_of.max(as_of));
        let known = Known { state: state.clone(), as_of };
        self.known.insert(state.service.clone(), known);
        is_changed.then_some(state.stage)
    }

    /// Returns the state of a service's roll-out to a version.
    pub fn state(&self, service: &ServiceName, to: &SoftwareVersion) -> Option<&RolloutState> {
        self.known.get(service).map(|known| &known.state).filter(|state| state.to == *to)
    }

    /// Returns the highest known fencing number of a service.
    pub fn term(&self, service: &ServiceName) -> u64 {
        self.known.get(service).map_or(0, |known| known.state.term)
    }

    /// Returns the states to propagate to other instances.
    pub fn updates(&self, now: Instant) -> Vec<RolloutUpdate> {
        let age = |known: &Known| now.saturating_duration_since(known.as_of).as_millis();
        let update = |known: &Known| RolloutUpdate {
            state: known.state.clone(),
            age_ms: u64::try_from(age(known)).unwrap_or(u64::MAX),
        };
        self.known.values().map(update).collect()
    }

    /// Returns the split of requests between versions, for each service with an order or a known state.
    pub fn version_splits(&self) -> Vec<VersionSplit> {
        let services = self.orders.keys().chain(self.known.keys());
        let services: IndexSet<&ServiceName> = services.collect();
        services.into_iter().map(|service| self.version_split(service)).collect()
    }

    fn version_split(&self, service: &ServiceName) -> VersionSplit {
        let order = self.orders.get(service);
        let known = self.known.get(service);
        let mut barred = known.map_or_else(Vec::new, |known| known.state.barred.clone());
        barred.extend(self.unproven(service).cloned());
        let current = known.filter(|known| order.is_some_and(|o| o.to == known.state.to));
        if let Some(former) = known.filter(|_| current.is_none())
            && !former.state.has_succeeded()
        {
            // Instances that have seen that version's order bar it as unproven.
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
            Stage::Trial => split.until = Some(*as_of + TRIAL_SHARE_TTL),
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
