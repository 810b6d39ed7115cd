//! When an instance polls the store for the operator's intent on behalf of the others: distinguishes instances of higher
//! rank that are slow from ones that have failed.
//!
//! On a busy machine or a full link, a reply takes longer than the timeout of an exchange. Counts of requests in flight
//! need the next aggregator at once then. Polls for the intent do not: each further instance that polls reads a changed
//! intent itself, which may have some megabytes.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::InstanceInfo;
use crate::names::NodeName;

/// How long an instance of higher rank may be silent before the next one polls, as a fraction of the operator's bound.
/// The rest of the bound is for the poll, the read and the relay.
const SILENCE_FRACTION_MAX: f64 = 0.25;

/// How a call to another instance failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// No complete reply arrived in time: the instance is slow, frozen or partitioned.
    Silent,
    /// The instance has stopped or takes no calls: the connection was refused or closed, or the call was rejected.
    Failed,
}

/// Instances that did not reply to their last call, and for how long.
#[derive(Debug)]
pub struct ReaderTakeover {
    silence_max: Duration,
    absent: IndexMap<NodeName, Absence>,
}

#[derive(Debug, Clone, Copy)]
struct Absence {
    /// When the first call since the last reply failed.
    since: Instant,
    last: CallFailure,
}

impl ReaderTakeover {
    /// Returns the state of an instance whose calls have all succeeded; changes of the intent must be active within
    /// `bound`.
    pub fn new(bound: Duration) -> ReaderTakeover {
        ReaderTakeover { silence_max: bound.mul_f64(SILENCE_FRACTION_MAX), absent: IndexMap::new() }
    }

    /// Notes that an instance replied.
    pub fn note_reply(&mut self, node: &NodeName) {
        self.absent.shift_remove(node);
    }

    /// Notes that a call to an instance failed.
    pub fn note_failure(&mut self, now: Instant, node: &NodeName, failure: CallFailure) {
        let absence = Absence { since: now, last: failure };
        self.absent.entry(node.clone()).or_insert(absence).last = failure;
    }

    /// Returns for how long an instance may be silent before it counts as lost.
    pub fn silence_max(&self) -> Duration {
        self.silence_max
    }

    /// Returns an instance to call once more, with the timeout [`ReaderTakeover::silence_max`], if all of `higher` are
    /// absent: the first one that may be merely slow.
    pub fn probe<'i>(&self, higher: &'i [InstanceInfo]) -> Option<&'i InstanceInfo> {
        let absence = |instance: &InstanceInfo| self.absent.get(&instance.node);
        let all_absent = higher.iter().all(|instance| absence(instance).is_some());
        let is_silent = |instance: &&InstanceInfo| {
            absence(instance).is_some_and(|absence| absence.last == CallFailure::Silent)
        };
        higher.iter().find(is_silent).filter(|_| all_absent)
    }

    /// Returns whether this instance polls the store: whether all of `higher`, the instances of higher rank, have failed
    /// or have been silent for too long.
    pub fn is_due(&mut self, now: Instant, higher: &[InstanceInfo]) -> bool {
        self.absent.retain(|node, _| higher.iter().any(|instance| instance.node == *node));
        higher.iter().all(|instance| {
            self.absent.get(&instance.node).is_some_and(|absence| self.is_lost(now, absence))
        })
    }

    fn is_lost(&self, now: Instant, absence: &Absence) -> bool {
        absence.last == CallFailure::Failed
            || now.saturating_duration_since(absence.since) >= self.silence_max
    }
}
