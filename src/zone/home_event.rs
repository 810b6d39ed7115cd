//! The events that a home handles, and the actions that it returns.

use std::time::Duration;

use crate::{
    contract::permit::{AnnouncedPermit, PermitId, PermitRequest, Release, Reply, TeamPolicy},
    names::Tag,
    units::RequestCount,
    zone::{engine::EngineSpec, rendezvous::ChatKey, shard::SHARD_ENGINES_MAX},
};

/// Settings of a home, from the configuration of the shard's service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeSettings {
    /// Highest load of one engine, as a multiple of the mean.
    pub load_bound: f64,
    /// Most requests in the queue.
    pub queue_max: usize,
    /// Most chats whose locations are stored.
    pub chats_max: usize,
    /// Longest wait of a returning chat for the engine that holds its context.
    pub affinity_wait: Duration,
}

/// An event that a home handles.
#[derive(Debug, Clone)]
pub enum Event {
    /// An entry requests a permit; the policy is that of its team.
    PermitRequest(PermitRequest, TeamPolicy),
    /// An entry releases a permit, or withdraws its request for one.
    Release(Tag, Release),
    /// The stream of an entry has ended.
    EntryDisconnected(Tag),
    /// An entry reports the number of permits that it holds here.
    HeldCount(Tag, usize),
    /// An entry announces all permits that it holds here and the numbers of its pending requests. It no longer holds
    /// any other permit.
    Announce(Tag, Vec<AnnouncedPermit>, Vec<u64>),
    /// The engines of the shard changed.
    Engines(Vec<EngineSpec>),
    /// The settings changed.
    Settings(HomeSettings),
    /// An engine responded to a probe with its load.
    Probed(Tag, u32),
    /// An engine did not respond to a probe.
    ProbeFailed(Tag),
    /// The membership list says whether an engine is leaving.
    ListedLeaving(Tag, bool),
    /// An engine announced whether it is leaving.
    AnnouncedLeaving(Tag, bool),
    /// Load of another shard of the service, with the shard's number as its tag.
    OtherShardLoad(Tag, ShardLoad),
    /// The contexts of these chats were moved from one engine to another.
    ContextsMoved(Vec<(ChatKey, Tag, Tag)>),
    /// The contexts of this leaving engine could not be moved.
    ContextsNotMoved(Tag),
    /// Another instance sent the engines that these chats were last on.
    ReplicatedChats(Vec<(ChatKey, Tag)>),
    /// Whether this instance, by its own view, is the home of the shard.
    Role(bool),
    /// Periodic event that drops what has expired.
    Tick,
}

/// An action that a home returns, to be carried out by the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Reply to a permit request.
    Reply(PermitId, Reply),
    /// Request the entry to announce the permits that it holds.
    RequestAnnouncement(Tag),
}

/// Load of a shard, as homes of one service report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(from = "(u32, u32)")]
pub struct ShardLoad {
    /// Permits granted and not released.
    pub load: u32,
    /// Engines that may get requests.
    pub engines: u32,
}

/// Decodes the load in another instance's message, of at most what the engines of one shard can run.
impl From<(u32, u32)> for ShardLoad {
    fn from((load, engines): (u32, u32)) -> ShardLoad {
        let engines = engines.min(SHARD_ENGINES_MAX as u32);
        ShardLoad { load: load.min(engines * RequestCount::MAX), engines }
    }
}

impl ShardLoad {
    /// Returns the sum of two loads.
    pub fn saturating_add(self, other: ShardLoad) -> ShardLoad {
        ShardLoad {
            load: self.load.saturating_add(other.load),
            engines: self.engines.saturating_add(other.engines),
        }
    }
}
