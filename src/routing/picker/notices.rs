//! Applies the notices that servers send in their responses, also while the servers are not listed.
//!
//! Every further request to a server that is leaving, or that rejects requests and states a backoff, is lost or costs a
//! retry.

use std::time::{Duration, Instant};

use super::Picker;
use crate::routing::{Incarnation, Notice, PickRequest};

impl Picker {
    /// Returns the notice of a server, to update it.
    fn notice_of(&mut self, now: Instant, id: &Incarnation) -> &mut Notice {
        match self.servers.get_mut(id) {
            Some(tracked) => &mut tracked.notice,
            None => self.unlisted.entry(now, id),
        }
    }

    /// Records the notice of a server that it is leaving; returns whether that is new.
    pub fn note_leaving(&mut self, now: Instant, id: &Incarnation) -> bool {
        let notice = self.notice_of(now, id);
        let was_leaving = notice.is_leaving();
        notice.set_leaving();
        !was_leaving
    }

    /// Records the notice of a server that it requests a backoff of `time`; returns whether it had no backoff before.
    pub fn note_backoff(&mut self, now: Instant, id: &Incarnation, time: Duration) -> bool {
        let notice = self.notice_of(now, id);
        let had_backoff = notice.backoff_left(now).is_some();
        notice.extend_backoff(now, time);
        !had_backoff
    }

    /// Returns whether a server that has been picked must not be sent requests: it is no longer listed or leaves, or a
    /// notice has been received since.
    pub fn forbids_requests(&self, now: Instant, id: &Incarnation) -> bool {
        !self.servers.contains_key(id) || self.notice(id).forbids_requests(now)
    }

    /// Returns the notice of a server. A server that the list has as leaving counts as having said so.
    pub fn notice(&self, id: &Incarnation) -> Notice {
        let Some(tracked) = self.servers.get(id) else { return self.unlisted.get(id) };
        let mut notice = tracked.notice;
        if tracked.server.leaving {
            notice.set_leaving();
        }
        notice
    }

    /// Returns the time until the first backoff ends, if all servers that a request could use have requested one.
    pub(super) fn backoff_left(&self, now: Instant, request: &PickRequest<'_>) -> Option<Duration> {
        if !request.denied.is_empty() {
            return None;
        }
        let possible = self
            .servers_of(request.service)
            .filter(|t| self.is_available(t) && self.may_serve(&t.server, request));
        possible.filter_map(|t| t.notice.backoff_left(now)).min()
    }
}
