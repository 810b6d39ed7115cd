//! One engine as its home sees it.

use std::time::{Duration, Instant};

use crate::names::Tag;

/// First time for which an engine that failed gets nothing new; doubles with each failure.
const SUSPECT_FIRST: Duration = Duration::from_millis(500);

/// Longest such time.
const SUSPECT_MAX: Duration = Duration::from_secs(30);

/// Time without any word of an engine after which its home probes it.
const PROBE_AGE: Duration = Duration::from_secs(2);

/// Age at which a reported load no longer counts.
const REPORT_AGE_MAX: Duration = Duration::from_secs(10);

/// What the operators' file says of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Tag of its id.
    pub tag: Tag,
    /// Relative share of new chats.
    pub weight: f64,
    /// Most requests in flight.
    pub capacity: u32,
    /// Whether it is leaving: it gets nothing new.
    pub leaving: bool,
}

/// An engine with its load.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// What the file says.
    pub spec: EngineSpec,
    /// Permits in force.
    pub permits: u32,
    /// Load it last reported and when.
    reported: Option<(u32, Instant)>,
    /// Until when it gets nothing new because it failed.
    suspect_until: Option<Instant>,
    failures: u32,
    /// When it was last heard of, or asked.
    heard: Option<Instant>,
    /// Whether the membership list says that it is leaving.
    pub listed_leaving: bool,
    /// Whether it says itself that it is leaving.
    pub announced_leaving: bool,
}

impl EngineState {
    /// Returns a slot without load.
    pub fn new(spec: EngineSpec) -> EngineState {
        EngineState {
            spec,
            permits: 0,
            reported: None,
            suspect_until: None,
            failures: 0,
            heard: None,
            listed_leaving: false,
            announced_leaving: false,
        }
    }

    /// Returns whether it is due for a probe; when it is, the next one is due that much later.
    pub fn probe_due(&mut self, now: Instant) -> bool {
        let due = self.heard.is_none_or(|at| now.duration_since(at) >= PROBE_AGE);
        if due {
            self.heard = Some(now);
        }
        due
    }

    /// Notes a load that the engine reported.
    pub fn report(&mut self, now: Instant, load: u32) {
        self.heard = Some(now);
        self.reported = Some((load, now));
    }

    /// Returns the load; while `guarded`, the larger of permits and report.
    pub fn load(&self, now: Instant, guarded: bool) -> u32 {
        match self.reported {
            Some((load, at)) if guarded && now.duration_since(at) < REPORT_AGE_MAX => {
                load.max(self.permits)
            }
            _ => self.permits,
        }
    }

    /// Returns the last reported load.
    pub fn reported_load(&self) -> Option<u32> {
        self.reported.map(|(load, _)| load)
    }

    /// Returns whether it is leaving, by any account.
    pub fn is_leaving(&self) -> bool {
        self.spec.leaving || self.listed_leaving || self.announced_leaving
    }

    /// Returns whether it is suspected of being down.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// Notes a failure: nothing new for a time that doubles with each failure in a row.
    pub fn failed(&mut self, now: Instant) {
        if self.is_suspect(now) {
            return;
        }
        let wait = SUSPECT_FIRST.saturating_mul(1 << self.failures.min(10)).min(SUSPECT_MAX);
        self.failures += 1;
        self.suspect_until = Some(now + wait);
    }

    /// Notes an answer to a probe: the engine is there again. What it failed before still counts
    /// if it fails again.
    pub fn probed(&mut self, now: Instant, load: u32) {
        self.report(now, load);
        self.suspect_until = None;
    }

    /// Notes a whole answer: the engine is well.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.suspect_until = None;
    }
}
