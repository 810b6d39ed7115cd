//! In-flight counts of all instances, as the aggregator collects them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{BackendServer, PromptCount, prompt_demand::popular_prompts};
use crate::names::{NodeName, ServiceName, Tag};

/// Age at which the counts of an instance are dropped: it has stopped reporting, and its requests end
/// within a second or two.
const REPORT_MAX_AGE: Duration = Duration::from_millis(2500);

/// Time without a report of an instance after which it counts as stopped.
const STOPPED_AGE: Duration = Duration::from_secs(60);

/// Share of the instances whose reports make the sums usable: what is missing is less than random variation.
const SETTLED_SHARE: f64 = 0.75;

/// Time without interruption after which the sums are usable however many instances have reported: longer than the
/// longest time between two reports of an instance.
const SETTLED_AFTER: Duration = Duration::from_millis(1300);

/// Interval between two scans for expired reports.
const PRUNE_PERIOD: Duration = Duration::from_millis(100);

/// Requests in flight at one backend server.
pub type InFlightCount = (Tag, u32);

/// Largest number of servers of a service that are all listed.
const LISTED_ALL_MAX: usize = 64;

/// In a larger service, a server is listed if its load exceeds `mean * OUTLIER_RATIO + OUTLIER_MARGIN`. This is
/// below any load bound at which prompts spill to another server.
const OUTLIER_RATIO: f32 = 1.2;

/// Requests above the mean that are not yet an outlier; see [`OUTLIER_RATIO`].
const OUTLIER_MARGIN: f32 = 1.0;

/// Requests in flight at the servers of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Mean over its servers.
    pub mean: f32,
    /// Counts by the servers' tags.
    pub counts: Vec<InFlightCount>,
    /// Whether every server is listed; otherwise the load of the unlisted ones is near the mean.
    pub is_complete: bool,
}

impl ServiceLoad {
    fn new(service: &ServiceName, mut counts: Vec<InFlightCount>) -> ServiceLoad {
        let sum: u64 = counts.iter().map(|(_, count)| u64::from(*count)).sum();
        let mean = sum as f32 / counts.len().max(1) as f32;
        let is_complete = counts.len() <= LISTED_ALL_MAX;
        if !is_complete {
            counts.retain(|&(_, count)| count as f32 > mean * OUTLIER_RATIO + OUTLIER_MARGIN);
        }
        ServiceLoad { service: service.clone(), mean, counts, is_complete }
    }
}

/// Number of instances that must report a server as unresponsive before the others skip it; all of them in a smaller
/// fleet.
const WITNESSES_MIN: usize = 2;

/// The latest counts of each instance.
#[derive(Debug, Default)]
pub struct Aggregate {
    reports: IndexMap<NodeName, (Instant, Vec<InFlightCount>)>,
    prompts: IndexMap<NodeName, (Instant, Vec<PromptCount>)>,
    unresponsive: IndexMap<NodeName, (Instant, Vec<Tag>)>,
    /// When expired reports were last dropped.
    pruned_at: Option<Instant>,
    /// The instance that reported last, and when.
    latest: Option<(NodeName, Instant)>,
    /// When an instance other than the latest last reported.
    latest_of_others: Option<Instant>,
    /// Start of the current uninterrupted sequence of reports: who reported before, or to another aggregator, is unknown.
    since: Option<Instant>,
    /// When each instance last reported.
    reported_at: IndexMap<NodeName, Instant>,
}

impl Aggregate {
    /// Records the counts of an instance.
    pub fn record_counts(&mut self, now: Instant, node: NodeName, counts: Vec<InFlightCount>) {
        self.note_report(now, &node);
        self.reports.insert(node, (now, counts));
        self.prune(now);
    }

    fn note_report(&mut self, now: Instant, node: &NodeName) {
        let last = self.latest.as_ref().map(|(_, at)| *at);
        if last.is_none_or(|at| now.saturating_duration_since(at) > REPORT_MAX_AGE) {
            self.since = Some(now);
        }
        self.reported_at.insert(node.clone(), now);
        if let Some((last, at)) = self.latest.take()
            && last != *node
        {
            self.latest_of_others = Some(at);
        }
        self.latest = Some((node.clone(), now));
    }

