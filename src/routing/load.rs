//! Load of a backend server, from three sources: this instance's own requests in flight, which are exact; the counts
//! of the other instances; and the server's own reports. The last two become outdated.

use std::time::{Duration, Instant};

/// Age at which a server's report has half of its weight: the duration of a few requests at usual request rates.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1500);

/// Age up to which the queue length of a report is used: the queue may have drained after one or two responses.
const QUEUE_MAX_AGE: Duration = Duration::from_millis(300);

/// Age up to which the counts of all instances are used: a few exchanges.
pub(super) const FLEET_COUNT_MAX_AGE: Duration = Duration::from_millis(2000);

/// How long a server counts as crowded after its load was over the limit: many exchanges, because the instances learn
/// late, and all at the same time, that it has headroom again.
const CROWDED_DURATION: Duration = Duration::from_millis(3000);

/// Share of the limit from which a crowded server stays crowded: demand for a popular prompt persists, while a single
/// exchange may count few requests by chance.
const STAYS_CROWDED_SHARE: f64 = 0.6;

/// Load that a backend server reports in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the server is running.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
}

impl LoadReport {
    /// Returns the requests that the server has taken.
    fn taken(&self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }
}

/// Change of an instance's phase per exchange: the golden ratio, whose multiples are distributed evenly over [0, 1).
const PHASE_STEP: f64 = 0.618_033_988_75;

/// Requests that all instances had in flight at a server at the last exchange.
#[derive(Debug, Clone, Copy)]
struct FleetCount {
    /// Number of the exchange.
    exchange: u32,
    all: f64,
    /// Requests of this instance among them.
    own: u32,
    at: Instant,
}

/// Position of this instance among all that send requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPosition {
    /// Index from 0, in an order that is the same at all instances.
    pub number: usize,
    /// Number of instances, including this one.
    pub instances: usize,
}

/// Load of a backend server as observed by this instance.
#[derive(Debug, Clone, Default)]
pub struct Load {
    own: u32,
    report: Option<(LoadReport, Instant, u32)>,
    fleet: Option<FleetCount>,
    /// Last time when the load was over the limit.
    crowded_at: Option<Instant>,
}

impl Load {
    /// Counts a request that is sent.
    pub fn start_request(&mut self) {
        self.own += 1;
    }

