//! In-flight counts of all instances, collected at one of them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::BackendServer;
use crate::names::{NodeName, ServiceName, Tag};

/// Age at which an instance's counts are dropped: it stopped reporting, and its requests end
/// within a second or two.
const REPORT_LIFE: Duration = Duration::from_millis(2500);

/// Pause between two looks for reports that are too old.
const SWEEP_PERIOD: Duration = Duration::from_millis(100);

/// Requests in flight at one backend server.
pub type InFlightCount = (Tag, u32);

/// Servers of a service up to which all are listed.
const LISTED_ALL: usize = 64;

/// Times the mean, and requests beyond that, from which a server's load stands out: under any
/// bound at which prompts spill.
const STANDS_OUT: (f32, f32) = (1.2, 1.0);

/// Requests in flight at a service's servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Mean of its servers.
    pub mean: f32,
    /// Servers, by tag.
    pub counts: Vec<InFlightCount>,
    /// Whether every server is listed; else those that are not are near the mean.
    pub is_complete: bool,
}

impl ServiceLoad {
    fn new(service: &ServiceName, mut counts: Vec<InFlightCount>) -> ServiceLoad {
        let sum: u32 = counts.iter().map(|(_, count)| count).sum();
        let mean = sum as f32 / counts.len().max(1) as f32;
        let is_complete = counts.len() <= LISTED_ALL;
        if !is_complete {
            counts.retain(|&(_, count)| count as f32 > mean * STANDS_OUT.0 + STANDS_OUT.1);
        }
        ServiceLoad { service: service.clone(), mean, counts, is_complete }
    }
}

/// Instances that must have found a server silent for the others to believe it, or all if there are fewer.
const WITNESSES: usize = 2;

/// The newest counts of each instance.
#[derive(Debug, Default)]
pub struct Aggregate {
    reports: IndexMap<NodeName, (Instant, Vec<InFlightCount>)>,
    unresponsive: IndexMap<NodeName, (Instant, Vec<Tag>)>,
    /// When reports that are too old were dropped last.
    swept: Option<Instant>,
    /// The instance that reported last, and when.
    newest: Option<(NodeName, Instant)>,
    /// When another one than that reported last.
    newest_of_others: Option<Instant>,
}

impl Aggregate {
    /// Takes an instance's counts.
    pub fn record_counts(&mut self, now: Instant, node: NodeName, counts: Vec<InFlightCount>) {
        self.note_report(now, &node);
        self.reports.insert(node, (now, counts));
        self.sweep(now);
    }

    fn note_report(&mut self, now: Instant, node: &NodeName) {
        if let Some((last, at)) = self.newest.take()
            && last != *node
        {
            self.newest_of_others = Some(at);
        }
        self.newest = Some((node.clone(), now));
    }

    /// Drops reports that are too old; not with each report, which would look at all others.
    fn sweep(&mut self, now: Instant) {
        let is_old = |at: Instant, age: Duration| now.saturating_duration_since(at) > age;
        if self.swept.is_some_and(|at| !is_old(at, SWEEP_PERIOD)) {
            return;
        }
        self.swept = Some(now);
        self.reports.retain(|_, (at, _)| !is_old(*at, REPORT_LIFE));
        self.unresponsive.retain(|_, (at, _)| !is_old(*at, REPORT_LIFE));
    }

    /// Takes the servers that an instance finds silent.
    pub fn record_unresponsive(&mut self, now: Instant, node: NodeName, unresponsive: Vec<Tag>) {
        self.unresponsive.insert(node, (now, unresponsive));
        self.sweep(now);
    }

    /// Returns the servers that several instances find silent.
    pub fn unresponsive(&self) -> Vec<Tag> {
        let mut witnesses: HashMap<Tag, usize> = HashMap::new();
        for server in self.unresponsive.values().flat_map(|(_, unresponsive)| unresponsive) {
            *witnesses.entry(*server).or_default() += 1;
        }
        let enough = WITNESSES.min(self.unresponsive.len());
        let mut unresponsive: Vec<Tag> =
            witnesses.into_iter().filter(|(_, count)| *count >= enough).map(|(t, _)| t).collect();
        unresponsive.sort_unstable_by_key(|tag| tag.0);
        unresponsive
    }

    /// Sums the counts of all instances, by service.
    ///
    /// Of a service with many servers only those are listed whose load stands out: the others are
    /// near the mean, and a list of thousands for each instance would fill the links.
    pub fn summary<'a>(
        &self,
        now: Instant,
        servers: impl Iterator<Item = &'a BackendServer>,
    ) -> Vec<ServiceLoad> {
        let mut sums: HashMap<Tag, u32> = HashMap::new();
        for (at, counts) in self.reports.values() {
            if now.saturating_duration_since(*at) > REPORT_LIFE {
                continue;
            }
            for &(server, count) in counts {
                *sums.entry(server).or_default() += count;
            }
        }
        let mut services: IndexMap<&ServiceName, Vec<InFlightCount>> = IndexMap::new();
        for server in servers {
            let tag = server.tag();
            let count = sums.get(&tag).copied().unwrap_or(0);
            services.entry(&server.service).or_default().push((tag, count));
        }
        services.into_iter().map(|(service, counts)| ServiceLoad::new(service, counts)).collect()
    }

    /// Returns when the newest report of another instance than `node` came.
    pub fn last_report(&self, node: &NodeName) -> Option<Instant> {
        let (last, at) = self.newest.as_ref()?;
        if last == node { self.newest_of_others } else { Some(*at) }
    }

    /// Returns whether `node` reported lately.
    pub fn has_recent_report(&self, now: Instant, node: &NodeName) -> bool {
        let report = self.reports.get(node);
        report.is_some_and(|(at, _)| now.saturating_duration_since(*at) <= REPORT_LIFE)
    }
}
