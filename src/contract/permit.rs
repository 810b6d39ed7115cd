//! Permits: an entry requests one from a shard's home before it forwards a caller's request to an engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{names::Tag, units::Rate, zone::rendezvous::ChatKey};

/// Identity of a permit and of the request for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PermitId {
    /// Tag of the instance that is the entry.
    pub entry: Tag,
    /// Number, unique at the entry across its restarts.
    pub number: u64,
}

/// An entry's request for a permit, which names the engine that may run a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRequest {
    /// Identity of the permit.
    pub id: PermitId,
    /// Chat that the caller's request belongs to.
    pub chat: ChatKey,
    /// Team of the caller.
    pub team: Tag,
    /// Time left until the deadline of the caller's request.
    pub time_left: Duration,
    /// Engine that the caller's placement hint names.
    pub hint: Option<Tag>,
    /// Engines at which attempts of this request have already failed.
    pub avoid: Vec<Tag>,
    /// Whether the entry may try another shard when this one is at its load bound.
    pub may_spill: bool,
}

/// Priority and limits of a team, from the active configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamPolicy {
    /// Weight in the fair queue.
    pub weight: u32,
    /// Whether the team belongs to the reserved class.
    pub reserved: bool,
    /// Most requests in flight.
    pub max_in_flight: Option<u32>,
    /// Most requests per second.
    pub rate: Option<Rate>,
}

impl Default for TeamPolicy {
    fn default() -> TeamPolicy {
        TeamPolicy { weight: 1, reserved: false, max_in_flight: None, rate: None }
    }
}

/// How a request that held a permit ended, as evidence about its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseKind {
    /// The engine responded in full.
    Done,
    /// The engine failed.
    Failed,
    /// The engine rejected the request: it is full or leaving.
    Refused,
    /// No evidence about the engine: the caller disconnected, or the permit was not used.
    Unused,
    /// The engine responded and announced that it is leaving.
    Leaving,
}

/// Message that returns a permit to its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Number of the permit.
    pub number: u64,
    /// How the request ended.
    pub kind: ReleaseKind,
    /// Load that the engine reported with its response.
    pub load: Option<u32>,
}

/// A permit that an entry still holds, as it announces it to a new home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedPermit {
    /// Number of the permit.
    pub number: u64,
    /// Engine that the permit names.
    pub engine: Tag,
    /// Chat that it was granted for.
    pub chat: ChatKey,
    /// Team that it was granted to.
    pub team: Tag,
    /// Milliseconds until the deadline of its request.
    pub left_ms: u32,
}

/// Why a home refuses a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefuseReason {
    /// The team has reached its limit of requests in flight.
    TeamInFlight,
    /// The team has reached its limit of requests per second.
    TeamRate,
    /// The service's queue is full.
    QueueFull,
    /// The request cannot be served before its deadline.
    Deadline,
    /// The shard has no engine that can run the request.
    NoEngine,
}

/// A home's reply to a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The entry may send the caller's request to this engine.
    Granted(Tag),
    /// The request is queued; a grant or refusal follows.
    Queued,
    /// This shard is at its load bound; try the next shard in the chat's rendezvous order.
    Spill,
    /// The caller's request must not run.
    Refused {
        /// Reason of the refusal.
        reason: RefuseReason,
        /// Milliseconds after which a retry may succeed.
        retry_after_ms: u32,
    },
}
