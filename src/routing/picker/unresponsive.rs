//! Excludes servers that are unresponsive or unreachable, and reports them to the other instances.
//!
//! Without this, every request to such a server would have to time out there by itself; with it, a few detect the
//! failure and the others use other servers. Servers that request a backoff are reported in the same way.

use std::time::Instant;

use indexmap::IndexMap;

use super::{Picker, Tracked};
use crate::{
    names::{ServiceName, Tag},
    routing::Incarnation,
};

/// Most unresponsive servers that an instance reports: several times as many as a rack has. If a whole zone is lost,
/// the list of servers shows that within a few heartbeats, and thousands of tags from each instance would saturate the
/// links.
const REPORTED_MAX: usize = 64;

impl Picker {
    /// Records a request at `id` that has received no byte for longer than nearly all requests do; returns whether the
    /// server counts as unresponsive from now on.
    pub fn note_stall(&mut self, now: Instant, id: &Incarnation) -> bool {
        let Some(service) = self.servers.get(id).map(|t| t.server.service.clone()) else {
            return false;
        };
        if self.may_pause(now, &service) {
            return self.servers.get_mut(id).is_some_and(|t| t.health.note_stall(now));
        }
        self.note_failure(now, id);
        false
    }

    /// Returns whether one more server of a service may be paused as unresponsive: if most are, the whole service is
    /// slow, and the few remaining servers would get all requests.
    fn may_pause(&self, now: Instant, service: &ServiceName) -> bool {
        let servers = || self.servers_of(service);
        let paused = servers().filter(|t| t.health.is_paused(now)).count();
        (paused + 1) * 2 <= servers().count()
    }

    /// Records that a request that counted as stalled at `id` has received a response after all.
    pub fn clear_stall(&mut self, now: Instant, id: &Incarnation) {
        self.update(id, |t| t.health.clear_stall(now));
    }

    /// Returns the servers that this instance sends nothing to because they are unresponsive, unreachable or have
    /// requested a backoff, to report them to the other instances. Omits servers whose path is in doubt, and services of
    /// which most servers are affected: in that case this instance is probably cut off.
    pub fn own_unresponsive(&self, now: Instant) -> Vec<Tag> {
        let mut services: IndexMap<&ServiceName, (usize, Vec<Tag>)> = IndexMap::new();
        for tracked in self.servers.values() {
            let (count, paused) = services.entry(&tracked.server.service).or_default();
            *count += 1;
            // Unless backoffs are reported, each instance is rejected by each of these servers and spends a retry.
            let backs_off = tracked.notice.backoff_left(now).is_some();
            let is_paused = tracked.health.is_paused_locally(now);
            if backs_off || is_paused && !self.reachability.is_path_in_doubt(&tracked.server.id) {
                paused.push(tracked.server.tag());
            }
        }
        let is_minority = |(count, paused): &(usize, Vec<Tag>)| paused.len() * 2 <= *count;
        let reported = services.into_values().filter(is_minority).flat_map(|(_, paused)| paused);
        reported.take(REPORTED_MAX).collect()
    }

    /// Applies reports of other instances that servers are unresponsive.
    pub fn note_reported_unresponsive(&mut self, now: Instant, reported: &[Tag]) {
        let is_reported = |t: &&Tracked| reported.contains(&t.server.tag());
        let ids: Vec<Incarnation> =
            self.servers.values().filter(is_reported).map(|t| t.server.id.clone()).collect();
        for id in ids {
            let Some(tracked) = self.servers.get(&id) else { continue };
            let was_paused = tracked.health.is_paused(now);
            if was_paused || self.may_pause(now, &tracked.server.service) {
                self.update(&id, |t| t.health.note_reported_unresponsive(now));
            }
        }
    }

    /// Records that a server could not be reached.
    pub fn note_unreachable(&mut self, now: Instant, id: &Incarnation) {
        self.update(id, |t| t.health.note_unreachable(now));
    }
}
