//! Rate limit of requests to cold backend servers, for all instances together.
//!
//! A server that has just started, or whose zone is taken back after an evacuation, can serve only a few requests per
//! second and fails well above that rate, while each of hundreds of instances sees only a few of the requests that the
//! rendezvous order sends there. Divided by the number of instances, the rate is less than one request each, so the
//! instances cannot share it in parts. Instead, a single instance, found by rendezvous hashing, grants every request to
//! a cold server. An instance without a grant, or without a reply, sends its request to another server at once.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Candidates, InstanceInfo};
use crate::{
    names::{NodeName, Tag},
    units::{BoundedTime, Rate, bounded_time},
    zone::rendezvous,
};

/// Share of a cold server's rate that one instance grants. While the instances disagree on the granter, two of them
/// grant; together they stay within one and a half times the rate, the most that operators allow in one second.
const GRANTED_SHARE: f64 = 0.75;

/// Requests granted at once after a pause; two granters add less than the five requests that operators allow on top of
/// the rate.
const BURST: f64 = 2.0;

/// Number of instances that may grant requests for one server: if the first does not respond, the second grants. A
/// third could exceed the operators' bound.
const GRANTERS: usize = 2;

/// How long an instance that did not respond is skipped.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(2);

/// Age of a due time after which it is removed: the burst has long been fully available again.
const DUE_MAX_AGE: Duration = Duration::from_secs(10);

/// Limits on the requests to the servers of a service while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdTerms {
    /// How long a server stays cold after its start.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub duration: Duration,
    /// Rate of requests that it can serve, from all callers together.
    pub rate: Rate,
}

/// Grants of this instance, by server.
#[derive(Debug, Default)]
pub struct ColdGrants {
    /// When the next request would be due if requests were evenly spaced.
    due: IndexMap<Tag, Instant>,
}

impl ColdGrants {
    /// Returns whether one more request may be sent to a cold server with this `rate` (generic cell rate algorithm).
    pub fn grant(&mut self, now: Instant, server: Tag, rate: Rate) -> bool {
        self.due.retain(|_, due| now.saturating_duration_since(*due) < DUE_MAX_AGE);
        let interval = BoundedTime::from_secs(1.0 / (rate.0 * GRANTED_SHARE)).get();
        let due = self.due.entry(server).or_insert(now);
        if *due > now + interval.mul_f64(BURST - 1.0) {
            return false;
        }
        *due = (*due).max(now) + interval;
        true
    }
}

/// Selects the instance that grants requests for a cold server.
#[derive(Debug, Default)]
pub struct ColdGranters {
    /// Instances that did not respond, with the time until which they are skipped.
    unresponsive: IndexMap<NodeName, Instant>,
}

impl ColdGranters {
    /// Returns the instance that grants requests for `server`; `None` if no granter responds.
    pub fn granter_of<'c>(
        &self,
        now: Instant,
        server: Tag,
        instances: &'c Candidates,
    ) -> Option<&'c InstanceInfo> {
        let mut best: [Option<(f64, &InstanceInfo)>; GRANTERS] = [None; GRANTERS];
        for instance in instances.all() {
            let tag = Tag::of(instance.node.as_str());
            let mut next = Some((rendezvous::score(u64::from(server.0), tag, 1.0), instance));
            for entry in &mut best {
                if entry.map(|(score, _)| score) < next.map(|(score, _)| score) {
                    std::mem::swap(entry, &mut next);
                }
            }
        }
        let ranked = best.into_iter().flatten().map(|(_, instance)| instance);
        ranked.into_iter().find(|instance| !self.is_unresponsive(now, &instance.node))
    }

    fn is_unresponsive(&self, now: Instant, node: &NodeName) -> bool {
        self.unresponsive.get(node).is_some_and(|until| now < *until)
    }

    /// Records that an instance did not respond.
    pub fn note_unresponsive(&mut self, now: Instant, node: &NodeName) {
        self.unresponsive.insert(node.clone(), now + UNRESPONSIVE_DURATION);
    }
}
