//! Counts a stalled request as evidence against its backend server, long before the request itself times out.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use super::Gateway;
use crate::{routing::BackendServer, utils::sync::lock};

/// How late the check may run for a stall to count. After a longer delay this instance itself was suspended or short of
/// processor time, and the response may have arrived unread.
const CHECK_DELAY_MAX: Duration = Duration::from_millis(100);

/// A wait for the next bytes of a server's response.
pub struct StallTimer<'g> {
    gateway: &'g Gateway,
    server: &'g BackendServer,
    /// Whether the server is reached by a connection of this instance.
    is_direct: bool,
    /// When the wait becomes a stall.
    stalls_at: Option<Instant>,
    checked: Cell<bool>,
    counted: Cell<bool>,
}

impl<'g> StallTimer<'g> {
    /// Starts a wait that counts against `server` from `stalls_at` on; with `None` it never counts.
    pub fn new(
        gateway: &'g Gateway,
        server: &'g BackendServer,
        is_direct: bool,
        stalls_at: Option<Instant>,
    ) -> StallTimer<'g> {
        StallTimer {
            gateway,
            server,
            is_direct,
            stalls_at,
            checked: Cell::new(false),
            counted: Cell::new(false),
        }
    }

    /// Returns when to call [`StallTimer::check`] next, at most `end`.
    pub fn next_check(&self, end: Instant) -> Instant {
        match self.stalls_at {
            Some(stalls_at) if !self.checked.get() => stalls_at.min(end),
            _ => end,
        }
    }

    /// Counts the stall if it is due.
    pub fn check(&self) {
        let now = self.gateway.clock.now();
        let Some(stalls_at) = self.stalls_at else { return };
        if now < stalls_at || self.checked.replace(true) {
            return;
        }
        if now.saturating_duration_since(stalls_at) > CHECK_DELAY_MAX {
            return;
        }
        let server = &self.server.id;
        let mut picker = lock(&self.gateway.picker);
        if self.is_direct && picker.is_unreached(server) {
            // The path is silent, not the server.
            return;
        }
        self.counted.set(true);
        if picker.note_stall(now, server) {
            log::info!("event=server_silent server={server}");
            if self.is_direct {
                picker.suspect_path(server);
                drop(picker);
                self.gateway.path_probes.start();
            }
        }
    }

    /// Ends the wait: bytes have arrived.
    pub fn finish(&self) {
        if self.counted.get() {
            lock(&self.gateway.picker).clear_stall(self.gateway.clock.now(), &self.server.id);
        }
    }

    /// Returns whether the stall has counted against the server.
    pub fn has_counted(&self) -> bool {
        self.counted.get()
    }
}
