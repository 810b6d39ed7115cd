//! Passes over servers that are silent or cannot be reached, and tells the other instances of them.
//!
//! Answers the load of requests that would each wait in vain: some find out, and the others go elsewhere. Servers that want
//! no requests for a while are told of in the same way.

use std::time::Instant;

use indexmap::IndexMap;

use super::{Picker, Tracked};
use crate::{
    names::{ServiceName, Tag},
    routing::Incarnation,
};

/// Most silent servers that an instance tells of: a rack's, several times. If a whole zone is lost, the list
/// of servers says so within some heartbeats, and thousands of tags from each instance would fill the links.
const SILENT_TOLD: usize = 64;

impl Picker {
    /// Notes a request at `id` that has waited for a byte for longer than nearly all do; returns whether
    /// the server has come to count as silent.
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

    /// Returns whether one more server of a service may be paused for its silence: where most are silent,
    /// the whole service is slow, and the few that are left would get all requests.
    fn may_pause(&self, now: Instant, service: &ServiceName) -> bool {
        let servers = || self.servers_of(service);
        let paused = servers().filter(|t| t.health.is_paused(now)).count();
        (paused + 1) * 2 <= servers().count()
    }

    /// Notes that a request that counted as waiting in vain at `id` was answered after all.
    pub fn clear_stall(&mut self, now: Instant, id: &Incarnation) {
        self.with(id, |t| t.health.clear_stall(now));
    }

    /// Returns the servers that nothing is sent to since they are silent, cannot be reached, or want no requests for
    /// a while, for the other instances; none where that is most of a service, as then it is rather this instance
    /// that is cut off.
    pub fn own_unresponsive(&self, now: Instant) -> Vec<Tag> {
        let mut services: IndexMap<&ServiceName, (usize, Vec<Tag>)> = IndexMap::new();
        for tracked in self.servers.values() {
            let (count, paused) = services.entry(&tracked.server.service).or_default();
            *count += 1;
            // Else each instance would be turned away by each of them, and spend a repeat.
            let backs_off = tracked.notice.backoff_left(now).is_some();
            if backs_off || tracked.health.is_paused_locally(now) {
                paused.push(tracked.server.tag());
            }
        }
        let few = |(count, paused): &(usize, Vec<Tag>)| paused.len() * 2 <= *count;
        let told = services.into_values().filter(few).flat_map(|(_, paused)| paused);
        told.take(SILENT_TOLD).collect()
    }

    /// Takes the word of other instances that servers are silent.
    pub fn note_reported_unresponsive(&mut self, now: Instant, silent: &[Tag]) {
        let told = |t: &&Tracked| silent.contains(&t.server.tag());
        let ids: Vec<Incarnation> =
            self.servers.values().filter(told).map(|t| t.server.id.clone()).collect();
        for id in ids {
            let Some(tracked) = self.servers.get(&id) else { continue };
            let known = tracked.health.is_paused(now);
            if known || self.may_pause(now, &tracked.server.service) {
                self.with(&id, |t| t.health.note_reported_unresponsive(now));
            }
        }
    }

    /// Notes that a server could not be reached.
    pub fn note_unreachable(&mut self, now: Instant, id: &Incarnation) {
        self.with(id, |t| t.health.note_unreachable(now));
    }
}
