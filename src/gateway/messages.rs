//! What instances tell each other in an exchange. They share no clock, so times are told as ages.
//!
//! While operators replace one build by the next, instances of both are there. Messages are lists of values without names,
//! which would double their bytes. A field that is added is the last one of its type and has a default for messages that lack
//! it (`serde(default)`): what the build before writes is understood, though not the other way round.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::crash_suspects::CrashSuspectsReport;
use crate::{
    names::Tag,
    routing::{
        BudgetSum, InFlightCount, InstanceInfo, InstanceListUpdate, ListVersion, OrdersSnapshot,
        PackedChange, RetrySpending, RolloutReport, RolloutUpdate, RunId, ServerListUpdate,
        ServiceLoad, StoreEra, StoreVersion, VerdictUpdate,
    },
};

/// What an instance wants of the one that it asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Asks {
    /// What it knows, this once.
    Once,
    /// That it collects its counts, and reads the store for it.
    InTurn,
    /// That it reads the store for it, since the store turns it away.
    ToRead,
}

/// What an instance tells.
#[derive(Debug, Serialize, Deserialize)]
pub struct Report {
    /// Who tells.
    pub from: InstanceInfo,
    /// Its requests in flight, by server.
    pub counts: Vec<InFlightCount>,
    /// Servers that it finds silent, or that want no requests of it.
    pub silent: Vec<Tag>,
    /// The run of its process.
    pub run: RunId,
    /// Repeats that it has spent.
    pub spending: Vec<RetrySpending>,
    /// What it has seen of roll-outs.
    pub rollouts: Vec<RolloutReport>,
    /// How far roll-outs have come, as it knows it.
    pub rollout_states: Vec<RolloutUpdate>,
    /// What it had at servers that ended, and what it knows of requests that end them.
    pub crash_suspects: CrashSuspectsReport,
    /// Version of the intent that it has in force.
    pub version: u64,
    /// Whether it wants a newer intent however large.
    pub wants_intent: bool,
    /// What the other is to it.
    pub asks: Asks,
    /// Its newest list of servers.
    pub list: Option<ListVersion>,
    /// Hash of the instances that it knows.
    pub instances: u64,
}

/// What it is told.
#[derive(Debug, Serialize, Deserialize)]
pub struct News {
    /// What all instances have in flight.
    pub loads: Vec<ServiceLoad>,
    /// Servers that several instances find silent, or that want no requests of several.
    pub silent: Vec<Tag>,
    /// Repeats that all instances have spent.
    pub budgets: Vec<BudgetSum>,
    /// The run of the process that tells.
    pub run: RunId,
    /// Whether servers have ended lately.
    pub servers_end: bool,
    /// Requests that are held back or watched.
    pub verdicts: Vec<VerdictUpdate>,
    /// Version of the intent that the other has in force.
    pub version: u64,
    /// What has changed in the operator's intent, if that is small or wanted.
    pub changes: Vec<Arc<PackedChange>>,
    /// When the other's version was known to be the newest.
    pub confirmed: Option<ConfirmedAgo>,
    /// Operators' orders, as the other knows them.
    pub orders: OrdersSnapshot,
    /// How far roll-outs have come, as the other knows it.
    pub rollout_states: Vec<RolloutUpdate>,
    /// What is new in the list of servers.
    pub list: ServerListUpdate,
    /// Milliseconds since the list was current.
    pub list_age_ms: Option<u64>,
    /// Era of the store that the list is from.
    pub list_era: StoreEra,
    /// What is new in the list of instances, if the asker knows another one.
    pub instances: Option<InstanceListUpdate>,
}

/// That a version of the intent was the newest in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfirmedAgo {
    /// Milliseconds since then.
    pub age_ms: u64,
    /// Version of the store at that moment.
    pub store: StoreVersion,
}
