//! The broker's side: one [`SlotBroker`] for each small service whose broker this instance is, fed under a lock.

use std::{
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::messages::{Acquire, FromBroker, HeldLease, Hello, ToBroker};
use crate::{
    gateway::Gateway,
    link::peer::{StreamReceiver, StreamSender},
    names::{NodeName, ServiceName},
    routing::{BrokerAction, LeaseId, ServerSlots, SlotBroker},
    utils::{signal::Signal, sync::lock},
};

/// Time between two comparisons of the brokers' lists of servers with the current one, and the longest time until a
/// drain is noticed: about the age of a list that an exchange brings.
const REFRESH_PERIOD: Duration = Duration::from_millis(250);

/// Shortest time between two ticks, so that many waits that end one after the other do not occupy the processor.
const TICK_MIN: Duration = Duration::from_millis(1);

/// Time after the end of an instance's stream at which its leases are released: by then the connections of an instance
/// that has died have ended too, and its requests no longer occupy slots.
const LOST_HOLDER_GRACE: Duration = Duration::from_millis(250);

/// Identity of a stream of an instance to this broker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SessionId(u64);

/// Where the replies to a request go.
#[derive(Clone)]
enum ReplyPath {
    /// To this instance's own requests.
    Own,
    Stream(SessionId, Arc<StreamSender>),
}

impl ReplyPath {
    fn is_session(&self, session: SessionId) -> bool {
        matches!(self, ReplyPath::Stream(own, _) if *own == session)
    }
}

/// A message and where it goes; sent after the lock is released, since a send may block.
type Outgoing = Vec<(ReplyPath, FromBroker)>;

/// A request that waits or holds a lease.
struct Entry {
    service: ServiceName,
    reply_path: ReplyPath,
    received_at: Instant,
    expires_at: Instant,
    is_waiting: bool,
}

/// The broker of one service.
struct ServiceBroker {
    broker: SlotBroker,
    /// The list of servers that the broker was given last.
    servers: Vec<ServerSlots>,
}

#[derive(Default)]
struct State {
    services: IndexMap<ServiceName, ServiceBroker>,
    entries: IndexMap<LeaseId, Entry>,
    sessions: u64,
    /// When the thread that ticks the brokers wakes up next.
    wakes_at: Option<Instant>,
}

/// The brokers of this instance.
#[derive(Default)]
pub(super) struct LeaseServer {
    state: Mutex<State>,
    /// Wakes the thread that ticks the brokers.
    wake: Signal,
    must_refresh: AtomicBool,
    /// Whether that thread has been started.
    is_ticking: AtomicBool,
}

impl State {
    /// Returns the messages for the actions of a broker.
    fn apply(&mut self, now: Instant, actions: Vec<BrokerAction>) -> Outgoing {
        actions.into_iter().filter_map(|action| self.apply_one(now, action)).collect()
    }

    fn apply_one(&mut self, now: Instant, action: BrokerAction) -> Option<(ReplyPath, FromBroker)> {
        match action {
            BrokerAction::Grant { id, server } => {
                let entry = self.entries.get_mut(&id)?;
                entry.is_waiting = false;
                let waited = now.saturating_duration_since(entry.received_at);
                Some((entry.reply_path.clone(), FromBroker::Granted { id, server, waited }))
            }
            BrokerAction::Queue { id } => {
                let entry = self.entries.get_mut(&id)?;
                entry.is_waiting = true;
                Some((entry.reply_path.clone(), FromBroker::Queued { id }))
            }
            BrokerAction::Reject { id, retry_after } => {
                let entry = self.entries.swap_remove(&id)?;
                let waiting = |e: &&Entry| e.is_waiting && e.service == entry.service;
                let queue = self.entries.values().filter(waiting).count();
                let queue = u32::try_from(queue).unwrap_or(u32::MAX);
                Some((entry.reply_path, FromBroker::Rejected { id, retry_after, queue }))
            }
        }
    }

    /// Sets the list of servers of a service. A service without servers, for example one that only other instances know
    /// of, gets no broker.
    fn set_servers(
        &mut self,
        now: Instant,
        service: &ServiceName,
        servers: Vec<ServerSlots>,
    ) -> Outgoing {
        if servers.is_empty() && !self.services.contains_key(service) {
            return Outgoing::new();
        }
        let entry = self.services.entry(service.clone()).or_insert_with(|| ServiceBroker {
            broker: SlotBroker::default(),
            servers: Vec::new(),
        });
        if entry.servers == servers {
            return Outgoing::new();
        }
        entry.servers.clone_from(&servers);
        let actions = entry.broker.set_servers(now, servers);
        self.apply(now, actions)
    }

    fn request(&mut self, now: Instant, reply_path: ReplyPath, acquire: Acquire) -> Outgoing {
        let Acquire { service, request } = acquire;
        let id = request.id;
        let Some(ServiceBroker { broker, servers }) = self.services.get_mut(&service) else {
            return vec![(reply_path, FromBroker::Unavailable { id })];
        };
        if servers.is_empty() {
            return vec![(reply_path, FromBroker::Unavailable { id })];
        }
        let expires_at = now + request.time_left;
        let actions = broker.request(now, request);
        let entry = Entry { service, reply_path, received_at: now, expires_at, is_waiting: false };
        self.entries.insert(id, entry);
        self.apply(now, actions)
    }

    fn adopt(&mut self, now: Instant, reply_path: &ReplyPath, lease: HeldLease) {
        let Some(service) = self.services.get_mut(&lease.service) else { return };
        service.broker.adopt(now, lease.id, lease.server, lease.time_left);
        let entry = Entry {
            service: lease.service,
            reply_path: reply_path.clone(),
            received_at: now,
            expires_at: now + lease.time_left,
            is_waiting: false,
        };
        self.entries.insert(lease.id, entry);
    }

    fn release(&mut self, now: Instant, id: LeaseId) -> Outgoing {
        let Some(entry) = self.entries.swap_remove(&id) else { return Outgoing::new() };
        let Some(service) = self.services.get_mut(&entry.service) else { return Outgoing::new() };
        let actions = service.broker.release(now, id);
        self.apply(now, actions)
    }

    /// Releases the entries for which `is_ended` holds; returns their number.
    fn release_where(
        &mut self,
        now: Instant,
        is_ended: impl Fn(&Entry) -> bool,
    ) -> (usize, Outgoing) {
        let ended = self.entries.iter().filter(|(_, entry)| is_ended(entry));
        let ended: Vec<LeaseId> = ended.map(|(id, _)| *id).collect();
        (ended.len(), ended.into_iter().flat_map(|id| self.release(now, id)).collect())
    }

    /// Ends all waits, and returns the messages that send the waiting requests to another broker.
    fn end_waits(&mut self, now: Instant) -> Outgoing {
        let waiting = self.entries.iter().filter(|(_, entry)| entry.is_waiting);
        let waiting: Vec<(LeaseId, ReplyPath)> =
            waiting.map(|(id, entry)| (*id, entry.reply_path.clone())).collect();
        // No slot is granted to one waiting request because another one has left the queue.
        let messages = waiting.into_iter().map(|(id, reply_path)| {
            self.release(now, id);
            (reply_path, FromBroker::Unavailable { id })
        });
        messages.collect()
    }

    fn tick(&mut self, now: Instant) -> Outgoing {
        let mut actions = Vec::new();
        for service in self.services.values_mut() {
            actions.extend(service.broker.tick(now));
        }
        let outgoing = self.apply(now, actions);
        self.entries.retain(|_, entry| entry.is_waiting || now < entry.expires_at);
        outgoing
    }

    fn next_tick(&self) -> Option<Instant> {
        self.services.values().filter_map(|service| service.broker.next_tick()).min()
    }
}

impl LeaseServer {
    /// Has the brokers apply a changed list of servers, or a drain, at once.
    pub(super) fn refresh(&self) {
        self.must_refresh.store(true, Ordering::Relaxed);
        self.wake.set();
    }
}

impl Gateway {
    /// Handles a request of this instance for a lease of its own broker.
    pub(super) fn handle_own_acquire(&self, acquire: Acquire, held: Vec<HeldLease>) {
        let outgoing = self.acquire_at_broker(ReplyPath::Own, acquire, held);
        self.deliver(outgoing);
    }

    /// Handles the release of a lease that this instance's own broker granted.
    pub(super) fn handle_own_release(&self, id: LeaseId) {
        let outgoing = lock(&self.slot_leases.server.state).release(self.clock.now(), id);
        self.deliver(outgoing);
    }

    fn acquire_at_broker(
        &self,
        reply_path: ReplyPath,
        acquire: Acquire,
        held: Vec<HeldLease>,
    ) -> Outgoing {
        let now = self.clock.now();
        let id = acquire.request.id;
        self.ensure_ticking();
        // Before the instances know each other, several could take themselves for the broker.
        if self.drain.is_draining() || !self.peers.has_joined(now) {
            return vec![(reply_path, FromBroker::Unavailable { id })];
        }
        let servers = self.servers_to_lease(&acquire.service);
        let server = &self.slot_leases.server;
        let mut state = lock(&server.state);
        let mut outgoing = state.set_servers(now, &acquire.service, servers);
        held.into_iter().for_each(|lease| state.adopt(now, &reply_path, lease));
        outgoing.extend(state.request(now, reply_path, acquire));
        let (next, wakes_at) = (state.next_tick(), state.wakes_at);
        let wakes_too_late = next.is_some() && next < wakes_at;
        drop(state);
        if wakes_too_late {
            server.wake.set();
        }
        outgoing
    }

    /// Returns the servers of a service whose slots may be leased; none if some do not state their slots.
    fn servers_to_lease(&self, service: &ServiceName) -> Vec<ServerSlots> {
        lock(&self.picker).slots_to_lease(service).unwrap_or_default()
    }

    /// Starts the thread that ticks the brokers, unless it runs: an instance that is no broker has no thread for it.
    fn ensure_ticking(&self) {
        let is_ticking = &self.slot_leases.server.is_ticking;
        let gateway = self.slot_leases.gateway.get().and_then(Weak::upgrade);
        let Some(gateway) = gateway.filter(|_| !is_ticking.swap(true, Ordering::Relaxed)) else {
            return;
        };
        if let Err(error) = gateway.spawn_thread("slots", run) {
            log::warn!("event=no_slot_ticks reason=\"{error}\"");
            is_ticking.store(false, Ordering::Relaxed);
        }
    }

    fn adopt_at_broker(&self, reply_path: &ReplyPath, held: Vec<HeldLease>) -> Outgoing {
        let now = self.clock.now();
        let mut outgoing = Outgoing::new();
        if !held.is_empty() {
            self.ensure_ticking();
        }
        for lease in held {
            let servers = self.servers_to_lease(&lease.service);
            let mut state = lock(&self.slot_leases.server.state);
            outgoing.extend(state.set_servers(now, &lease.service, servers));
            state.adopt(now, reply_path, lease);
        }
        outgoing
    }

    fn deliver(&self, outgoing: Outgoing) {
        for (reply_path, message) in outgoing {
            match reply_path {
                ReplyPath::Own => self.slot_leases.client.handle(message),
                // A stream that fails to send is closed; the thread that reads it releases the leases.
                ReplyPath::Stream(_, sender) => drop(sender.send(&message)),
            }
        }
    }

    /// Serves the stream of an instance to this broker until it ends.
    pub(in crate::gateway) fn serve_slot_stream(
        &self,
        sender: StreamSender,
        mut receiver: StreamReceiver,
    ) {
        let session = {
            let mut state = lock(&self.slot_leases.server.state);
            state.sessions += 1;
            SessionId(state.sessions)
        };
        let sender = Arc::new(sender);
        let reply_path = ReplyPath::Stream(session, Arc::clone(&sender));
        let mut node = None;
        while let Some(message) = receiver.next_until_end::<ToBroker>() {
            let outgoing = match message {
                ToBroker::Hello(Hello { node: from, held }) => {
                    node = Some(from);
                    self.adopt_at_broker(&reply_path, held)
                }
                // The first message of a stream must name its sender.
                _ if node.is_none() => break,
                ToBroker::Acquire(acquire) => {
                    self.acquire_at_broker(reply_path.clone(), acquire, Vec::new())
                }
                ToBroker::Release(id) => {
                    lock(&self.slot_leases.server.state).release(self.clock.now(), id)
                }
                ToBroker::Ping => vec![(reply_path.clone(), FromBroker::Pong)],
            };
            self.deliver(outgoing);
        }
        sender.shutdown();
        drop(receiver);
        if let Some(node) = node {
            self.end_session(session, &node);
        }
    }

    /// Releases what an instance waited for and, after a grace period, what it held.
    fn end_session(&self, session: SessionId, node: &NodeName) {
        let server = &self.slot_leases.server;
        let is_waiting = |e: &Entry| e.is_waiting && e.reply_path.is_session(session);
        let (_, outgoing) = lock(&server.state).release_where(self.clock.now(), is_waiting);
        self.deliver(outgoing);
        thread::sleep(LOST_HOLDER_GRACE);
        // Leases that the instance has reported on a new stream belong to that one now.
        let is_held = |e: &Entry| e.reply_path.is_session(session);
        let (lost, outgoing) = lock(&server.state).release_where(self.clock.now(), is_held);
        self.deliver(outgoing);
        if lost > 0 {
            log::info!("event=lease_holder_lost peer={node} leases={lost}");
        }
    }

    fn refresh_brokers(&self, now: Instant) {
        let server = &self.slot_leases.server;
        let services: Vec<ServiceName> = lock(&server.state).services.keys().cloned().collect();
        for service in services {
            let servers = self.servers_to_lease(&service);
            let outgoing = lock(&server.state).set_servers(now, &service, servers);
            self.deliver(outgoing);
        }
        if self.drain.is_draining() {
            let outgoing = lock(&server.state).end_waits(now);
            self.deliver(outgoing);
        }
    }
}

/// Ticks the brokers of this instance until the process ends.
fn run(gateway: &Arc<Gateway>) {
    let server = &gateway.slot_leases.server;
    let mut refreshed_at = None;
    loop {
        let now = gateway.clock.now();
        let is_due = |at| now.saturating_duration_since(at) >= REFRESH_PERIOD;
        if server.must_refresh.swap(false, Ordering::Relaxed) || refreshed_at.is_none_or(is_due) {
            gateway.refresh_brokers(now);
            refreshed_at = Some(now);
        }
        let (outgoing, wakes_at) = {
            let mut state = lock(&server.state);
            let outgoing = state.tick(now);
            let latest = now + REFRESH_PERIOD;
            let wakes_at = state.next_tick().map_or(latest, |next| next.min(latest));
            state.wakes_at = Some(wakes_at);
            (outgoing, wakes_at)
        };
        gateway.deliver(outgoing);
        thread::sleep(TICK_MIN);
        server.wake.wait(wakes_at.saturating_duration_since(gateway.clock.now()));
    }
}
