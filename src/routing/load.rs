//! What is known of a backend server's load: this instance's own requests, exactly; the other
//! instances' requests, as they count them; and the server's own reports. The last two age.

use std::time::{Duration, Instant};

/// Age at which a report counts for half: a few requests' worth of time at the users' rates.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// Age up to which a report's queue is believed: it may be gone after an answer's time or two.
const QUEUE_LIFE: Duration = Duration::from_millis(300);

/// Age up to which the counts of all instances are believed: a few exchanges.
pub(super) const FLEET_COUNT_MAX_AGE: Duration = Duration::from_millis(2000);

/// How long a server counts as crowded after it was beyond its limit: many exchanges, as all instances
/// learn late that it has room again, and at the same time.
const CROWDED_LIFE: Duration = Duration::from_millis(3000);

/// Part of the load at which prompts spill, from which a crowded server stays so: what is sought
/// goes on being sought, and one exchange may happen to count little.
const CROWDED_STAYS: f64 = 0.7;

/// What a backend server says of itself with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// By how much an instance's turn moves on with each exchange: the golden ratio, whose multiples fall evenly into [0, 1).
const TURN_STEP: f64 = 0.618_033_988_75;

/// What all instances had in flight at a server at the last exchange.
#[derive(Debug, Clone, Copy)]
struct FleetCount {
    /// Counts exchanges.
    number: u32,
    all: f64,
    /// This instance's part of it.
    own: u32,
    at: Instant,
}

/// This instance among all that send requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPosition {
    /// Its number, from 0, in an order that is the same everywhere.
    pub number: usize,
    /// All instances, this one included.
    pub instances: usize,
}

/// How much load a backend server should have, in requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBounds {
    /// Load at which prompts go elsewhere.
    pub spill: f64,
    /// Load beyond the operator's bound.
    pub limit: f64,
}

/// A backend server's load as this instance sees it.
#[derive(Debug, Clone, Default)]
pub struct Load {
    own: u32,
    report: Option<(LoadReport, Instant, u32)>,
    fleet: Option<FleetCount>,
    /// When the server was last seen beyond its limit.
    crowded_at: Option<Instant>,
}

impl Load {
    /// Notes a request sent.
    pub fn start_request(&mut self) {
        self.own += 1;
    }

    /// Notes a request ended.
    pub fn finish_request(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes a report; the request that it came with counts as running.
    pub fn report(&mut self, now: Instant, report: LoadReport) {
        self.report = Some((report, now, self.own));
    }

    /// Takes what all instances have in flight, of which `own` is what this one told; returns whether the
    /// server has become crowded.
    pub fn set_fleet_count(
        &mut self,
        now: Instant,
        all: f64,
        own: u32,
        bounds: LoadBounds,
    ) -> bool {
        let was_crowded = self.is_crowded(now);
        let number = self.fleet.map_or(0, |fleet| fleet.number.wrapping_add(1));
        self.fleet = Some(FleetCount { number, all, own, at: now });
        let stays = was_crowded && all >= CROWDED_STAYS * bounds.spill;
        // With few requests, chance alone goes beyond the limit.
        let beyond = all > bounds.limit.max(bounds.spill + bounds.spill.sqrt());
        if beyond || stays {
            self.crowded_at = Some(now);
        }
        beyond && !was_crowded
    }

    /// Returns whether the server was beyond its limit lately.
    pub fn is_crowded(&self, now: Instant) -> bool {
        self.crowded_at.is_some_and(|at| now.saturating_duration_since(at) < CROWDED_LIFE)
    }

    fn fleet(&self, now: Instant) -> Option<FleetCount> {
        self.fleet.filter(|fleet| now.saturating_duration_since(fleet.at) < FLEET_COUNT_MAX_AGE)
    }

    /// Returns the other instances' requests in flight, while that is known.
    pub fn others(&self, now: Instant) -> Option<f64> {
        self.fleet(now).map(|fleet| (fleet.all - f64::from(fleet.own)).max(0.0))
    }

    /// Returns by how many requests the server is under `bound`, as far as is known.
    pub fn headroom(&self, now: Instant, bound: f64, usual: f64) -> f64 {
        bound - self.estimate(now, usual)
    }

    /// Returns how many more requests this instance may send where all send at once, so that they have
    /// `aim` there together: to a crowded server, with prompts that spill from one, or where few places
    /// are free. Nothing may be sent where that is not above zero.
    ///
    /// An instance has what it had at the last exchange, and of the room that there was its part, or it
    /// gives up in proportion to the excess (additive increase, multiplicative decrease). If all went by
    /// the sum alone, they would leave a server together, find it empty together, and come back together.
    /// `phase` in [0, 1) is another one at each instance, so that a part of a request is a whole one at
    /// that part of them.
    pub fn allotment(
        &self,
        now: Instant,
        aim: f64,
        position: FleetPosition,
        phase: f64,
    ) -> Option<f64> {
        let fleet = self.fleet(now)?;
        let own = f64::from(fleet.own);
        if fleet.all <= aim {
            let allotment = own + (aim - fleet.all) / position.instances.max(1) as f64;
            return Some(allotment - phase - f64::from(self.own));
        }
        // Where many have one request each, those whose turn is low would keep it however far the server is beyond its bound.
        let phase = (phase + f64::from(fleet.number) * TURN_STEP).fract();
        Some(own * aim / fleet.all - phase - f64::from(self.own))
    }

    /// Returns this instance's own requests in flight.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Returns how many requests wait at the server, by a report that is still fresh.
    pub fn waiting(&self, now: Instant) -> u32 {
        match self.report {
            Some((report, at, _)) if now.saturating_duration_since(at) < HALF_LIFE => {
                report.waiting
            }
            _ => 0,
        }
    }

    /// Estimates how many requests wait for a place at a server that runs `slots` at once, where all have
    /// `load` in flight there. A server may have them wait for want of memory too, which only it knows.
    pub fn queued(&self, now: Instant, load: f64, slots: u32) -> f64 {
        let counted = (load - f64::from(slots)).max(0.0);
        let reported =
            self.report.filter(|(_, at, _)| now.saturating_duration_since(*at) < QUEUE_LIFE);
        reported.map_or(counted, |(report, _, _)| counted.max(f64::from(report.waiting)))
    }

    /// Estimates requests in flight from all instances; an old report gives way to `usual`.
    pub fn estimate(&self, now: Instant, usual: f64) -> f64 {
        let own = f64::from(self.own);
        if let Some(others) = self.others(now) {
            return own + others;
        }
        let Some((report, at, own_then)) = self.report else { return own.max(usual) };
        let then = f64::from(report.running + report.waiting);
        let since = own - f64::from(own_then);
        let age = now.saturating_duration_since(at).as_secs_f64();
        let trust = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        let reported = (then + since).max(own);
        (trust * reported + (1.0 - trust) * usual).max(own)
    }

    /// Returns the last report's count with its age, for the mean over a service.
    pub fn last_reported(&self) -> Option<f64> {
        self.report.map(|(report, _, _)| f64::from(report.running + report.waiting))
    }
}

/// Returns the load that instances aim at together, so that it stays under `bound`: the counts that they
/// know are of different moments, and their sum strays by about its root.
pub(super) fn aim(bound: f64) -> f64 {
    bound - bound.sqrt()
}
