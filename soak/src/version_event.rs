//! Events around the listing of a second software version of a service.

use std::time::Duration;

use fastrand::Rng;
use standins::proxy::LinkMode;

use crate::{checks::Checks, fleet::Fleet, processes, resumptions::Resumptions, two_versions};

/// Mixed into a run's seed for these events; with this one the short runs of CI have events of all kinds, alone and mixed.
const SEED_MASK: u64 = 0x7478_17c4;

/// Time for which all instances are down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 300..2000;

/// Time for which an instance is stopped or cut off, in milliseconds.
const ABSENT_MS: std::ops::Range<u64> = 400..3000;

/// When the servers of the first version leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Departure {
    /// Before all instances are killed.
    Before,
    /// While all instances are down.
    Meanwhile,
    /// Not at all.
    Never,
}

/// What happens while servers of two versions are listed, or when those of the second are.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum VersionEvent {
    /// All instances are killed at once and started again after this time.
    KillAll(Departure, Duration),
    /// An instance is stopped with SIGSTOP for this time, across the listing of the second version.
    Stop(usize, Duration),
    /// An instance is cut off from the store instead.
    CutOff(usize, Duration),
}

impl VersionEvent {
    /// Returns the events of a run, one for each service: a kill of all instances, and instances that are stopped or cut
    /// off. Each is applied at a random time or, in one case of two, on its own: the kill at the end, the others at the
    /// start, since an instance whose fleet has just restarted does not take the only version it sees for the only one.
    ///
    /// Uses a generator of its own, so that the other events of a seed do not depend on it.
    pub(crate) fn random(
        seed: u64,
        length: Duration,
        instances: usize,
    ) -> [(Duration, VersionEvent); two_versions::SERVICES] {
        let mut rng = Rng::with_seed(seed ^ SEED_MASK);
        std::array::from_fn(|number| {
            let alone = if number == 0 { length } else { Duration::ZERO };
            let at = if rng.bool() { alone } else { length.mul_f64(rng.f64()) };
            let departures = [Departure::Before, Departure::Meanwhile, Departure::Never];
            let departure = departures[rng.usize(..departures.len())];
            let down = Duration::from_millis(rng.u64(DOWN_MS));
            let instance = rng.usize(..instances);
            let absent = Duration::from_millis(rng.u64(ABSENT_MS));
            let event = match (number, rng.u32(..3)) {
                (0, _) => VersionEvent::KillAll(departure, down),
                (_, 0) => VersionEvent::CutOff(instance, absent),
                _ => VersionEvent::Stop(instance, absent),
            };
            (at, event)
        })
    }

    /// Applies the event at the service with this number, and checks the streams that callers resume meanwhile.
    pub(crate) fn apply(&self, number: usize, fleet: &Fleet, checks: &Checks, mut rng: Rng) {
        let resumptions = Resumptions { fleet, checks, number };
        match *self {
            VersionEvent::KillAll(departure, down) => {
                resumptions.after_kill(&mut rng, departure, down);
            }
            VersionEvent::Stop(instance, time) => {
                let stop = || processes::freeze(fleet, &[instance], time);
                resumptions.after_absence(&mut rng, instance, time, stop);
            }
            VersionEvent::CutOff(instance, time) => {
                let cut_off =
                    || processes::set_store_link(fleet, instance, LinkMode::Blocked, time);
                resumptions.after_absence(&mut rng, instance, time, cut_off);
            }
        }
    }
}
