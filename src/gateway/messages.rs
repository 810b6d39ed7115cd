//! Messages of the periodic exchange between instances.
//!
//! Instances share no clock, so a message carries the age of a value instead of its time.
//!
//! During an upgrade, instances of two builds run side by side. Messages are encoded as lists without field names,
//! which would double their size. A new field must be the last one of its type and carry `serde(default)`: this build
//! then reads messages of the previous one. The previous build cannot read messages of this one.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::crash_suspects::CrashSuspectsReport;
use crate::{
    names::Tag,
    routing::{
        BudgetSum, InFlightCount, InstanceInfo, InstanceListUpdate, ListVersion, OrdersSnapshot,
        PackedChange, PromptCount, RetrySpending, RolloutReport, RolloutUpdate, RunId,
        ServerListUpdate, ServiceDemand, ServiceLimits, ServiceLoad, StoreEra, StoreVersion,
        VerdictUpdate,
    },
};

/// What an instance requests of the instance that it sends a report to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExchangePurpose {
    /// A single reply with the receiver's current state.
    #[serde(rename = "Once")]
    Query,
    /// The receiver is the aggregator: it sums up the reports of all instances, and reads the store for them.
    #[serde(rename = "InTurn")]
    Aggregate,
    /// The receiver reads the store first, since the store rejects the sender's requests.
    #[serde(rename = "ToRead")]
    ReadStore,
}

/// What an instance reports in an exchange.
#[derive(Debug, Serialize, Deserialize)]
pub struct ExchangeReport {
    /// The sender.
    pub from: InstanceInfo,
    /// The sender's requests in flight, by server.
    pub counts: Vec<InFlightCount>,
    /// Servers that do not respond to the sender, or that asked it to send no more requests.
    pub unresponsive: Vec<Tag>,
    /// Run id of the sender's process.
    pub run: RunId,
    /// Retries that the sender has spent.
    pub spending: Vec<RetrySpending>,
    /// What the sender has observed of roll-outs.
    pub rollouts: Vec<RolloutReport>,
    /// Progress of roll-outs, as the sender last received it.
    pub rollout_states: Vec<RolloutUpdate>,
    /// Requests that the sender had in flight at servers that crashed, and verdicts on requests that crash servers.
    pub crash_suspects: CrashSuspectsReport,
    /// Version of the intent that is active at the sender.
    pub intent_version: u64,
    /// Whether the sender requests changes of the intent of any size, and with [`ExchangePurpose::ReadStore`] whether the
    /// receiver reads the intent in the store, not only the list of servers.
    pub wants_intent: bool,
    /// What the sender requests.
    pub purpose: ExchangePurpose,
    /// Version of the sender's list of servers.
    pub list_version: Option<ListVersion>,
    /// Hash of the sender's list of instances.
    pub instances_hash: u64,
    /// Demand of teams at the sender, by service in use.
    #[serde(default)]
    pub team_demands: Vec<ServiceDemand>,
    /// The sender's requests in flight, by shared prompt.
    #[serde(default)]
    pub prompts: Vec<PromptCount>,
}

/// The reply to an [`ExchangeReport`].
#[derive(Debug, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Load of each service, over all instances; empty until most of them have reported.
    pub loads: Vec<ServiceLoad>,
    /// Servers that several instances have reported as unresponsive, or as accepting no requests.
    pub unresponsive: Vec<Tag>,
    /// Retries that all instances have spent.
    pub budgets: Vec<BudgetSum>,
    /// Run id of the replying process.
    pub run: RunId,
    /// Whether servers have crashed recently.
    pub crash_alert: bool,
    /// Requests that are held or watched.
    pub verdicts: Vec<VerdictUpdate>,
    /// Version of the intent that is active at the replying instance.
    pub intent_version: u64,
    /// Changes of the intent since the reported version, if they are small or were requested.
    pub changes: Vec<Arc<PackedChange>>,
    /// When the replying instance last confirmed its intent to be the newest.
    pub confirmed: Option<ConfirmedAgo>,
    /// Operators' orders, as the replying instance last received them.
    pub orders: OrdersSnapshot,
    /// Progress of roll-outs, as the replying instance last received it.
    pub rollout_states: Vec<RolloutUpdate>,
    /// Update of the list of servers since the reported version.
    pub list: ServerListUpdate,
    /// Milliseconds since the list was current.
    pub list_age_ms: Option<u64>,
    /// Era of the store that the list was read from.
    pub list_era: StoreEra,
    /// Update of the list of instances, if its hash differs from the reported one.
    pub instances: Option<InstanceListUpdate>,
    /// Limits of teams at each service whose demand is above its capacity; `None` if they are not known.
    #[serde(default)]
    pub team_limits: Option<Vec<ServiceLimits>>,
    /// Requests in flight with popular prompts, over all instances.
    #[serde(default)]
    pub popular_prompts: Vec<PromptCount>,
}

/// Confirmation that a version of the intent was the newest in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfirmedAgo {
    /// Milliseconds since the confirmation.
    pub age_ms: u64,
    /// Version of the store at that moment.
    pub store: StoreVersion,
}
