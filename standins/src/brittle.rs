//! A server that falls over when it has to reject too many requests.

use std::time::{Duration, Instant};

/// Time over which the rejections of a brittle server are counted.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// How long a brittle server that has fallen over is down.
const FALL_TIME: Duration = Duration::from_millis(1500);

/// A server that falls over when it has to reject more requests in a second than a limit.
#[derive(Debug)]
pub struct Brittle {
    /// Rejections in a second that the server bears.
    pub limit: u32,
    /// Times of the rejections in the last second.
    rejections: Vec<Instant>,
    /// How often the server has fallen over.
    pub falls: u32,
    /// How many requests it has rejected.
    pub rejected: usize,
    /// Until when the server is down.
    down_until: Option<Instant>,
}

impl Brittle {
    /// Returns a server that bears `limit` rejections in a second.
    pub fn new(limit: u32) -> Brittle {
        Brittle { limit, rejections: Vec::new(), falls: 0, rejected: 0, down_until: None }
    }

    /// Returns whether the server is down.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Counts a rejection, of which the server may fall over.
    pub fn reject(&mut self, now: Instant) {
        self.rejections.retain(|&at| now.saturating_duration_since(at) < REJECTION_WINDOW);
        self.rejections.push(now);
        self.rejected += 1;
        if self.rejections.len() > self.limit as usize {
            self.falls += 1;
            self.rejections.clear();
            self.down_until = Some(now + FALL_TIME);
        }
    }
}
