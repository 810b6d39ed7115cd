//! The leases of this instance: the streams to brokers, the requests that wait, and the leases that are held.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{
    link::BrokerLink,
    messages::{Acquire, FromBroker, HeldLease, Hello, ToBroker},
    waiter::{WaitState, Waiter},
};
use crate::{
    clock::Clock,
    link::{
        peer::{PeerClient, StreamReceiver},
        traffic::{Purpose, TrafficCounter},
    },
    names::{NodeName, ServiceName, Tag},
    routing::{
        BrokerChoice, Candidates, InstanceInfo, LeaseId, LeaseTimes, RESPONSE_TIMEOUT, SlotRequest,
    },
    utils::{supervisor, sync::lock},
};

/// Stack of the thread that reads a broker's messages; its deepest call decodes one message.
const READER_STACK_BYTES: usize = 256 << 10;

/// A request for a lease that is not decided.
struct Pending {
    broker: NodeName,
    service: ServiceName,
    sent_at: Instant,
    time_left: Duration,
    waiter: Arc<Waiter>,
}

/// A lease that this instance holds.
struct Held {
    service: ServiceName,
    server: Tag,
    times: LeaseTimes,
    /// Brokers that the lease was granted by or reported to. Each gets its release.
    known_to: Vec<NodeName>,
}

#[derive(Default)]
struct State {
    choice: BrokerChoice,
    /// Broker of each service at the last request.
    brokers: IndexMap<ServiceName, Option<NodeName>>,
    /// Why an instance was last given up as a broker, for logs.
    reasons: IndexMap<NodeName, &'static str>,
    links: IndexMap<NodeName, Arc<BrokerLink>>,
    pending: IndexMap<LeaseId, Pending>,
    held: IndexMap<LeaseId, Held>,
}

/// The leases of this instance and its requests for more.
pub(super) struct LeaseClient {
    node: NodeName,
    clock: Clock,
    peers: PeerClient,
    state: Mutex<State>,
}

impl LeaseClient {
    /// Returns the client of an instance that holds no leases.
    pub(super) fn new(node: NodeName, clock: &Clock, traffic: &TrafficCounter) -> LeaseClient {
        let peers = PeerClient::new(clock.clone(), None, RESPONSE_TIMEOUT, traffic.clone());
        LeaseClient { node, clock: clock.clone(), peers, state: Mutex::default() }
    }

    /// Returns the broker of a service, and logs when it changes; `None` if no broker responds.
    pub(super) fn broker_of(
        &self,
        now: Instant,
        service: &ServiceName,
        instances: &Candidates,
    ) -> Option<InstanceInfo> {
        let mut state = lock(&self.state);
        let broker = state.choice.broker_of(now, service, instances).cloned();
        let node = broker.as_ref().map(|instance| instance.node.clone());
        let former = state.brokers.insert(service.clone(), node.clone()).flatten();
        if former != node {
            let name = |node: &Option<NodeName>| {
                node.as_ref().map_or_else(|| "none".to_owned(), NodeName::to_string)
            };
            let given_up = former.as_ref().and_then(|former| state.reasons.get(former));
            log::info!(
                "event=broker_changed service={service} from={} to={} reason={}",
                name(&former),
                name(&node),
                given_up.copied().unwrap_or("rank")
            );
        }
        if let Some(node) = &node {
            state.reasons.swap_remove(node);
        }
        broker
    }

    /// Registers a request for a lease that is sent to `broker` now.
    pub(super) fn register(
        &self,
        now: Instant,
        broker: &NodeName,
        service: &ServiceName,
        request: &SlotRequest,
    ) -> Arc<Waiter> {
        let waiter = Arc::new(Waiter::new());
        let pending = Pending {
            broker: broker.clone(),
            service: service.clone(),
            sent_at: now,
            time_left: request.time_left,
            waiter: Arc::clone(&waiter),
        };
        lock(&self.state).pending.insert(request.id, pending);
        waiter
    }

