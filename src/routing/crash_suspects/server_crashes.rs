//! Requests that an instance had in flight at backend servers that crashed, and which of them it has reported.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{PromptPartId, RequestFingerprint, SuspectDigest};
use crate::{
    names::{ServiceName, Tag},
    routing::{Incarnation, RunId},
};

/// How long a crash is kept, so that it can be reported to the next aggregator if the current one is lost.
const CRASH_MAX_AGE: Duration = Duration::from_secs(60);

/// Maximum weight of the suspects in one report: 12 KB, which take 5 ms on a link of 20 Mbit/s.
const REPORTED_MAX: usize = 512;

/// Maximum weight of the suspects kept: enough for a server with 64 slots that crashes a hundred times a minute while it
/// runs requests of eight instances.
const SUSPECTS_MAX: usize = 4096;

/// How long an accepted connection counts as evidence that the server has not crashed.
const ALIVE_DURATION: Duration = Duration::from_millis(100);

/// A request that was in flight at a server when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Digest of the request.
    pub digest: SuspectDigest,
    /// Whether the server had run the request for a while, rather than crashed as it began to run it.
    pub long_running: bool,
    /// Parts of its prompt that other requests may share.
    #[serde(default)]
    pub parts: Vec<PromptPartId>,
    /// Whether the request itself had a successful response recently, so that at most its parts are to blame.
    #[serde(default)]
    pub is_cleared: bool,
}

impl Suspect {
    /// Returns its share in the size of a report, which always has room for one suspect: two parts take as many bytes as
    /// the rest.
    fn weight(&self) -> usize {
        (1 + self.parts.len() / 2).min(REPORTED_MAX)
    }
}

/// The crash of a server, as an instance reports it to the aggregator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The incarnation of the server that crashed.
    pub server: Tag,
    /// Its service.
    pub service: ServiceName,
    /// Milliseconds since the crash.
    pub age_ms: u64,
    /// Requests that the reporting instance had in flight there.
    pub in_flight: Vec<Suspect>,
}

#[derive(Debug)]
struct Crash {
    at: Instant,
    service: ServiceName,
    in_flight: Vec<Suspect>,
    /// How many of them have been reported.
    reported: usize,
}

impl Crash {
    fn weight(&self) -> usize {
        self.in_flight.iter().map(Suspect::weight).sum()
    }
}

/// Crashes of servers that one instance has observed.
#[derive(Debug, Default)]
pub struct ServerCrashes {
    crashes: IndexMap<Tag, Crash>,
    alive: HashMap<Tag, Instant>,
    reported_to: Option<RunId>,
}

impl ServerCrashes {
    /// Returns whether a server whose connection was lost has crashed, if that was determined a moment ago.
    pub fn has_crashed(&self, now: Instant, server: &Incarnation) -> Option<bool> {
        let tag = server.tag();
        if self.crashes.contains_key(&tag) {
            return Some(true);
        }
        let accepted_at = self.alive.get(&tag)?;
        (now.saturating_duration_since(*accepted_at) < ALIVE_DURATION).then_some(false)
    }

    /// Notes that a server still accepts connections.
    pub fn note_alive(&mut self, now: Instant, server: &Incarnation) {
        self.alive.retain(|_, at| now.saturating_duration_since(*at) < ALIVE_DURATION);
        self.alive.insert(server.tag(), now);
    }

    /// Notes that a server crashed with a request in flight.
    pub fn note(
        &mut self,
        now: Instant,
        server: &Incarnation,
        service: &ServiceName,
        suspect: Suspect,
    ) {
        self.crashes.retain(|_, crash| now.saturating_duration_since(crash.at) < CRASH_MAX_AGE);
        let mut kept: usize = self.crashes.values().map(Crash::weight).sum();
        while kept >= SUSPECTS_MAX {
            let oldest = self.crashes.shift_remove_index(0);
            kept -= oldest.map_or(kept, |(_, crash)| crash.weight());
        }
        let new =
            || Crash { at: now, service: service.clone(), in_flight: Vec::new(), reported: 0 };
        self.crashes.entry(server.tag()).or_insert_with(new).in_flight.push(suspect);
    }

    /// Returns what has not been reported yet, oldest crash first.
    pub fn unreported(&self, now: Instant) -> Vec<CrashReport> {
        let mut left = REPORTED_MAX;
        let mut reports = Vec::new();
        for (server, crash) in &self.crashes {
            let fits = |suspect: &&Suspect| {
                let fits = suspect.weight() <= left;
                left -= if fits { suspect.weight() } else { left };
                fits
            };
            let rest = crash.in_flight.iter().skip(crash.reported);
            let in_flight: Vec<Suspect> = rest.take_while(fits).cloned().collect();
            if in_flight.is_empty() {
                continue;
            }
            let age = now.saturating_duration_since(crash.at).as_millis();
            reports.push(CrashReport {
                server: *server,
                service: crash.service.clone(),
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                in_flight,
            });
        }
        reports
    }

    /// Notes that the aggregator `to` has received reports. A new aggregator, or one that restarted, has none of the
    /// earlier reports and gets all of them again.
    pub fn mark_reported(&mut self, to: RunId, reports: &[CrashReport]) {
        if self.reported_to != Some(to) {
            self.crashes.values_mut().for_each(|crash| crash.reported = 0);
            self.reported_to = Some(to);
        }
        for report in reports {
            if let Some(crash) = self.crashes.get_mut(&report.server) {
                crash.reported =
                    (crash.reported + report.in_flight.len()).min(crash.in_flight.len());
            }
        }
    }
}
