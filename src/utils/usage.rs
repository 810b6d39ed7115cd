//! Use of an instance's limits: requests in flight and bytes of bodies held.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Requests in flight and bytes held.
#[derive(Debug, Default)]
pub struct Usage {
    requests: AtomicU32,
    buffered: AtomicU64,
}

/// A request's hold on the limits; given back on drop, also on a panic.
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
    /// Takes a request's place; `None` when there is none.
    pub fn enter(&self, most: u32) -> Option<UsageGuard<'_>> {
        if self.requests.fetch_add(1, Ordering::SeqCst) >= most {
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
    /// Takes room for `bytes` of a body; false when there is none.
    pub fn reserve(&mut self, bytes: u64, most: u64) -> bool {
        if self.usage.buffered.fetch_add(bytes, Ordering::SeqCst) + bytes > most {
            self.usage.buffered.fetch_sub(bytes, Ordering::SeqCst);
            return false;
        }
        self.bytes += bytes;
        true
    }
}