    /// Returns the leases of `service`, or of all services, that `broker` does not know of, and counts them as known to
    /// it.
    pub(super) fn take_unreported(
        &self,
        now: Instant,
        broker: &NodeName,
        service: Option<&ServiceName>,
    ) -> Vec<HeldLease> {
        let mut state = lock(&self.state);
        let unreported = state.held.iter_mut().filter(|(_, held)| {
            service.is_none_or(|service| held.service == *service)
                && !held.known_to.contains(broker)
        });
        let report = |(id, held): (&LeaseId, &mut Held)| {
            held.known_to.push(broker.clone());
            let (service, server) = (held.service.clone(), held.server);
            HeldLease { id: *id, service, server, time_left: held.times.time_left(now) }
        };
        unreported.map(report).collect()
    }

    /// Sends a registered request to another instance, on a new stream if none is open.
    pub(super) fn send(self: &Arc<Self>, now: Instant, broker: &InstanceInfo, acquire: Acquire) {
        let link = self.link(now, broker);
        let held = self.take_unreported(now, &broker.node, Some(&acquire.service));
        let reported = held.is_empty() || {
            let hello = Hello { node: self.node.clone(), held };
            link.send(now, ToBroker::Hello(hello))
        };
        if !reported || !link.send(now, ToBroker::Acquire(acquire)) {
            self.give_up_link(&link, "ended");
        }
    }

    fn link(self: &Arc<Self>, now: Instant, broker: &InstanceInfo) -> Arc<BrokerLink> {
        let mut state = lock(&self.state);
        let open = state.links.get(&broker.node).filter(|link| link.address == broker.address);
        if let Some(link) = open {
            return Arc::clone(link);
        }
        let link = Arc::new(BrokerLink::new(now, broker.node.clone(), broker.address));
        let former = state.links.insert(broker.node.clone(), Arc::clone(&link));
        drop(state);
        if let Some(former) = former {
            former.close();
        }
        let (client, reading) = (Arc::clone(self), Arc::clone(&link));
        let spawned = thread::Builder::new()
            .name("slot-stream".to_owned())
            .stack_size(READER_STACK_BYTES)
            .spawn(move || {
                if supervisor::catch("slot-stream", || client.run_link(&reading)).is_none() {
                    client.give_up_link(&reading, "ended");
                }
            });
        if let Err(error) = spawned {
            log::warn!("event=no_slot_stream peer={} reason=\"{error}\"", link.node);
            link.close();
        }
        link
    }

