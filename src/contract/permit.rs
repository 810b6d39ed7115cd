//! Permits: what an entry asks of a shard's home before it sends a request on.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{names::Tag, units::Rate, zone::rendezvous::ChatKey};

/// Identity of a permit and of the ask for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PermitId {
    /// Tag of the entry instance.
    pub entry: Tag,
    /// Number, unique for the entry across its restarts.
    pub number: u64,
}

/// An entry's question: which engine may take this request?
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRequest {
    /// Identity.
    pub id: PermitId,
    /// The chat.
    pub chat: ChatKey,
    /// The team.
    pub team: Tag,
    /// Time left for the request.
    pub time_left: Duration,
    /// Engine that the caller's placement hint names.
    pub hint: Option<Tag>,
    /// Engines already tried for this request.
    pub avoid: Vec<Tag>,
    /// Whether another shard may be asked when this one is at its bound.
    pub may_spill: bool,
}

/// What a home needs to know of a team; taken from the snapshot in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamPolicy {
    /// Weight among teams that wait.
    pub weight: u32,
    /// Whether it belongs to the reserved class.
    pub reserved: bool,
    /// Most requests in flight.
    pub max_in_flight: Option<u32>,
    /// Most requests a second.
    pub rate: Option<Rate>,
}

impl Default for TeamPolicy {
    fn default() -> TeamPolicy {
        TeamPolicy { weight: 1, reserved: false, max_in_flight: None, rate: None }
    }
}

/// How a request that held a permit ended, as far as its engine is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseKind {
    /// A whole answer came.
    Done,
    /// The engine failed.
    Failed,
    /// The engine refused: it is full or leaving.
    Refused,
    /// Nothing is known of the engine: the caller went away, or the permit was not used.
    Unused,
    /// The engine answered and says that it is leaving.
    Leaving,
}

/// Gives a permit back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Number of the permit.
    pub number: u64,
    /// How the request ended.
    pub kind: ReleaseKind,
    /// Load that the engine reported with its answer.
    pub load: Option<u32>,
}

/// A permit that an entry still holds, told to a new home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedPermit {
    /// Number of the permit.
    pub number: u64,
    /// Engine it is for.
    pub engine: Tag,
    /// Chat it is for.
    pub chat: ChatKey,
    /// Team it is for.
    pub team: Tag,
    /// Milliseconds it may still last.
    pub left_ms: u32,
}

/// Why a home refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefuseReason {
    /// The team has as many requests in flight as it may have.
    TeamInFlight,
    /// The team sends more requests a second than it may.
    TeamRate,
    /// More wait than the service's queue may hold.
    QueueFull,
    /// The request cannot be done before its deadline.
    Deadline,
    /// The shard has no engine that could take it.
    NoEngine,
}

/// A home's answer to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request may go to this engine.
    Granted(Tag),
    /// The request waits; the grant or refusal comes later.
    Queued,
    /// This shard is at its bound; ask the next in the chat's rank.
    Spill,
    /// The request is not to run.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// When another try makes sense, in milliseconds.
        retry_after_ms: u32,
    },
}
