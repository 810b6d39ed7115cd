//! Control traffic: what it is for, and who is told its bytes.

use std::sync::Arc;

/// What control traffic is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Asks for permits, releases, late grants.
    Permits,
    /// Heartbeats.
    Heartbeat,
    /// Loads among homes.
    Loads,
    /// Where chats went, told to replicas of homes' memory.
    ChatLocations,
    /// Files in force, among instances.
    Config,
    /// Exchanges with the platform.
    Platform,
    /// Probes of backend servers.
    Probe,
    /// Operators' questions passed on.
    Operators,
}

impl Purpose {
    /// Every purpose.
    pub const ALL: [Purpose; 8] = [
        Purpose::Permits,
        Purpose::Heartbeat,
        Purpose::Loads,
        Purpose::ChatLocations,
        Purpose::Config,
        Purpose::Platform,
        Purpose::Probe,
        Purpose::Operators,
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
        }
    }
}

/// Which way bytes went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From this instance.
    Sent,
    /// To this instance.
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

type Count = dyn Fn(Purpose, Direction, usize) + Send + Sync;

/// Is told the bytes of every message on a link, heads included; clones tell the same listener.
#[derive(Clone)]
pub struct TrafficCounter(Arc<Count>);

impl TrafficCounter {
    /// Returns a counter that hands everything to `count`.
    pub fn new(
        count: impl Fn(Purpose, Direction, usize) + Send + Sync + 'static,
    ) -> TrafficCounter {
        TrafficCounter(Arc::new(count))
    }

    /// Notes the bytes of one message sent.
    pub fn count_sent(&self, purpose: Purpose, bytes: usize) {
        (self.0)(purpose, Direction::Sent, bytes);
    }

    /// Notes the bytes of one message received.
    pub fn count_received(&self, purpose: Purpose, bytes: usize) {
        (self.0)(purpose, Direction::Received, bytes);
    }
}
