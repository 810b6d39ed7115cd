//! Messages between an instance and the broker of a service, over one stream.
//!
//! Variants are encoded by name, so each has a name of one letter: there are three messages for each request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    names::{NodeName, ServiceName, Tag},
    routing::{LeaseId, SlotRequest},
    units::bounded_time,
};

/// A message to the broker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToBroker {
    /// The first message of a stream; sent again when the broker of a service changes while the stream is open.
    #[serde(rename = "h")]
    Hello(Hello),
    /// A request for a lease.
    #[serde(rename = "a")]
    Acquire(Acquire),
    /// The end of a lease, or of the wait for it.
    #[serde(rename = "r")]
    Release(LeaseId),
    /// A question whether the broker still responds, sent while a request waits and the stream is silent.
    #[serde(rename = "p")]
    Ping,
}

/// Names the sender to the broker and reports its leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The instance.
    pub node: NodeName,
    /// Leases that another broker granted to it.
    pub held: Vec<HeldLease>,
}

/// A lease that an instance holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The lease.
    pub id: LeaseId,
    /// Service of the server.
    pub service: ServiceName,
    /// The server.
    pub server: Tag,
    /// Time until the lease expires.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub time_left: Duration,
}

/// A request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// Service whose slot is needed.
    pub service: ServiceName,
    /// The request.
    pub request: SlotRequest,
}

/// A message of the broker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromBroker {
    /// The request may be sent.
    #[serde(rename = "g")]
    Granted {
        /// The lease.
        id: LeaseId,
        /// Server to which the request may be sent.
        server: Tag,
        /// Time between the broker's receipt of the request and the grant, from which the instance derives the age of a
        /// grant that it reads late.
        #[serde(deserialize_with = "bounded_time::deserialize")]
        waited: Duration,
    },
    /// The request waits for a slot.
    #[serde(rename = "q")]
    Queued {
        /// The lease that may follow.
        id: LeaseId,
    },
    /// The request is not served in time.
    #[serde(rename = "x")]
    Rejected {
        /// The lease that was requested.
        id: LeaseId,
        /// Delay after which its caller should retry.
        #[serde(deserialize_with = "bounded_time::deserialize")]
        retry_after: Duration,
        /// Number of requests of the service that wait.
        queue: u32,
    },
    /// The instance is not a broker: it has no list of servers, or it is draining.
    #[serde(rename = "u")]
    Unavailable {
        /// The lease that was requested.
        id: LeaseId,
    },
    /// The reply to [`ToBroker::Ping`].
    #[serde(rename = "p")]
    Pong,
}
