//! Limits of an instance on requests in flight and on buffered bytes of bodies.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Number of requests in flight and of buffered bytes.
#[derive(Debug, Default)]
pub struct Usage {
    requests: AtomicU32,
    buffered: AtomicU64,
}

/// A request's part of the usage, which is released on drop, also after a panic.
pub struct UsageGuard<'u> {
    usage: &'u Usage,
    bytes: u64,
}

impl Drop for UsageGuard<'_> {
    fn drop(&mut self) {
        self.usage.requests.fetch_sub(1, Ordering::SeqCst);
        self.usage.buffered.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

impl Usage {
    /// Counts a request; returns `None` if `max` requests are in flight already.
    pub fn enter(&self, max: u32) -> Option<UsageGuard<'_>> {
        if self.requests.fetch_add(1, Ordering::SeqCst) >= max {
            self.requests.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        Some(UsageGuard { usage: self, bytes: 0 })
    }

    /// Returns the number of requests in flight.
    pub fn requests(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

impl UsageGuard<'_> {
    /// Reserves `bytes` for a body; returns false if more than `max` bytes would be buffered.
    pub fn reserve(&mut self, bytes: u64, max: u64) -> bool {
        if self.usage.buffered.fetch_add(bytes, Ordering::SeqCst) + bytes > max {
            self.usage.buffered.fetch_sub(bytes, Ordering::SeqCst);
            return false;
        }
        self.bytes += bytes;
        true
    }
}
