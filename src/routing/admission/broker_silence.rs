//! Detects a broker that does not respond: one that is frozen or partitioned keeps its connections open.
//!
//! Each instance decides this for itself, from the messages of its own stream to the broker.

use std::time::{Duration, Instant};

/// Time within which a broker sends something after it was sent a message: several round trips between zones plus a
/// scheduling delay on a slow processor.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);

/// The messages of one stream to a broker, as far as they show whether it responds.
#[derive(Debug, Clone, Copy)]
pub struct BrokerSilence {
    /// When the last message arrived.
    heard_at: Instant,
    /// When the first message was sent that the broker has not responded to.
    unanswered_since: Option<Instant>,
}

impl BrokerSilence {
    /// Returns the state of a new stream.
    pub fn new(now: Instant) -> BrokerSilence {
        BrokerSilence { heard_at: now, unanswered_since: None }
    }

    /// Records a message to which the broker responds at once.
    pub fn note_sent(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records a message of the broker.
    pub fn note_received(&mut self, now: Instant) {
        self.heard_at = now;
        self.unanswered_since = None;
    }

    /// Returns whether the broker does not respond.
    pub fn is_silent(&self, now: Instant) -> bool {
        let unanswered = |since| now.saturating_duration_since(since) >= RESPONSE_TIMEOUT;
        self.unanswered_since.is_some_and(unanswered)
    }

    /// Returns whether to ask the broker for a sign of life, while a request waits in its queue.
    pub fn needs_ping(&self, now: Instant) -> bool {
        let quiet = now.saturating_duration_since(self.heard_at);
        self.unanswered_since.is_none() && quiet >= RESPONSE_TIMEOUT
    }
}
