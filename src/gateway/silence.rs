//! A server's silence towards one request, as evidence against the server long before the request's own
//! time is over.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use super::Gateway;
use crate::{routing::Incarnation, utils::sync::lock};

/// How late a wait may end for its silence to count: later, this instance itself stood still or is short of
/// processor time, and the answer may be there.
const LATE_MAX: Duration = Duration::from_millis(100);

/// A wait for a server's next bytes.
pub struct Silence<'g> {
    gateway: &'g Gateway,
    server: &'g Incarnation,
    /// When the silence speaks against the server.
    from: Option<Instant>,
    looked: Cell<bool>,
    counted: Cell<bool>,
}

impl<'g> Silence<'g> {
    /// Returns a wait that speaks against `server` from `from` on; `None` where no wait does.
    pub fn new(
        gateway: &'g Gateway,
        server: &'g Incarnation,
        from: Option<Instant>,
    ) -> Silence<'g> {
        Silence { gateway, server, from, looked: Cell::new(false), counted: Cell::new(false) }
    }

    /// Returns when to look next, at `end` at the latest.
    pub fn until(&self, end: Instant) -> Instant {
        match self.from {
            Some(from) if !self.looked.get() => from.min(end),
            _ => end,
        }
    }

    /// Counts the silence if it is time.
    pub fn look(&self) {
        let now = self.gateway.clock.now();
        let Some(from) = self.from else { return };
        if now < from || self.looked.replace(true) {
            return;
        }
        if now.saturating_duration_since(from) > LATE_MAX {
            return;
        }
        self.counted.set(true);
        if lock(&self.gateway.picker).note_stall(now, self.server) {
            log::info!("event=server_silent server={}", self.server);
        }
    }

    /// Notes that bytes have come.
    pub fn ended(&self) {
        if self.counted.get() {
            lock(&self.gateway.picker).clear_stall(self.gateway.clock.now(), self.server);
        }
    }

    /// Returns whether the silence has counted against the server.
    pub fn has_counted(&self) -> bool {
        self.counted.get()
    }
}
