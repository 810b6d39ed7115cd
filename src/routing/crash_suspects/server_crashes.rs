//! What an instance had at backend servers that ended, and what of that it has told.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{RequestDigest, RequestFingerprint};
use crate::{
    names::{ServiceName, Tag},
    routing::{Incarnation, RunId},
};

/// How long an end is kept, to be told to the next instance that collects reports should the one that knows it be lost.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// Most requests told in one report: 12 KB, of a link of 20 Mbit/s 5 ms.
const TOLD_MAX: usize = 512;

/// Most requests kept: a server of 64 places ends under each of eight instances' requests a hundred times a minute.
const KEPT_MAX: usize = 4096;

/// How long a connection that a server has accepted says that it has not ended.
const ALIVE_FOR: Duration = Duration::from_millis(100);

/// A request that was at a server as it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Its look.
    pub fingerprint: RequestFingerprint,
    /// The request.
    pub digest: RequestDigest,
    /// Whether it had run there for a while: the server did not end as it began to run it.
    pub long_running: bool,
}

/// An end of a server, as instances tell each other of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The server, in the incarnation that ended.
    pub server: Tag,
    /// Its service.
    pub service: ServiceName,
    /// Milliseconds since it ended.
    pub age_ms: u64,
    /// Requests that the teller had there.
    pub in_flight: Vec<Suspect>,
}

#[derive(Debug)]
struct End {
    at: Instant,
    service: ServiceName,
    in_flight: Vec<Suspect>,
    /// How many of them have been told.
    told: usize,
}

/// Ends of servers, as one instance saw them.
#[derive(Debug, Default)]
pub struct ServerCrashes {
    ends: IndexMap<Tag, End>,
    alive: HashMap<Tag, Instant>,
    reported_to: Option<RunId>,
}

impl ServerCrashes {
    /// Returns whether a server whose connection ended has ended itself, where that was found out a moment ago.
    pub fn has_crashed(&self, now: Instant, server: &Incarnation) -> Option<bool> {
        let tag = server.tag();
        if self.ends.contains_key(&tag) {
            return Some(true);
        }
        let seen = self.alive.get(&tag)?;
        (now.saturating_duration_since(*seen) < ALIVE_FOR).then_some(false)
    }

    /// Notes that a server still takes connections.
    pub fn note_alive(&mut self, now: Instant, server: &Incarnation) {
        self.alive.retain(|_, at| now.saturating_duration_since(*at) < ALIVE_FOR);
        self.alive.insert(server.tag(), now);
    }

    /// Notes that a server has ended with a request under way.
    pub fn note(
        &mut self,
        now: Instant,
        server: &Incarnation,
        service: &ServiceName,
        suspect: Suspect,
    ) {
        self.ends.retain(|_, end| now.saturating_duration_since(end.at) < KEPT_FOR);
        let mut kept: usize = self.ends.values().map(|end| end.in_flight.len()).sum();
        while kept >= KEPT_MAX {
            let oldest = self.ends.shift_remove_index(0);
            kept -= oldest.map_or(kept, |(_, end)| end.in_flight.len());
        }
        let new = || End { at: now, service: service.clone(), in_flight: Vec::new(), told: 0 };
        self.ends.entry(server.tag()).or_insert_with(new).in_flight.push(suspect);
    }

    /// Returns what has not been told yet, oldest first.
    pub fn unreported(&self, now: Instant) -> Vec<CrashReport> {
        let mut left = TOLD_MAX;
        let mut news = Vec::new();
        for (server, end) in &self.ends {
            let in_flight: Vec<Suspect> =
                end.in_flight.iter().skip(end.told).take(left).copied().collect();
            if in_flight.is_empty() {
                continue;
            }
            left -= in_flight.len();
            let age = now.saturating_duration_since(end.at).as_millis();
            news.push(CrashReport {
                server: *server,
                service: end.service.clone(),
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                in_flight,
            });
        }
        news
    }

    /// Notes that `to` has taken a report; to one that has just begun to collect, all is told again.
    pub fn mark_reported(&mut self, to: RunId, news: &[CrashReport]) {
        if self.reported_to != Some(to) {
            self.ends.values_mut().for_each(|end| end.told = 0);
            self.reported_to = Some(to);
        }
        for said in news {
            if let Some(end) = self.ends.get_mut(&said.server) {
                end.told = (end.told + said.in_flight.len()).min(end.in_flight.len());
            }
        }
    }
}
