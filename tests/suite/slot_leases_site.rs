//! Instances, brokers and holders of leases for the tests of slot leases.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    adapter::tables::INSTANCE_TABLE,
    clock::Clock,
    configs::fleet::chunks::encode,
    gateway::{
        GatewayHandle,
        slot_leases::messages::{Acquire, FromBroker, HeldLease, Hello, ToBroker},
    },
    link::{
        listener::Listener,
        peer::{self, PeerClient, PeerService, StreamReceiver, StreamSender},
        traffic::{Purpose, TrafficCounter},
    },
    routing::{InstanceInfo, LeaseId, SlotRequest},
    utils::sync::lock,
};
use serde_json::Value;
use standins::{listed::Listed, store::StoreStandIn};

use crate::{
    log_lines,
    support::eventually,
    testbed::{call, intent, port, settings},
};

/// Time by which a broker that does not respond may delay a request.
pub(crate) const DELAY_MAX: Duration = Duration::from_millis(60);

/// Scheduling delays of a busy machine in the tests, added to each limit.
pub(crate) const SLACK: Duration = Duration::from_millis(400);

/// A store with the configuration, and servers of one slot each.
pub(crate) struct Site {
    pub(crate) store: StoreStandIn,
    pub(crate) servers: Vec<Listed>,
}

impl Site {
    pub(crate) fn start(servers: usize) -> Site {
        log_lines::start();
        let store = StoreStandIn::spawn().expect("a store");
        store.put("op", "config", &intent(5));
        let spawn = |i| Listed::spawn(&format!("s{i}")).expect("a server");
        let servers: Vec<Listed> = (0..servers).map(spawn).collect();
        servers.iter().for_each(|server| store.put("servers", &server.id, &entry(server, "ready")));
        Site { store, servers }
    }

    /// Lists an instance that is stronger than all others, and so is the broker.
    pub(crate) fn list_broker(&self, name: &str, address: SocketAddr) {
        let node = name.parse().expect("a name");
        let zone = "north".parse().expect("a zone");
        let info = InstanceInfo { node, address, zone, cores: 99.0 };
        self.store.put_raw(INSTANCE_TABLE, name, encode(&info));
    }

    pub(crate) fn spawn(
        &self,
        node: &str,
        seeds: &[&GatewayHandle],
        clock: &Clock,
    ) -> GatewayHandle {
        let seeds = seeds.iter().map(|instance| instance.peers()).collect();
        let settings = settings(node, self.store.address(), seeds);
        let instance = GatewayHandle::spawn(settings, clock).expect("an instance");
        eventually("the instance is ready", || instance.gateway().is_ready());
        instance
    }

    /// Starts instances that know each other, before which a single request needs a lease.
    pub(crate) fn fleet(&self, count: usize) -> Vec<GatewayHandle> {
        let first = self.spawn("i0", &[], &Clock::system());
        let others = (1..count).map(|i| self.spawn(&format!("i{i}"), &[&first], &Clock::system()));
        let others: Vec<GatewayHandle> = others.collect();
        let fleet: Vec<GatewayHandle> = [first].into_iter().chain(others).collect();
        fleet.iter().for_each(|instance| wait_until_leased(instance, count));
        fleet
    }

    /// Starts one instance that knows the listed broker.
    pub(crate) fn single(&self, clock: &Clock) -> GatewayHandle {
        let instance = self.spawn("one", &[], clock);
        wait_until_small(&instance);
        instance
    }
}

pub(crate) fn entry(server: &Listed, state: &str) -> Value {
    let mut entry = server.entry("app", state);
    entry["slots"] = 1.into();
    entry
}

pub(crate) fn wait_until_known(instance: &GatewayHandle, count: usize) {
    eventually("the instances know each other", || instance.gateway().instances() == count);
}

pub(crate) fn wait_until_small(instance: &GatewayHandle) {
    let service = "app".parse().expect("a name");
    let gateway = instance.gateway();
    eventually("the service is small", || {
        let small = gateway.slot_leases.small_services();
        small.needs_lease(&service, false) && gateway.peers.has_joined(gateway.clock.now())
    });
}

pub(crate) fn wait_until_leased(instance: &GatewayHandle, count: usize) {
    wait_until_known(instance, count);
    wait_until_small(instance);
    eventually("slots are leased", || {
        call("/idem/", "warm").send(instance.callers());
        count_of(instance, "granted") > 0
    });
}

/// Returns how many requests arrived at a server. Instances of tests that have ended still exchange messages with ports
/// that may be the server's now; those do not count.
pub(crate) fn arrivals(server: &Listed) -> usize {
    server.arrivals().iter().filter(|r| r.head.target == "/idem/").count()
}

