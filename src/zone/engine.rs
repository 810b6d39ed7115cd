//! An engine as the home of its shard sees it.

use std::time::{Duration, Instant};

use crate::names::Tag;

/// Time for which an engine gets no new requests after its first failure; doubles with each further failure.
const SUSPECT_DURATION_FIRST: Duration = Duration::from_millis(500);

/// Longest time for which an engine that failed gets no new requests.
const SUSPECT_DURATION_MAX: Duration = Duration::from_secs(30);

/// Time without a report from an engine after which its home probes it.
const PROBE_IDLE_TIME: Duration = Duration::from_secs(2);

/// Age at which a reported load no longer counts.
const REPORT_AGE_MAX: Duration = Duration::from_secs(10);

/// An engine as the configuration specifies it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Tag of its id.
    pub tag: Tag,
    /// Relative share of new chats.
    pub weight: f64,
    /// Most requests in flight.
    pub capacity: u32,
    /// Whether it is leaving: it gets no new requests.
    pub leaving: bool,
}

/// An engine with its load and health.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// The engine as configured.
    pub spec: EngineSpec,
    /// Permits granted and not released.
    pub permits: u32,
    /// Load that it last reported, and when.
    reported: Option<(u32, Instant)>,
    /// Time until which it gets no new requests because it failed.
    suspect_until: Option<Instant>,
    failures: u32,
    /// When it last reported or was probed.
    last_contact: Option<Instant>,
    /// Whether the membership list says that it is leaving.
    pub listed_leaving: bool,
    /// Whether it announced that it is leaving.
    pub announced_leaving: bool,
}

impl EngineState {
    /// Returns the state of an engine without load.
    pub fn new(spec: EngineSpec) -> EngineState {
        EngineState {
            spec,
            permits: 0,
            reported: None,
            suspect_until: None,
            failures: 0,
            last_contact: None,
            listed_leaving: false,
            announced_leaving: false,
        }
    }

    /// Returns whether a probe is due; if so, the next one is due after the same time again.
    pub fn probe_due(&mut self, now: Instant) -> bool {
        let due = self.last_contact.is_none_or(|at| now.duration_since(at) >= PROBE_IDLE_TIME);
        if due {
            self.last_contact = Some(now);
        }
        due
    }

    /// Notes a load that the engine reported.
    pub fn note_load(&mut self, now: Instant, load: u32) {
        self.last_contact = Some(now);
        self.reported = Some((load, now));
    }

    /// Returns the number of permits or, with `counts_reported`, a recently reported load if that is larger.
    pub fn load(&self, now: Instant, counts_reported: bool) -> u32 {
        match self.reported {
            Some((load, at)) if counts_reported && now.duration_since(at) < REPORT_AGE_MAX => {
                load.max(self.permits)
            }
            _ => self.permits,
        }
    }

    /// Returns the last reported load.
    pub fn reported_load(&self) -> Option<u32> {
        self.reported.map(|(load, _)| load)
    }

    /// Returns whether it is leaving according to the configuration, the membership list or itself.
    pub fn is_leaving(&self) -> bool {
        self.spec.leaving || self.listed_leaving || self.announced_leaving
    }

    /// Returns whether it is suspected of being down.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// Notes a failure: the engine gets no new requests for a time that doubles with each consecutive failure.
    pub fn note_failure(&mut self, now: Instant) {
        if self.is_suspect(now) {
            return;
        }
        let wait = SUSPECT_DURATION_FIRST
            .saturating_mul(1 << self.failures.min(10))
            .min(SUSPECT_DURATION_MAX);
        self.failures += 1;
        self.suspect_until = Some(now + wait);
    }

    /// Notes the response to a probe: the engine is no longer suspect. Its earlier failures still count if it fails
    /// again.
    pub fn note_probe(&mut self, now: Instant, load: u32) {
        self.note_load(now, load);
        self.suspect_until = None;
    }

    /// Notes a complete response: earlier failures no longer count.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.suspect_until = None;
    }
}