    /// Counts a request that has ended.
    pub fn finish_request(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Records a report. The request whose response carried it counts as running.
    pub fn report(&mut self, now: Instant, report: LoadReport) {
        self.report = Some((report, now, self.own));
    }

    /// Sets the requests in flight of all instances, of which this instance reported `own`; returns whether the server
    /// has become crowded, that is, clearly exceeds `limit`.
    pub fn set_fleet_count(&mut self, now: Instant, all: f64, own: u32, limit: f64) -> bool {
        let was_crowded = self.is_crowded(now);
        let exchange = self.fleet.map_or(0, |fleet| fleet.exchange.wrapping_add(1));
        self.fleet = Some(FleetCount { exchange, all, own, at: now });
        let stays_crowded = was_crowded && all >= STAYS_CROWDED_SHARE * limit;
        // With few requests, random variation alone exceeds the limit.
        let over_limit = all > limit + limit.sqrt();
        if over_limit || stays_crowded {
            self.crowded_at = Some(now);
        }
        over_limit && !was_crowded
    }

    /// Returns whether the load was over the limit recently.
    pub fn is_crowded(&self, now: Instant) -> bool {
        self.crowded_at.is_some_and(|at| now.saturating_duration_since(at) < CROWDED_DURATION)
    }

    fn fleet(&self, now: Instant) -> Option<FleetCount> {
        self.fleet.filter(|fleet| now.saturating_duration_since(fleet.at) < FLEET_COUNT_MAX_AGE)
    }

    /// Returns the other instances' requests in flight, unless the last count is too old.
    pub fn others(&self, now: Instant) -> Option<f64> {
        self.fleet(now).map(|fleet| (fleet.all - f64::from(fleet.own)).max(0.0))
    }

    /// Returns by how many requests the estimated load is under `bound`.
    pub fn headroom(&self, now: Instant, bound: f64, fallback: f64) -> f64 {
        bound - self.estimate(now, fallback)
    }

    /// Returns how many more requests this instance may send if all instances do the same, so that together they have
    /// `target` in flight at the server. Used for a crowded server, for prompts that spill from one, and where few
    /// slots are free. The instance may send nothing if the result is not above zero.
    ///
    /// The allotment is what the instance had in flight at the last exchange, plus its part of the headroom at that
    /// time, or, over the target, reduced in proportion to the excess (additive increase, multiplicative decrease). If
    /// the instances decided by the sum alone, all would leave a server together, find it empty together, and return
    /// together. `phase`, in [0, 1), differs between the instances, so that a fraction of a request becomes a whole
    /// request at that fraction of them.
    pub fn allotment(
        &self,
        now: Instant,
        target: f64,
        position: FleetPosition,
        phase: f64,
    ) -> Option<f64> {
        let fleet = self.fleet(now)?;
        let own = f64::from(fleet.own);
        if fleet.all <= target {
            let allotment = own + (target - fleet.all) / position.instances.max(1) as f64;
            return Some(allotment - phase - f64::from(self.own));
        }
        // If many instances have one request each, those with a low phase would otherwise keep it however far the load
        // exceeds the bound.
        let phase = (phase + f64::from(fleet.exchange) * PHASE_STEP).fract();
        Some(own * target / fleet.all - phase - f64::from(self.own))
    }

    /// As [`Load::allotment`], with a phase that changes with each exchange, so that each instance gets a part of the
    /// few free slots in turn.
    pub fn alternating_allotment(
        &self,
        now: Instant,
        target: f64,
        position: FleetPosition,
        phase: f64,
    ) -> Option<f64> {
        let exchange = self.fleet(now)?.exchange;
        let phase = (phase + f64::from(exchange) * PHASE_STEP).fract();
        self.allotment(now, target, position, phase)
    }

    /// Returns this instance's own requests in flight.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Returns the queue length of the server by its last report, or 0 if that is too old.
    pub fn waiting(&self, now: Instant) -> u32 {
        match self.report {
            Some((report, at, _)) if now.saturating_duration_since(at) < REPORT_HALF_LIFE => {
                report.waiting
            }
            _ => 0,
        }
    }

    /// Estimates how many requests are queued at a server with `slots` slots where all instances have `load` in flight.
    /// A server may also queue requests for lack of memory, which only its own report shows.
    pub fn queued(&self, now: Instant, load: f64, slots: u32) -> f64 {
        let counted = (load - f64::from(slots)).max(0.0);
        let reported =
            self.report.filter(|(_, at, _)| now.saturating_duration_since(*at) < QUEUE_MAX_AGE);
        reported.map_or(counted, |(report, _, _)| counted.max(f64::from(report.waiting)))
    }

    /// Estimates the requests in flight of all instances. With the age of the server's report, the estimate moves to
    /// `fallback`.
    pub fn estimate(&self, now: Instant, fallback: f64) -> f64 {
        let own = f64::from(self.own);
        if let Some(others) = self.others(now) {
            return own + others;
        }
        let Some((report, at, own_at_report)) = self.report else { return own.max(fallback) };
        let since = own - f64::from(own_at_report);
        let age = now.saturating_duration_since(at).as_secs_f64();
        let trust = 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        let reported = (report.taken() + since).max(own);
        (trust * reported + (1.0 - trust) * fallback).max(own)
    }

    /// Returns the load of the last report, for the mean over a service.
    pub fn last_reported(&self) -> Option<f64> {
        self.report.map(|(report, _, _)| report.taken())
    }
}

/// Returns the load that the instances target together so that it stays under `bound`: their counts are from different
/// times, and the sum deviates by about its square root.
pub(super) fn target_load(bound: f64) -> f64 {
    bound - bound.sqrt()
}
