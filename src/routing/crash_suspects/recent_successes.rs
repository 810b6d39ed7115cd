//! Requests that recently had a successful response, recorded for repeated requests and while servers crash.

use std::time::{Duration, Instant};

use super::{RequestFingerprint, SuspectDigest};

/// Number of remembered requests. At 40 requests per second, a request that is sent once a minute is still remembered;
/// the table takes 160 KB.
const SLOTS: usize = 4096;

/// How long a success protects its request from being held. Beyond this time, a new version of a server may crash on
/// it.
const SUCCESS_MAX_AGE: Duration = Duration::from_secs(120);

/// How long after the last known server crash the body of every successful request is hashed: by then callers have
/// retried what the crash interrupted. Hashing a body of 20 KB takes 2 microseconds.
const ALERT_DURATION: Duration = Duration::from_secs(20);

/// Minimum time between two hashes of the body of a request that is sent repeatedly.
const HASH_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Slot {
    fingerprint: RequestFingerprint,
    success: Option<(SuspectDigest, Instant)>,
}

/// Requests with a recent success, by fingerprint.
///
/// A request that many callers send at once is in flight at every server. Without this record it would be held whenever
/// many servers crash at the same time.
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
    /// Notes that a server has crashed.
    pub fn alert(&mut self, now: Instant) {
        self.alert_until = Some(now + ALERT_DURATION);
    }

    /// Notes a successful response. `digest` hashes the body; it is called from the second response to requests with
    /// one fingerprint on, and for every response while servers crash.
    pub fn note(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        digest: impl FnOnce() -> SuspectDigest,
    ) {
        let alert = self.alert_until.is_some_and(|until| now < until);
        let entry = &mut self.slots[fingerprint.0 as usize % SLOTS];
        match entry {
            Some(slot) if slot.fingerprint == fingerprint => {
                let age = slot.success.map(|(_, at)| now.saturating_duration_since(at));
                if age.is_none_or(|age| age >= HASH_INTERVAL) {
                    slot.success = Some((digest(), now));
                }
            }
            _ => {
                let success = alert.then(|| (digest(), now));
                *entry = Some(Slot { fingerprint, success });
            }
        }
    }

    /// Returns whether the request had a successful response recently.
    pub fn contains(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
        digest: SuspectDigest,
    ) -> bool {
        let slot = self.slots[fingerprint.0 as usize % SLOTS]
            .filter(|slot| slot.fingerprint == fingerprint);
        let success = slot.and_then(|slot| slot.success);
        success.is_some_and(|(known, at)| {
            known == digest && now.saturating_duration_since(at) <= SUCCESS_MAX_AGE
        })
    }
}
