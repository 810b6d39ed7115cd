//! The time that a request occupies a slot while nearly all slots of its service are taken.
//!
//! Engines run the requests of a batch together, and each takes longer the more there are. When many times the usual
//! requests come, or servers are lost, the time that requests took before says little about what the slots can serve.
//! The aggregator decides by this time once it shows.

use std::time::{Duration, Instant};

use super::service_shares::SlotUsage;

/// Share of the slots from which the time of a request shows how many requests the slots can serve.
const SATURATED_FROM: f64 = 0.9;

/// Number of exchanges that the body of a response must last for its time to count. Of shorter responses the time is
/// mostly that to the head, which includes waits: instances spread short requests by counts that are older than the
/// requests, so that some servers have queues while others have free slots.
const EXCHANGES_MIN: u32 = 2;

/// Time constant with which a new time replaces the former one, in seconds: the counts of one exchange vary by chance.
const FOLLOW_TIME_S: f64 = 0.3;

/// Time constant with which the time is forgotten while slots are free, in seconds. Limits lower the load, so that the
/// slots do not show what they can serve until they are full again; if the time were forgotten at once, the limits
/// would end and begin again.
const FORGET_TIME_S: f64 = 5.0;

/// Time that a request occupies a slot under full load.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SaturatedTime {
    /// Seconds, and when they were last updated.
    known: Option<(f64, Instant)>,
}

impl SaturatedTime {
    /// Records the mean time of responses and the use of the slots; returns the time per request in seconds, at least
    /// `unloaded`, which a request takes while slots are free. Instances exchange counts each `exchange_period`.
    ///
    /// Requests that end per second are the requests in flight divided by the time of each (Little's law), whether or
    /// not both include a queue.
    pub(super) fn note(
        &mut self,
        now: Instant,
        usage: SlotUsage,
        response_time: f64,
        unloaded: f64,
        exchange_period: Duration,
    ) -> f64 {
        if usage.body_time < exchange_period * EXCHANGES_MIN {
            return unloaded;
        }
        let is_saturated = usage.in_flight >= SATURATED_FROM * usage.total;
        let observed = response_time * usage.total / usage.in_flight.max(1.0);
        let seconds = match self.known {
            None if is_saturated => observed,
            None => unloaded,
            Some((seconds, at)) => {
                let elapsed = now.saturating_duration_since(at).as_secs_f64();
                let (target, time) = if is_saturated {
                    (observed, FOLLOW_TIME_S)
                } else {
                    (unloaded, FORGET_TIME_S)
                };
                target + (seconds - target) * (-elapsed / time).exp()
            }
        };
        let seconds = seconds.max(unloaded);
        self.known = (seconds > unloaded).then_some((seconds, now));
        seconds
    }
}
