//! What an instance asks of a slot broker, and what the broker does about it.
//!
//! An instance asks for each request to a small service; the broker of the service decides. The types are shared by
//! both.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    names::{Tag, ZoneName},
    units::bounded_time,
};

/// Id of a slot lease, drawn at random by the instance that asks for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A backend server whose slots a broker leases. [`ServiceSlots`](super::ServiceSlots) has the sum over the servers of
/// a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSlots {
    /// Tag of the server's incarnation.
    pub server: Tag,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// A request for a slot of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Id of the lease that is to be granted.
    pub id: LeaseId,
    /// Team of the caller; `None` on a public route.
    pub team: Option<Tag>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Hash that is the same when the caller sends the request again.
    pub digest: u64,
    /// Time until the request misses its target latency even if a slot is free.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub wait_max: Duration,
    /// Time until the request's deadline, at which an unused or lost lease expires.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub time_left: Duration,
    /// Servers that must not be used.
    pub excluded: Vec<Tag>,
    /// Availability zone of the instance, which is preferred.
    pub zone: ZoneName,
}

/// What the broker does about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokerAction {
    /// The request may be sent to the server.
    Grant {
        /// The lease.
        id: LeaseId,
        /// The server.
        server: Tag,
    },
    /// The request waits for a slot.
    Queue {
        /// The lease that may follow.
        id: LeaseId,
    },
    /// The request is not served in time; its caller should retry after a delay.
    Reject {
        /// The lease that was asked for.
        id: LeaseId,
        /// Delay after which room is reserved for the caller, or is expected.
        retry_after: Duration,
    },
}
