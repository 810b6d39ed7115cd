//! The time that a request occupies a slot, without the time that it waits for one, as the aggregator estimates it for
//! the capacity of a service.
//!
//! It handles the onset of an overload, at which the mean time that instances report includes growing waits. The mean
//! itself is `AdmissionControl::slot_time`; a slot broker sees leases begin and end and needs no such estimate.

use std::time::Instant;

/// Time constant with which a longer slot time is accepted, in seconds. Response times of short requests include their
/// waits, which grow as soon as an overload begins: capacity would seem to shrink just then. Servers that have become
/// slower are followed within half a minute; until then admission control limits what they get.
const RISE_TIME_S: f64 = 30.0;

/// Smallest recent service time of requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceTime {
    seconds: f64,
    at: Instant,
}

impl ServiceTime {
    /// Starts with a measured time, in seconds.
    pub(super) fn new(now: Instant, seconds: f64) -> ServiceTime {
        ServiceTime { seconds, at: now }
    }

    /// Records a measured time and returns the smallest recent one, both in seconds.
    pub(super) fn note(&mut self, now: Instant, seconds: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.seconds = seconds.min(self.seconds * (elapsed / RISE_TIME_S).exp());
        self.seconds
    }
}
