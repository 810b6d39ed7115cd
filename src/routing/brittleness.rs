//! Brittle servers: they announce that they fall over if they have to reject more than some number of requests in a
//! second, from all instances together.
//!
//! The room of a full server is then no reason to try it: each instance keeps to its part of the server's free slots, and
//! after a rejection sends nothing there for so long that all instances together stay below the announced number.

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr,
    time::{Duration, Instant},
};

/// How long a server counts as brittle after its last response that said so. All its responses say so while it is.
const BRITTLE_TTL: Duration = Duration::from_secs(10);

/// Time over which a brittle server counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// Share of the announced rejections that the instances use together: some have several requests on the way when the
/// first of these is rejected.
const USED_SHARE: f64 = 0.8;

/// Shortest pause after a rejection.
const PAUSE_MIN: Duration = Duration::from_millis(200);

/// Longest pause after a rejection. In a fleet with more instances than would keep to the announced number with it, the
/// instances report rejections to each other.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// Rejections in a second beyond which a brittle server falls over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectionLimit(pub u32);

impl fmt::Display for RejectionLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RejectionLimit {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<RejectionLimit, ParseIntError> {
        text.trim().parse().map(RejectionLimit)
    }
}

/// Whether one incarnation of a server is brittle.
#[derive(Debug, Clone, Copy, Default)]
pub struct Brittleness {
    announced: Option<(RejectionLimit, Instant)>,
    /// Until when this instance sends nothing to the server, which has rejected one of its requests.
    paused_until: Option<Instant>,
}

/// What follows from a rejection of a brittle server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectionPause {
    /// How long this instance sends nothing to the server.
    pub pause: Duration,
    /// Whether the other instances must pause too.
    pub is_shared: bool,
}

impl Brittleness {
    /// Records what a response of the server says; returns whether the server has become brittle.
    pub fn note(&mut self, now: Instant, limit: Option<RejectionLimit>) -> bool {
        let was_brittle = self.is_brittle(now);
        self.announced = limit.map(|limit| (limit, now));
        !was_brittle && limit.is_some()
    }

    /// Returns whether the server is brittle.
    pub fn is_brittle(&self, now: Instant) -> bool {
        self.limit(now).is_some()
    }

    /// Returns whether this instance sends nothing to the server for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.is_brittle(now) && self.paused_until.is_some_and(|until| now < until)
    }

    /// Records that the server has rejected a request of this instance, one of `instances`; `None` if it is not brittle.
    pub fn note_rejected(&mut self, now: Instant, instances: usize) -> Option<RejectionPause> {
        let limit = f64::from(self.limit(now)?.0).max(1.0);
        let pause = REJECTION_WINDOW.mul_f64(instances.max(1) as f64 / (limit * USED_SHARE));
        let is_shared = pause > PAUSE_MAX;
        let pause = pause.clamp(PAUSE_MIN, PAUSE_MAX);
        self.paused_until = Some(now + pause);
        Some(RejectionPause { pause, is_shared })
    }

    fn limit(&self, now: Instant) -> Option<RejectionLimit> {
        let (limit, at) = self.announced?;
        (now.saturating_duration_since(at) < BRITTLE_TTL).then_some(limit)
    }
}