    /// Opens the stream of a link and reads it until it ends.
    fn run_link(&self, link: &BrokerLink) {
        let (sender, mut receiver) = match self.peers.open_stream(Purpose::Slots, link.address) {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("cannot open the stream to a slot broker: {error}");
                return self.give_up_link(link, "unreachable");
            }
        };
        let held = self.take_unreported(self.clock.now(), &link.node, None);
        let hello = ToBroker::Hello(Hello { node: self.node.clone(), held });
        if link.opened(sender, hello) {
            self.read_link(link, &mut receiver);
        }
        self.give_up_link(link, "ended");
    }

    fn read_link(&self, link: &BrokerLink, receiver: &mut StreamReceiver) {
        while let Some(message) = receiver.next_until_end() {
            link.note_received(self.clock.now());
            self.handle(message);
        }
    }

    /// Handles a message of a broker.
    pub(super) fn handle(&self, message: FromBroker) {
        let mut state = lock(&self.state);
        let id = match &message {
            FromBroker::Queued { id } => {
                if let Some(pending) = state.pending.get(id) {
                    pending.waiter.set(WaitState::Queued);
                }
                return;
            }
            FromBroker::Pong => return,
            FromBroker::Granted { id, .. }
            | FromBroker::Rejected { id, .. }
            | FromBroker::Unavailable { id } => *id,
        };
        // The release of an abandoned request is under way to the broker already.
        let Some(pending) = state.pending.swap_remove(&id) else { return };
        if let FromBroker::Granted { server, waited, .. } = message {
            let times = LeaseTimes::new(pending.sent_at, waited, pending.time_left);
            let (service, known_to) = (pending.service, vec![pending.broker]);
            state.held.insert(id, Held { service, server, times, known_to });
        }
        pending.waiter.set(WaitState::Decided(message));
    }

    /// Gives up the broker that a request waits for, if it does not respond; returns whether it does not.
    pub(super) fn give_up_if_silent(&self, now: Instant, broker: &NodeName) -> bool {
        let link = lock(&self.state).links.get(broker).cloned();
        let silent = link.filter(|link| link.is_silent(now));
        if let Some(link) = &silent {
            self.give_up_link(link, "silent");
        }
        silent.is_some()
    }

    /// Sends a ping on the stream to a broker that has been silent for a while.
    pub(super) fn ping_if_due(&self, now: Instant, broker: &NodeName) {
        let link = lock(&self.state).links.get(broker).cloned();
        if let Some(link) = link.filter(|link| link.needs_ping(now)) {
            link.send(now, ToBroker::Ping);
        }
    }

    /// Closes a stream, and skips its broker for a while if requests wait for it.
    fn give_up_link(&self, link: &BrokerLink, reason: &'static str) {
        link.close();
        let mut state = lock(&self.state);
        let is_current = |known: &Arc<BrokerLink>| std::ptr::eq(&**known, link);
        if !state.links.get(&link.node).is_some_and(is_current) {
            return;
        }
        state.links.swap_remove(&link.node);
        // The broker releases the leases that were granted or reported on the stream.
        state.held.values_mut().for_each(|held| held.known_to.retain(|node| *node != link.node));
        let is_needed = state.pending.values().any(|pending| pending.broker == link.node);
        if is_needed {
            self.skip(&mut state, &link.node, reason);
        }
    }

    /// Skips an instance as a broker for a while.
    pub(super) fn skip_broker(&self, broker: &NodeName, reason: &'static str) {
        self.skip(&mut lock(&self.state), broker, reason);
    }

    fn skip(&self, state: &mut State, broker: &NodeName, reason: &'static str) {
        state.choice.note_unresponsive(self.clock.now(), broker);
        state.reasons.insert(broker.clone(), reason);
        // Requests that wait for the broker turn to the next one.
        state.pending.retain(|_, pending| {
            let is_lost = pending.broker == *broker;
            if is_lost {
                pending.waiter.set(WaitState::Lost);
            }
            !is_lost
        });
    }

    /// Forgets a lease, or a request for one; returns the brokers that know of it.
    pub(super) fn forget(&self, id: LeaseId) -> Vec<NodeName> {
        let mut state = lock(&self.state);
        if let Some(pending) = state.pending.swap_remove(&id) {
            return vec![pending.broker];
        }
        state.held.swap_remove(&id).map(|held| held.known_to).unwrap_or_default()
    }

    /// Notifies another instance that a lease has ended.
    pub(super) fn send_release(&self, broker: &NodeName, id: LeaseId) {
        let link = lock(&self.state).links.get(broker).cloned();
        if let Some(link) = link {
            // A broker whose stream has ended releases the lease by itself.
            link.send(self.clock.now(), ToBroker::Release(id));
        }
    }

    /// Returns whether a lease may be used now.
    pub(super) fn is_usable(&self, now: Instant, id: LeaseId) -> bool {
        lock(&self.state).held.get(&id).is_some_and(|held| held.times.is_usable(now))
    }

    /// Returns the number of waiting requests.
    pub(super) fn waiting(&self) -> usize {
        lock(&self.state).pending.len()
    }

    /// Returns the number of waiting requests, the number of leases held, and the age of the oldest lease.
    pub(super) fn counts(&self, now: Instant) -> (usize, usize, Duration) {
        let state = lock(&self.state);
        let ages = state.held.values().map(|held| held.times.age(now));
        (state.pending.len(), state.held.len(), ages.max().unwrap_or_default())
    }
}