    /// Drops expired reports. It does not run for each report, since it scans the reports of all other instances.
    fn prune(&mut self, now: Instant) {
        let is_old = |at: Instant, age: Duration| now.saturating_duration_since(at) > age;
        if self.pruned_at.is_some_and(|at| !is_old(at, PRUNE_PERIOD)) {
            return;
        }
        self.pruned_at = Some(now);
        self.reports.retain(|_, (at, _)| !is_old(*at, REPORT_MAX_AGE));
        self.prompts.retain(|_, (at, _)| !is_old(*at, REPORT_MAX_AGE));
        self.unresponsive.retain(|_, (at, _)| !is_old(*at, REPORT_MAX_AGE));
        self.reported_at.retain(|_, at| !is_old(*at, STOPPED_AGE));
    }

    /// Records the requests in flight of an instance, by prompt.
    pub fn record_prompts(&mut self, now: Instant, node: NodeName, prompts: Vec<PromptCount>) {
        self.prompts.insert(node, (now, prompts));
    }

    /// Returns the requests in flight of all instances with popular prompts.
    pub fn popular_prompts(&self, now: Instant) -> Vec<PromptCount> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= REPORT_MAX_AGE;
        let recent = self.prompts.values().filter(|(at, _)| is_recent(*at));
        popular_prompts(recent.flat_map(|(_, prompts)| prompts.iter().copied()))
    }

    /// Records the servers that do not respond to an instance.
    pub fn record_unresponsive(&mut self, now: Instant, node: NodeName, unresponsive: Vec<Tag>) {
        self.unresponsive.insert(node, (now, unresponsive));
        self.prune(now);
    }

    /// Returns the servers that several instances report as unresponsive.
    pub fn unresponsive(&self) -> Vec<Tag> {
        let mut witnesses: HashMap<Tag, usize> = HashMap::new();
        for server in self.unresponsive.values().flat_map(|(_, unresponsive)| unresponsive) {
            *witnesses.entry(*server).or_default() += 1;
        }
        let required = WITNESSES_MIN.min(self.unresponsive.len());
        let mut unresponsive: Vec<Tag> =
            witnesses.into_iter().filter(|(_, count)| *count >= required).map(|(t, _)| t).collect();
        unresponsive.sort_unstable_by_key(|tag| tag.0);
        unresponsive
    }

    /// Sums the counts of all instances, by service.
    ///
    /// Of a service with many servers only the outliers are listed: the load of the others is near the mean, and a
    /// list of thousands of servers for each instance would saturate the links.
    pub fn summary<'a>(
        &self,
        now: Instant,
        servers: impl Iterator<Item = &'a BackendServer>,
    ) -> Vec<ServiceLoad> {
        let mut sums: HashMap<Tag, u32> = HashMap::new();
        for (at, counts) in self.reports.values() {
            if now.saturating_duration_since(*at) > REPORT_MAX_AGE {
                continue;
            }
            for &(server, count) in counts {
                let sum = sums.entry(server).or_default();
                *sum = sum.saturating_add(count);
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

    /// Returns when an instance other than `node` last reported.
    pub fn last_report(&self, node: &NodeName) -> Option<Instant> {
        let (last, at) = self.latest.as_ref()?;
        if last == node { self.latest_of_others } else { Some(*at) }
    }

    /// Returns whether `node` has stopped: it has not reported for a minute, in which others have. An instance that was
    /// suspended itself knows nothing about that time.
    pub fn has_stopped(&self, now: Instant, node: &NodeName) -> bool {
        let is_over = |at: Instant| now.saturating_duration_since(at) > STOPPED_AGE;
        self.has_collected(now) && self.reported_at.get(node).is_none_or(|at| is_over(*at))
    }

    /// Returns whether `node` reports, to an aggregator that has collected reports for a minute.
    pub fn is_running(&self, now: Instant, node: &NodeName) -> bool {
        let report = self.reports.get(node);
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= REPORT_MAX_AGE;
        self.has_collected(now) && report.is_some_and(|(at, _)| is_recent(*at))
    }

    /// Returns whether the sums contain nearly all of `instances`: most of them have reported, or all had the time to.
    pub fn is_settled(&self, now: Instant, instances: usize) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= REPORT_MAX_AGE;
        let reported = self.reports.values().filter(|(at, _)| is_recent(*at)).count();
        let has_most = reported as f64 >= SETTLED_SHARE * instances as f64;
        let had_time = |since: Instant| now.saturating_duration_since(since) >= SETTLED_AFTER;
        has_most || self.since.is_some_and(had_time)
    }

    /// Returns whether reports have arrived without interruption for a minute.
    fn has_collected(&self, now: Instant) -> bool {
        let last = self.latest.as_ref().map(|(_, at)| *at);
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= REPORT_MAX_AGE;
        let is_long = |since: Instant| now.saturating_duration_since(since) > STOPPED_AGE;
        last.is_some_and(is_recent) && self.since.is_some_and(is_long)
    }
}
