//! Counting of control traffic by purpose and direction.

use std::sync::Arc;

/// Purpose of control traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Permit requests, releases and late grants.
    Permits,
    /// Heartbeats between instances.
    Heartbeat,
    /// Load reports between instances.
    Loads,
    /// Chat locations, sent to replicas of homes.
    ChatLocations,
    /// Configuration sent between instances.
    Config,
    /// Calls to the platform.
    Platform,
    /// Probes of backend servers.
    Probe,
    /// Operators' requests, forwarded to other instances.
    Operators,
    /// Slot leases of small services.
    Slots,
    /// Versions at which streams began.
    Streams,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Purpose; 10] = [
        Purpose::Permits,
        Purpose::Heartbeat,
        Purpose::Loads,
        Purpose::ChatLocations,
        Purpose::Config,
        Purpose::Platform,
        Purpose::Probe,
        Purpose::Operators,
        Purpose::Slots,
        Purpose::Streams,
    ];

    /// Returns the purpose's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Permits => "permits",
            Purpose::Heartbeat => "heartbeat",
            Purpose::Loads => "loads",
            Purpose::ChatLocations => "memory",
            Purpose::Config => "config",
            Purpose::Platform => "platform",
            Purpose::Probe => "probe",
            Purpose::Operators => "operators",
            Purpose::Slots => "slots",
            Purpose::Streams => "streams",
        }
    }
}

/// Direction of traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Sent by this instance.
    Sent,
    /// Received by this instance.
    Received,
}

impl Direction {
    /// Returns the direction's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Direction::Sent => "sent",
            Direction::Received => "received",
        }
    }
}

type Recorder = dyn Fn(Purpose, Direction, usize) + Send + Sync;

/// Counter of the bytes of every message, including heads. Clones share the same counter.
#[derive(Clone)]
pub struct TrafficCounter(Arc<Recorder>);

impl TrafficCounter {
    /// Returns a counter that calls `count` for every message.
    pub fn new(
        count: impl Fn(Purpose, Direction, usize) + Send + Sync + 'static,
    ) -> TrafficCounter {
        TrafficCounter(Arc::new(count))
    }

    /// Counts the bytes of one sent message.
    pub fn count_sent(&self, purpose: Purpose, bytes: usize) {
        (self.0)(purpose, Direction::Sent, bytes);
    }

    /// Counts the bytes of one received message.
    pub fn count_received(&self, purpose: Purpose, bytes: usize) {
        (self.0)(purpose, Direction::Received, bytes);
    }
}
