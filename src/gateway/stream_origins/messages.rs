//! Messages about the software versions at which streams began.
//!
//! For instances of two builds that run side by side, the rules of `gateway::messages` apply.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    names::{ServiceName, SoftwareVersion},
    routing::{RouteShares, SightedVersion, StreamKey, StreamOrigin, StreamRecord},
};

/// Path of these calls.
pub const ORIGIN_PATH: &str = "/origin";

/// Maximum wait for a reply: a small share of a core comes in parts, with pauses of up to 90 ms between them.
pub const ORIGIN_TIMEOUT: Duration = Duration::from_millis(100);

/// The question at which version a stream began, which a caller resumes.
#[derive(Debug, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The stream.
    pub key: StreamKey,
    /// The service at which it is resumed.
    pub service: ServiceName,
    /// The route by which it is resumed, with the shares that lead it there.
    pub shares: RouteShares,
    /// Whether the receiver is to read the registry of versions if it has no record: the sender cannot.
    pub reads_registry: bool,
}

/// The reply to an [`OriginQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginReply {
    /// Where the stream began.
    Began(StreamOrigin),
    /// The stream has no record, and this is the only registered version of the service, as of after the question came. The
    /// route has no other registered shares.
    SoleRegistered(Option<SoftwareVersion>),
    /// The instance does not know.
    Unknown,
}

/// A datagram between instances.
#[derive(Debug, Serialize, Deserialize)]
pub enum StreamDatagram {
    /// Records that the receiver is to hold.
    Records(Vec<StreamRecord>),
    /// Streams whose records the sender holds.
    Confirmed(Vec<StreamKey>),
    /// Versions of services that have several of them in the list that the sender has read.
    Listed(Vec<SightedVersion>),
    /// The sender has started, and holds no records.
    Started,
    /// Records that the receiver is to write to its checkpoint.
    Write(Vec<StreamRecord>),
    /// Streams whose records the sender has written.
    Written(Vec<StreamKey>),
    /// The sender could not write the records that it received, or not in time for first events to wait for it.
    WritesLate,
    /// A stream that its caller has received completely: its record need not be written any more.
    Complete(StreamKey),
}
