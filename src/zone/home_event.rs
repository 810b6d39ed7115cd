//! What happens to a home, and what it wants done.

use std::time::Duration;

use crate::{
    contract::permit::{AnnouncedPermit, PermitId, PermitRequest, Release, Reply, TeamPolicy},
    names::Tag,
    zone::{engine::EngineSpec, rendezvous::ChatKey},
};

/// What the operators state for the service of the shard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeSettings {
    /// Most load of one engine, as a multiple of the mean.
    pub load_bound: f64,
    /// Most requests waiting.
    pub queue_max: usize,
    /// Most chats remembered.
    pub chats_max: usize,
    /// Longest wait of a returning chat for the engine that holds its context.
    pub affinity_wait: Duration,
}

/// What happens to a home.
#[derive(Debug, Clone)]
pub enum Event {
    /// An entry asks for a permit.
    PermitRequest(PermitRequest, TeamPolicy),
    /// An entry gives a permit back, or no longer waits for one.
    Release(Tag, Release),
    /// The stream of an entry has ended.
    EntryDisconnected(Tag),
    /// An entry tells the number of permits it holds here.
    HeldCount(Tag, usize),
    /// An entry tells every permit it holds here and the numbers of its asks under way; what it
    /// does not name, it no longer holds.
    Announce(Tag, Vec<AnnouncedPermit>, Vec<u64>),
    /// The engines of the shard changed.
    Engines(Vec<EngineSpec>),
    /// The terms changed.
    Settings(HomeSettings),
    /// An engine answered a probe with its load.
    Probed(Tag, u32),
    /// An engine did not answer a probe.
    ProbeFailed(Tag),
    /// The membership list says that an engine is leaving, or no longer.
    ListedLeaving(Tag, bool),
    /// An engine says itself that it is leaving, or no longer.
    AnnouncedLeaving(Tag, bool),
    /// The home of another shard of the service tells its load and number of usable engines.
    OtherShardLoad(Tag, ShardLoad),
    /// Contexts of chats were moved from one engine to another.
    ContextsMoved(Vec<(ChatKey, Tag, Tag)>),
    /// An engine that leaves does not hand its contexts over.
    ContextsNotMoved(Tag),
    /// Another instance tells where chats were last.
    ReplicatedChats(Vec<(ChatKey, Tag)>),
    /// By this instance's view it is the home of the shard, or is not.
    Role(bool),
    /// Time passes.
    Tick,
}

/// What a home wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Answer an ask.
    Reply(PermitId, Reply),
    /// Ask the entry to announce the permits it holds.
    RequestAnnouncement(Tag),
}

/// Load of a shard, as homes of one service tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct ShardLoad {
    /// Permits in force.
    pub load: u32,
    /// Engines that may get work.
    pub engines: u32,
}
