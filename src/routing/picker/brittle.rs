//! Keeps requests from brittle servers that have no room for them.

use std::time::{Duration, Instant};

use super::{Picker, Tracked};
use crate::routing::{Incarnation, PickRequest, RejectionLimit, brittleness::RejectionPause};

/// Number of standard deviations of a load by which the target stays below the slots of a brittle server.
const TARGET_DEVIATIONS: f64 = 0.4;

/// Returns the load that the instances target together at a brittle server: the sum of what they have in flight between
/// two exchanges deviates from it, and what exceeds the slots is rejected.
fn target_load(slots: f64) -> f64 {
    slots - TARGET_DEVIATIONS * slots.sqrt()
}

impl Picker {
    /// Records whether a response of a server says that the server is brittle; returns whether that is new.
    pub fn note_brittle(
        &mut self,
        now: Instant,
        id: &Incarnation,
        limit: Option<RejectionLimit>,
    ) -> bool {
        self.servers.get_mut(id).is_some_and(|tracked| tracked.brittleness.note(now, limit))
    }

    /// Records that a server has rejected a request for lack of room. Returns how long a brittle one gets no further
    /// request of this instance; where that has to hold for all, the others receive it as a backoff.
    pub fn note_rejected(&mut self, now: Instant, id: &Incarnation) -> Option<Duration> {
        let instances = self.position.instances;
        let tracked = self.servers.get_mut(id)?;
        let RejectionPause { pause, is_shared } =
            tracked.brittleness.note_rejected(now, instances)?;
        if is_shared {
            tracked.notice.extend_backoff(now, pause);
        }
        Some(pause)
    }

    /// Returns whether a server is brittle, and is paused or has no free slot that this instance is allotted.
    pub(super) fn is_brittle_and_full(&self, now: Instant, tracked: &Tracked) -> bool {
        if !tracked.brittleness.is_brittle(now) {
            return false;
        }
        tracked.brittleness.is_paused(now) || !self.has_room(now, tracked)
    }

    fn has_room(&self, now: Instant, tracked: &Tracked) -> bool {
        let Some(slots) = tracked.server.slots else { return true };
        let phase = self.phase(tracked.server.stable_tag());
        let target = target_load(f64::from(slots));
        let allotment = tracked.load.alternating_allotment(now, target, self.position, phase);
        allotment.is_none_or(|more| more > 0.0)
    }

    /// Returns whether a request may find no server because the brittle ones that could serve it are full.
    pub(super) fn has_full_brittle(&self, now: Instant, request: &PickRequest<'_>) -> bool {
        let mut possible =
            self.servers_of(request.service).filter(|t| self.may_serve(&t.server, request));
        possible.any(|t| self.is_brittle_and_full(now, t))
    }
}
