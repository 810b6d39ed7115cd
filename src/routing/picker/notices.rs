//! Heeds what servers say of themselves in their answers, also while they are not listed.
//!
//! Answers the load on a server that leaves, or that turns requests away and says for how long: each further request there
//! is lost, or spends a repeat.

use std::time::{Duration, Instant};

use super::Picker;
use crate::routing::{Incarnation, Notice, PickRequest};

impl Picker {
    /// Returns what a server has said of itself, to add to it.
    fn notice_of(&mut self, now: Instant, id: &Incarnation) -> &mut Notice {
        match self.servers.get_mut(id) {
            Some(tracked) => &mut tracked.notice,
            None => self.unlisted.entry(now, id),
        }
    }

    /// Notes that a server said in an answer that it leaves; returns whether that is new.
    pub fn note_leaving(&mut self, now: Instant, id: &Incarnation) -> bool {
        let notice = self.notice_of(now, id);
        let known = notice.is_leaving();
        notice.set_leaving();
        !known
    }

    /// Notes that a server said in an answer that it wants no requests for `time`; returns whether it wanted some
    /// until now.
    pub fn note_backoff(&mut self, now: Instant, id: &Incarnation, time: Duration) -> bool {
        let notice = self.notice_of(now, id);
        let known = notice.backoff_left(now).is_some();
        notice.extend_backoff(now, time);
        !known
    }

    /// Returns whether a server that has been picked is not to be sent to after all, since it has said so meanwhile.
    pub fn forbids_requests(&self, now: Instant, id: &Incarnation) -> bool {
        let listed = self.servers.get(id).map(|tracked| tracked.notice);
        listed.unwrap_or_else(|| self.unlisted.get(id)).forbids_requests(now)
    }

    /// Returns when the first server takes requests again, where all that a request may go to want none for a while.
    pub(super) fn backoff_left(&self, now: Instant, request: &PickRequest<'_>) -> Option<Duration> {
        if !request.denied.is_empty() {
            return None;
        }
        let possible = self
            .servers_of(request.service)
            .filter(|t| self.is_available(t) && self.is_in_home_region(&t.server, request));
        possible.filter_map(|t| t.notice.backoff_left(now)).min()
    }
}
