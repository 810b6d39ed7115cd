//! In-flight counts of all instances, collected at one of them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::names::{NodeName, Tag};

/// Age at which an instance's counts are dropped: it stopped reporting, and its requests end
/// within a second or two.
const REPORT_LIFE: Duration = Duration::from_millis(2500);

/// Requests in flight at one backend server.
pub type Count = (Tag, u32);

/// The newest counts of each instance.
#[derive(Debug, Default)]
pub struct Aggregate {
    reports: IndexMap<NodeName, (Instant, Vec<Count>)>,
}

impl Aggregate {
    /// Takes an instance's counts.
    pub fn take(&mut self, now: Instant, node: NodeName, counts: Vec<Count>) {
        self.reports.insert(node, (now, counts));
        self.reports.retain(|_, (at, _)| now.saturating_duration_since(*at) <= REPORT_LIFE);
    }

    /// Returns the counts of all instances but `node`, summed by server.
    pub fn others(&self, now: Instant, node: &NodeName) -> Vec<Count> {
        let mut sums: IndexMap<Tag, u32> = IndexMap::new();
        for (other, (at, counts)) in &self.reports {
            if other == node || now.saturating_duration_since(*at) > REPORT_LIFE {
                continue;
            }
            for &(server, count) in counts {
                *sums.entry(server).or_default() += count;
            }
        }
        sums.into_iter().collect()
    }

    /// Returns when the newest report of another instance than `node` came.
    pub fn last_heard(&self, node: &NodeName) -> Option<Instant> {
        self.reports.iter().filter(|(other, _)| *other != node).map(|(_, (at, _))| *at).max()
    }

    /// Returns whether `node` reported lately.
    pub fn hears(&self, now: Instant, node: &NodeName) -> bool {
        let report = self.reports.get(node);
        report.is_some_and(|(at, _)| now.saturating_duration_since(*at) <= REPORT_LIFE)
    }
}
