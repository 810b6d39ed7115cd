//! What is known of a backend server's load: this instance's own requests, exactly; the other
//! instances' requests, as they count them; and the server's own reports. The last two age.

use std::time::{Duration, Instant};

/// Age at which a report counts for half: a few requests' worth of time at the users' rates.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// Age up to which the other instances' counts are believed: a few exchanges.
const OTHERS_LIFE: Duration = Duration::from_millis(2000);

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

/// A backend server's load as this instance sees it.
#[derive(Debug, Clone, Default)]
pub struct Load {
    own: u32,
    report: Option<(LoadReport, Instant, u32)>,
    others: Option<(f64, Instant)>,
}

impl Load {
    /// Notes a request sent.
    pub fn begin(&mut self) {
        self.own += 1;
    }

    /// Notes a request ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes a report; the request that it came with counts as running.
    pub fn report(&mut self, now: Instant, report: LoadReport) {
        self.report = Some((report, now, self.own));
    }

    /// Takes the other instances' requests in flight.
    pub fn set_others(&mut self, now: Instant, count: f64) {
        self.others = Some((count, now));
    }

    /// Returns the other instances' requests in flight, while that is known.
    pub fn others(&self, now: Instant) -> Option<f64> {
        let (count, at) = self.others?;
        (now.saturating_duration_since(at) < OTHERS_LIFE).then_some(count)
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
