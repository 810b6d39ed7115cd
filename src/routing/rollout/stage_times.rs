//! How long a roll-out has been in its stage, and all of its requests have been sent to the new version.

use std::time::{Duration, Instant};

use super::Stage;

/// Stage of a roll-out at its controller, with the time since which it applies.
#[derive(Debug, Clone, Copy)]
pub struct StageTimes {
    stage: Stage,
    since: Instant,
    /// Since when the share is the whole of the requests, if it is.
    full_since: Option<Instant>,
}

impl StageTimes {
    /// Returns the times of a controller that begins a roll-out, or takes it over in `stage` with this share of the
    /// requests. What was done before is not known, so the times begin now.
    pub fn new(now: Instant, stage: Stage, share: f64) -> StageTimes {
        StageTimes { stage, since: now, full_since: (share >= 1.0).then_some(now) }
    }

    /// Notes the stage and the share that the controller has decided.
    pub fn note(&mut self, now: Instant, stage: Stage, share: f64) {
        if stage != self.stage {
            (self.stage, self.since) = (stage, now);
        }
        self.full_since = (share >= 1.0).then(|| self.full_since.unwrap_or(now));
    }

    /// Returns the stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the time since the stage began, or since the controller took over.
    pub fn in_stage(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Returns the time since when all requests are to go to the new version, if they are.
    pub fn at_full_share(&self, now: Instant) -> Option<Duration> {
        self.full_since.map(|since| now.saturating_duration_since(since))
    }
}
