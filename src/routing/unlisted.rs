//! Notices of backend servers that are not in the list.
//!
//! The entry of a server may expire during an outage of its store, and a response may arrive after the server was
//! removed from the list.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Incarnation, Notice};

/// How long the notice of an unlisted server is kept: entries that expire in an outage are back within seconds of its
/// end, and outages last minutes at most.
const UNLISTED_TTL: Duration = Duration::from_secs(600);

/// Notices of servers that are not listed, with the time of the last change.
#[derive(Debug, Default)]
pub struct UnlistedNotices(IndexMap<Incarnation, (Instant, Notice)>);

impl UnlistedNotices {
    /// Keeps the notice of a server that is no longer listed, unless it is empty.
    pub fn keep(&mut self, now: Instant, id: Incarnation, notice: Notice) {
        if notice != Notice::default() {
            self.0.insert(id, (now, notice));
        }
    }

    /// Returns the notice of a server that is not listed, to update it.
    pub fn entry(&mut self, now: Instant, id: &Incarnation) -> &mut Notice {
        let (at, notice) = self.0.entry(id.clone()).or_insert((now, Notice::default()));
        *at = now;
        notice
    }

    /// Returns the notice of a server that is not listed.
    pub fn get(&self, id: &Incarnation) -> Notice {
        self.0.get(id).map_or_else(Notice::default, |(_, notice)| *notice)
    }

    /// Removes and returns the notice of a server that is listed again.
    pub fn take(&mut self, id: &Incarnation) -> Notice {
        self.0.swap_remove(id).map_or_else(Notice::default, |(_, notice)| notice)
    }

    /// Removes notices of servers that have been unlisted for too long.
    pub fn prune(&mut self, now: Instant) {
        self.0.retain(|_, (at, _)| now.saturating_duration_since(*at) < UNLISTED_TTL);
    }
}
