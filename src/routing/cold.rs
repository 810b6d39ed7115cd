//! How many requests a second go to backend servers that are cold, from all instances together.
//!
//! Answers the load of a server that has just started, or of a zone that is taken back: a cold server bears few requests
//! a second and ends well above that, while each of hundreds of instances sees only a few of those that its rank sends
//! there. Divided by the instances the rate is less than one request each, so that parts of it are of no use: one
//! instance, found by rendezvous hashing, grants every single request that goes to a cold server, and is asked for it.
//! Whoever is not granted one goes elsewhere at once, and so does whoever gets no answer.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Candidates, InstanceInfo};
use crate::{
    names::{NodeName, Tag},
    units::Rate,
    zone::rendezvous,
};

/// Part of a cold server's rate that one instance grants: while instances disagree who grants, two do, and together stay
/// within one and a half times the rate, which is what operators allow a server to get in one second.
const GRANTED_SHARE: f64 = 0.75;

/// Requests granted at once after a pause; two instances that grant add less than the five that operators allow beside
/// the rate.
const BURST: f64 = 2.0;

/// Instances that may grant for one server: if the first does not answer, the second does. With a third the bound
/// could be passed.
const GRANTERS: usize = 2;

/// How long an instance that did not answer is not asked.
const SILENT_FOR: Duration = Duration::from_secs(2);

/// Time after which a server's pace is forgotten: it has long been as full as it gets.
const FORGOTTEN: Duration = Duration::from_secs(10);

/// What the servers of a service bear while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdTerms {
    /// How long a server stays cold after its start.
    pub duration: Duration,
    /// Requests that it bears, from all callers together.
    pub rate: Rate,
}

/// Grants of this instance, by server.
#[derive(Debug, Default)]
pub struct ColdGrants {
    /// When the next request would be due if they came evenly.
    due: IndexMap<Tag, Instant>,
}

impl ColdGrants {
    /// Returns whether one more request may go to a cold server that bears `rate` (generic cell rate algorithm).
    pub fn grant(&mut self, now: Instant, server: Tag, rate: Rate) -> bool {
        self.due.retain(|_, due| now.saturating_duration_since(*due) < FORGOTTEN);
        let interval = Duration::from_secs_f64(1.0 / (rate.0 * GRANTED_SHARE));
        let due = self.due.entry(server).or_insert(now);
        if *due > now + interval.mul_f64(BURST - 1.0) {
            return false;
        }
        *due = (*due).max(now) + interval;
        true
    }
}

/// Whom an instance asks.
#[derive(Debug, Default)]
pub struct ColdGranters {
    silent: IndexMap<NodeName, Instant>,
}

impl ColdGranters {
    /// Returns the instance that grants requests for `server`; `None` where those that may do not answer.
    pub fn granter_of<'c>(
        &self,
        now: Instant,
        server: Tag,
        instances: &'c Candidates,
    ) -> Option<&'c InstanceInfo> {
        let mut first: [Option<(f64, &InstanceInfo)>; GRANTERS] = [None; GRANTERS];
        for instance in instances.all() {
            let tag = Tag::of(instance.node.as_str());
            let mut next = Some((rendezvous::score(u64::from(server.0), tag, 1.0), instance));
            for place in &mut first {
                if place.map(|(score, _)| score) < next.map(|(score, _)| score) {
                    std::mem::swap(place, &mut next);
                }
            }
        }
        let ranked = first.into_iter().flatten().map(|(_, instance)| instance);
        ranked.into_iter().find(|instance| !self.is_silent(now, &instance.node))
    }

    fn is_silent(&self, now: Instant, node: &NodeName) -> bool {
        self.silent.get(node).is_some_and(|until| now < *until)
    }

    /// Notes that an instance did not answer.
    pub fn note_unresponsive(&mut self, now: Instant, node: &NodeName) {
        self.silent.insert(node.clone(), now + SILENT_FOR);
    }
}
