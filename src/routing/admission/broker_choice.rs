//! Selects the instance that is the slot broker of a service.
//!
//! Every instance ranks the known instances in the same way, the strongest first, since the broker handles a message of
//! each request. Among equally strong ones the rendezvous hash of the service decides, so that services have different
//! brokers. Instances whose lists differ may use two brokers for a while; together those grant at most twice the slots.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{
    names::{NodeName, ServiceName, Tag},
    routing::{Candidates, InstanceInfo},
    zone::rendezvous,
};

/// Number of instances that may be the broker: if the first does not respond, the second is used. A third could grant
/// the slots a third time.
const BROKERS: usize = 2;

/// How long an instance that did not respond is skipped.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(2);

/// Selects the brokers of services.
#[derive(Debug, Default)]
pub struct BrokerChoice {
    /// Instances that did not respond, with the time until which they are skipped.
    unresponsive: IndexMap<NodeName, Instant>,
}

impl BrokerChoice {
    /// Returns the broker of `service`; `None` if neither of the first two in rank responds.
    pub fn broker_of<'c>(
        &self,
        now: Instant,
        service: &ServiceName,
        instances: &'c Candidates,
    ) -> Option<&'c InstanceInfo> {
        let key = u64::from(Tag::of(service.as_str()).0);
        let mut best: [Option<(f32, f64, &InstanceInfo)>; BROKERS] = [None; BROKERS];
        for instance in instances.all() {
            let score = rendezvous::score(key, Tag::of(instance.node.as_str()), 1.0);
            let mut next = Some((instance.cores, score, instance));
            for entry in &mut best {
                let rank = |e: &Option<(f32, f64, _)>| e.map(|(cores, score, _)| (cores, score));
                if rank(entry) < rank(&next) {
                    std::mem::swap(entry, &mut next);
                }
            }
        }
        let ranked = best.into_iter().flatten().map(|(.., instance)| instance);
        ranked.into_iter().find(|instance| !self.is_unresponsive(now, &instance.node))
    }

    fn is_unresponsive(&self, now: Instant, node: &NodeName) -> bool {
        self.unresponsive.get(node).is_some_and(|until| now < *until)
    }

    /// Records that an instance did not respond, or is not a broker.
    pub fn note_unresponsive(&mut self, now: Instant, node: &NodeName) {
        self.unresponsive.retain(|_, until| now < *until);
        self.unresponsive.insert(node.clone(), now + UNRESPONSIVE_DURATION);
    }
}