/// Returns how many requests of an instance for a lease had this result.
pub(crate) fn count_of(instance: &GatewayHandle, result: &str) -> u64 {
    let text = instance.gateway().metrics.text();
    let label = format!("result=\"{result}\"");
    let mut lines = text.lines().filter(|l| l.starts_with("cartvane_slot_leases_total{"));
    let line = lines.find(|l| l.contains(&label));
    line.and_then(|l| l.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

pub(crate) fn timed(instance: &GatewayHandle, id: &str) -> (u16, Duration) {
    let started = Instant::now();
    let status = call("/idem/", id).send(instance.callers()).status;
    (status, started.elapsed())
}

/// A broker that follows a script, and what it was sent.
pub(crate) struct ScriptedBroker {
    pub(crate) listener: Listener,
    pub(crate) received: Arc<Mutex<Vec<ToBroker>>>,
}

impl ScriptedBroker {
    pub(crate) fn spawn(
        script: impl Fn(&ToBroker) -> Vec<FromBroker> + Send + Sync + 'static,
    ) -> Self {
        let received: Arc<Mutex<Vec<ToBroker>>> = Arc::default();
        let seen = Arc::clone(&received);
        let traffic = TrafficCounter::new(|_, _, _| {});
        let serve = move |conn| {
            let handle_stream = |sender: StreamSender, mut receiver: StreamReceiver| {
                while let Some(message) = receiver.next_until_end::<ToBroker>() {
                    lock(&seen).push(message.clone());
                    script(&message).iter().for_each(|reply| {
                        sender.send(reply);
                    });
                }
            };
            let service = PeerService {
                credentials: None,
                timeout: DELAY_MAX,
                traffic: &traffic,
                handle_call: |_: &str, _: &[u8]| Err(503),
                handle_stream,
                purpose: |_| Purpose::Slots,
            };
            peer::serve(conn, &service);
        };
        let listener = Listener::bind(port(0), Clock::system(), 100, serve, drop);
        ScriptedBroker { listener: listener.expect("a listener"), received }
    }

    pub(crate) fn acquired(&self) -> Vec<LeaseId> {
        let acquired =
            |m: &ToBroker| if let ToBroker::Acquire(a) = m { Some(a.request.id) } else { None };
        lock(&self.received).iter().filter_map(acquired).collect()
    }

    pub(crate) fn has_released(&self, id: LeaseId) -> bool {
        lock(&self.received).contains(&ToBroker::Release(id))
    }
}

/// An instance that speaks to a broker, as far as the broker can tell.
pub(crate) struct Holder {
    pub(crate) sender: StreamSender,
    pub(crate) replies: mpsc::Receiver<FromBroker>,
}

impl Holder {
    pub(crate) fn open(broker: &GatewayHandle, held: Vec<HeldLease>) -> Holder {
        let traffic = TrafficCounter::new(|_, _, _| {});
        let client = PeerClient::new(Clock::system(), None, Duration::from_secs(1), traffic);
        let (sender, mut receiver) =
            client.open_stream(Purpose::Slots, broker.peers()).expect("a stream");
        let (tx, replies) = mpsc::channel();
        thread::spawn(move || {
            while let Some(message) = receiver.next_until_end::<FromBroker>() {
                if tx.send(message).is_err() {
                    return;
                }
            }
        });
        let hello = Hello { node: "holder".parse().expect("a name"), held };
        assert!(sender.send(&ToBroker::Hello(hello)));
        Holder { sender, replies }
    }

    /// Requests leases until one is granted, and returns its id: the release of an earlier lease may be under way.
    pub(crate) fn acquire_soon(&self, time_left: Duration) -> u64 {
        let mut id = 0;
        eventually("a slot is leased", || {
            id = fastrand::u64(..);
            self.acquire(id, time_left)
        });
        id
    }

    /// Requests a lease that the request cannot wait for; returns whether it was granted.
    pub(crate) fn acquire(&self, id: u64, time_left: Duration) -> bool {
        assert!(self.sender.send(&ToBroker::Acquire(acquire(id, time_left))));
        loop {
            match self.replies.recv_timeout(Duration::from_secs(5)).expect("a reply") {
                FromBroker::Granted { id: LeaseId(granted), .. } => return granted == id,
                FromBroker::Rejected { .. } | FromBroker::Unavailable { .. } => return false,
                FromBroker::Queued { .. } | FromBroker::Pong => {}
            }
        }
    }
}

/// Returns a request for a lease that cannot wait.
pub(crate) fn acquire(id: u64, time_left: Duration) -> Acquire {
    let request = SlotRequest {
        id: LeaseId(id),
        team: None,
        priority: 1,
        digest: id,
        wait_max: Duration::ZERO,
        time_left,
        excluded: Vec::new(),
        zone: "north".parse().expect("a zone"),
    };
    Acquire { service: "app".parse().expect("a name"), request }
}
