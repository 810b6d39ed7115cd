//! Requests that have been answered well lately: those that are sent again and again, and while servers end all.

use std::time::{Duration, Instant};

use super::{RequestDigest, RequestFingerprint};

/// Requests remembered: with 40 requests a second, one that comes each minute is still there (160 KB).
const SLOTS: usize = 4096;

/// How long an answer speaks for the request: longer, and a new version of a server might be ended by it.
const ANSWER_LIFE: Duration = Duration::from_secs(120);

/// How long after the last known end of a server the bodies of all answered requests are read: callers have repeated
/// by then what ended with it. Reading takes 2 microseconds for a body of 20 KB.
const ALERT_FOR: Duration = Duration::from_secs(20);

/// Least pause between two readings of the body of a request that is sent again and again.
const READ_PAUSE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Slot {
    fingerprint: RequestFingerprint,
    answered: Option<(RequestDigest, Instant)>,
}

/// Answered requests by look.
///
/// Prevents that a request which many send at once is blamed when many servers end at once: it was at all of them.
#[derive(Debug)]
pub struct RecentSuccesses {
    slots: Vec<Option<Slot>>,
    alert_until: Option<Instant>,
}

impl Default for RecentSuccesses {
    fn default() -> RecentSuccesses {
        RecentSuccesses { slots: vec![None; SLOTS], alert_until: None }
    }
}

impl RecentSuccesses {
    /// Notes that a server has ended somewhere.
    pub fn alert(&mut self, now: Instant) {
        self.alert_until = Some(now + ALERT_FOR);
    }

    /// Notes a good answer. The body is read, by `digest`, from the second answer to requests of one look on, and while
    /// servers end.
    pub fn note(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        digest: impl FnOnce() -> RequestDigest,
    ) {
        let alert = self.alert_until.is_some_and(|until| now < until);
        let place = &mut self.slots[fingerprint.0 as usize % SLOTS];
        match place {
            Some(slot) if slot.fingerprint == fingerprint => {
                let read = slot.answered.map(|(_, at)| now.saturating_duration_since(at));
                if read.is_none_or(|age| age >= READ_PAUSE) {
                    slot.answered = Some((digest(), now));
                }
            }
            _ => {
                let answered = alert.then(|| (digest(), now));
                *place = Some(Slot { fingerprint, answered });
            }
        }
    }

    /// Returns whether the request was answered well lately.
    pub fn has(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
        digest: RequestDigest,
    ) -> bool {
        let slot = self.slots[fingerprint.0 as usize % SLOTS]
            .filter(|slot| slot.fingerprint == fingerprint);
        let answered = slot.and_then(|slot| slot.answered);
        answered.is_some_and(|(known, at)| {
            known == digest && now.saturating_duration_since(at) <= ANSWER_LIFE
        })
    }
}
