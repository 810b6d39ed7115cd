//! How many requests servers run at once, this instance's part of that, and how long a request waits for a place.

use std::time::{Duration, Instant};

use super::{Picker, Tracked};
use crate::names::ServiceName;

impl Picker {
    /// Returns how many requests the servers of a service run at once; 0 where some do not say.
    pub(super) fn slots_of(&self, now: Instant, service: &ServiceName) -> f64 {
        self.slots(now, service).map_or(0.0, |(_, slots)| slots)
    }

    /// Returns whether this instance has a part of the free places of a server, where few are free: if all
    /// saw the same free place, all would take it.
    pub(super) fn has_allotted_slot(&self, now: Instant, tracked: &Tracked) -> bool {
        let Some(slots) = tracked.server.slots else { return true };
        let phase = self.phase(tracked.server.place());
        let allotment = tracked.load.allotment(now, f64::from(slots), self.position, phase);
        allotment.is_none_or(|more| more > 0.0)
    }

    /// Returns how long a request waits for a place at a server with `load` in flight.
    pub(super) fn wait(&self, now: Instant, tracked: &Tracked, load: f64) -> Duration {
        let (Some(admission), Some(slots)) =
            (self.admission.get(&tracked.server.service), tracked.server.slots)
        else {
            return Duration::ZERO;
        };
        // By counts that are older than a request takes, all would leave a server and flood another.
        if !admission.has_recent_counts(now) {
            return Duration::ZERO;
        }
        admission.wait(tracked.load.queued(now, load, slots), slots)
    }
}
