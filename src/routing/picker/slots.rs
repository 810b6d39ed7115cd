//! Slots of servers, this instance's part of them, and the expected wait for one.

use std::time::{Duration, Instant};

use super::{Picker, Tracked};
use crate::names::ServiceName;

impl Picker {
    /// Returns the total number of slots of a service's servers; 0 if some do not report it.
    pub(super) fn slots_of(&self, now: Instant, service: &ServiceName) -> f64 {
        self.slots(now, service).map_or(0.0, |(_, slots)| slots)
    }

    /// Returns whether this instance is allotted one of the few free slots of a server: without allotments, all
    /// instances would use the same free slot.
    pub(super) fn has_allotted_slot(&self, now: Instant, tracked: &Tracked) -> bool {
        let Some(slots) = tracked.server.slots else { return true };
        let phase = self.phase(tracked.server.stable_tag());
        let allotment = tracked.load.allotment(now, f64::from(slots), self.position, phase);
        allotment.is_none_or(|more| more > 0.0)
    }

    /// Returns how long a request waits for a slot at a server with `load` in flight.
    pub(super) fn wait(&self, now: Instant, tracked: &Tracked, load: f64) -> Duration {
        let (Some(admission), Some(slots)) =
            (self.admission.get(&tracked.server.service), tracked.server.slots)
        else {
            return Duration::ZERO;
        };
        // By counts older than the duration of a request, all instances would leave one server and overload another.
        if !admission.has_recent_counts(now) {
            return Duration::ZERO;
        }
        admission.wait(tracked.load.queued(now, load, slots.get()), slots.get())
    }
}
