//! Slot leases of small services: each failure of the broker, of the holder of a lease and of a server.

use std::{
    net::{SocketAddr, TcpListener},
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
    names::Tag,
    routing::{InstanceInfo, LeaseId, SlotRequest},
    utils::sync::lock,
};
use serde_json::Value;
use standins::{fault::Fault, listed::Listed, mute::MutableLink, store::StoreStandIn};

use crate::{
    log_lines,
    support::eventually,
    suspended::AdvancingClock,
    testbed::{call, intent, port, settings},
};

/// Time by which a broker that does not respond may delay a request.
const DELAY_MAX: Duration = Duration::from_millis(60);

/// Smallest step of the clock.
const MILLISECOND: Duration = Duration::from_millis(1);

/// Time to connect and to send a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a broker that did not respond is skipped.
const SKIP_TIME: Duration = Duration::from_secs(2);

/// Real time in which a waiting request checks the clock several times. On a slower machine a wait that ends too early may be
/// overlooked; a wait that ends too late never is.
const POLLS: Duration = Duration::from_millis(200);

/// Real time in which something that may not happen usually happens.
const SOON: Duration = Duration::from_secs(2);

/// A store with the configuration, and servers of one slot each.
struct Site {
    store: StoreStandIn,
    servers: Vec<Listed>,
}

impl Site {
    fn start(servers: usize) -> Site {
        log_lines::start();
        let store = StoreStandIn::spawn().expect("a store");
        store.put("op", "config", &intent(5));
        let spawn = |i| Listed::spawn(&format!("s{i}")).expect("a server");
        let servers: Vec<Listed> = (0..servers).map(spawn).collect();
        servers.iter().for_each(|server| store.put("servers", &server.id, &entry(server, "ready")));
        Site { store, servers }
    }

    /// Lists an instance that is stronger than all others, and so is the broker.
    fn list_broker(&self, name: &str, address: SocketAddr) {
        let node = name.parse().expect("a name");
        let zone = "north".parse().expect("a zone");
        let info = InstanceInfo { node, address, zone, cores: 99.0 };
        self.store.put_raw(INSTANCE_TABLE, name, encode(&info));
    }

    fn spawn(&self, node: &str, seeds: &[&GatewayHandle], clock: &Clock) -> GatewayHandle {
        let seeds = seeds.iter().map(|instance| instance.peers()).collect();
        let settings = settings(node, self.store.address(), seeds);
        let instance = GatewayHandle::spawn(settings, clock).expect("an instance");
        eventually("the instance is ready", || instance.gateway().is_ready());
        instance
    }

    /// Starts instances that know each other, before which a single request needs a lease.
    fn fleet(&self, count: usize) -> Vec<GatewayHandle> {
        self.fleet_with(count, &Clock::system())
    }

    fn fleet_with(&self, count: usize, clock: &Clock) -> Vec<GatewayHandle> {
        let first = self.spawn("i0", &[], clock);
        let others = (1..count).map(|i| self.spawn(&format!("i{i}"), &[&first], clock));
        let others: Vec<GatewayHandle> = others.collect();
        let fleet: Vec<GatewayHandle> = [first].into_iter().chain(others).collect();
        fleet.iter().for_each(|instance| wait_until_leased(instance, count));
        fleet
    }

    /// Starts one instance that knows the listed broker.
    fn single(&self, clock: &Clock) -> GatewayHandle {
        let instance = self.spawn("one", &[], clock);
        wait_until_small(&instance);
        instance
    }
}

fn entry(server: &Listed, state: &str) -> Value {
    let mut entry = server.entry("app", state);
    entry["slots"] = 1.into();
    entry
}

fn wait_until_known(instance: &GatewayHandle, count: usize) {
    eventually("the instances know each other", || instance.gateway().instances() == count);
}

fn wait_until_small(instance: &GatewayHandle) {
    let service = "app".parse().expect("a name");
    let gateway = instance.gateway();
    eventually("the service is small", || {
        let small = gateway.slot_leases.small_services();
        small.needs_lease(&service, false) && gateway.peers.has_joined(gateway.clock.now())
    });
}

fn wait_until_leased(instance: &GatewayHandle, count: usize) {
    wait_until_known(instance, count);
    wait_until_small(instance);
    wait_until_granted(instance);
}

fn wait_until_granted(instance: &GatewayHandle) {
    eventually("slots are leased", || {
        call("/idem/", "warm").send(instance.callers());
        count_of(instance, "granted") > 0
    });
}

/// Returns how many requests arrived at a server. Instances of tests that have ended still exchange messages with ports
/// that may be the server's now; those do not count.
fn arrivals(server: &Listed) -> usize {
    server.arrivals().iter().filter(|r| r.head.target == "/idem/").count()
}

/// Returns how many requests of an instance for a lease had this result.
fn count_of(instance: &GatewayHandle, result: &str) -> u64 {
    let text = instance.gateway().metrics.text();
    let label = format!("result=\"{result}\"");
    let mut lines = text.lines().filter(|l| l.starts_with("cartvane_slot_leases_total{"));
    let line = lines.find(|l| l.contains(&label));
    line.and_then(|l| l.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

fn status_of(instance: &GatewayHandle, id: &str) -> u16 {
    Sent::new(instance, id).status()
}

/// Returns how many requests of an instance wait for a broker.
fn waiting(instance: &GatewayHandle) -> usize {
    instance.gateway().slot_leases.waiting()
}

/// Waits until a condition holds; returns false if it does not within a tenth of the time that `eventually` waits.
fn soon(mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + SOON;
    while !condition() {
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(MILLISECOND);
    }
    true
}

/// Sends a request while the time stands still and checks that it waits for as long as a broker may delay it, and no longer:
/// a wait with a later end would not end at all.
fn assert_served_after_delay(instance: &GatewayHandle, advancing: &AdvancingClock, id: &str) {
    let request = Sent::new(instance, id);
    eventually("the request waits for the broker", || waiting(instance) == 1);
    advancing.advance(DELAY_MAX - MILLISECOND);
    thread::sleep(POLLS);
    assert!(!request.is_answered(), "the broker has 60 ms for its reply");
    advancing.advance(MILLISECOND);
    assert_eq!(request.status(), 200);
}

/// A request that was sent, and the thread that waits for its response.
struct Sent(thread::JoinHandle<u16>);

impl Sent {
    fn new(instance: &GatewayHandle, id: &str) -> Sent {
        let (callers, call) = (instance.callers(), call("/idem/", id));
        Sent(thread::spawn(move || call.send(callers).status))
    }

    fn is_answered(&self) -> bool {
        self.0.is_finished()
    }

    fn status(self) -> u16 {
        eventually("the request is answered", || self.is_answered());
        self.0.join().expect("a status")
    }
}

/// A broker that follows a script, and what it was sent.
struct ScriptedBroker {
    listener: Listener,
    received: Arc<Mutex<Vec<ToBroker>>>,
}

impl ScriptedBroker {
    fn spawn(script: impl Fn(&ToBroker) -> Vec<FromBroker> + Send + Sync + 'static) -> Self {
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
                handle_tunnel: None,
                purpose: |_| Purpose::Slots,
            };
            peer::serve(conn, &service);
        };
        let listener = Listener::bind(port(0), Clock::system(), 100, serve, drop);
        ScriptedBroker { listener: listener.expect("a listener"), received }
    }

    fn acquired(&self) -> Vec<LeaseId> {
        let acquired =
            |m: &ToBroker| if let ToBroker::Acquire(a) = m { Some(a.request.id) } else { None };
        lock(&self.received).iter().filter_map(acquired).collect()
    }

    fn pings(&self) -> usize {
        lock(&self.received).iter().filter(|message| **message == ToBroker::Ping).count()
    }

    fn has_released(&self, id: LeaseId) -> bool {
        lock(&self.received).contains(&ToBroker::Release(id))
    }
}

/// An instance that speaks to a broker, as far as the broker can tell.
struct Holder {
    sender: StreamSender,
    replies: mpsc::Receiver<FromBroker>,
}

impl Holder {
    fn open(broker: &GatewayHandle, held: Vec<HeldLease>) -> Holder {
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
    fn acquire_soon(&self, time_left: Duration) -> u64 {
        let mut id = 0;
        eventually("a slot is leased", || {
            id = fastrand::u64(..);
            self.acquire(id, time_left)
        });
        id
    }

    /// Requests a lease that the request cannot wait for; returns whether it was granted.
    fn acquire(&self, id: u64, time_left: Duration) -> bool {
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
fn acquire(id: u64, time_left: Duration) -> Acquire {
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

/// Returns the size of a message in bytes, without the framing of the stream.
fn size(message: &impl serde::Serialize) -> usize {
    encode(message).len()
}

fn queue(message: &ToBroker) -> Vec<FromBroker> {
    let ToBroker::Acquire(Acquire { request, .. }) = message else { return Vec::new() };
    vec![FromBroker::Queued { id: request.id }]
}

fn grant(message: &ToBroker, server: &str) -> Vec<FromBroker> {
    let ToBroker::Acquire(Acquire { request, .. }) = message else { return Vec::new() };
    vec![FromBroker::Granted { id: request.id, server: Tag::of(server), waited: Duration::ZERO }]
}

// Guards against instances that send to the same free slot: a slot runs one request after the other.
#[test]
fn a_slot_serves_one_request_at_a_time_and_the_rest_is_told_when_to_retry() {
    const RUN: Duration = Duration::from_millis(30);
    let site = Site::start(1);
    let fleet = site.fleet(3);
    site.servers[0].faults.set_standing(Some(Fault::Late(RUN)));
    let (before, started) = (arrivals(&site.servers[0]), Instant::now());
    let senders: Vec<_> = fleet
        .iter()
        .enumerate()
        .map(|(number, instance)| {
            let callers = instance.callers();
            thread::spawn(move || {
                let send = |i| call("/idem/", &format!("{number}-{i}")).send(callers);
                let answers = (0..25).map(send);
                answers.map(|a| (a.status, a.header("retry-after").to_owned())).collect::<Vec<_>>()
            })
        })
        .collect();
    let answers: Vec<(u16, String)> =
        senders.into_iter().flat_map(|sender| sender.join().expect("all are answered")).collect();
    let runs = arrivals(&site.servers[0]) - before;
    let most = started.elapsed().as_millis() / RUN.as_millis() + 1;
    assert!(runs as u128 <= most, "{runs} runs, {most} fit into the slot");
    let served = answers.iter().filter(|(status, _)| *status == 200).count();
    assert!(
        served > 0 && answers.iter().all(|(s, retry)| *s == 200 || *s == 503 && !retry.is_empty())
    );
    assert_eq!(served, runs, "a request that was sent was answered");
}

// Guards against a refusal without the promise of the broker, or one after which the instance decides again.
#[test]
fn a_rejected_request_gets_the_retry_after_of_the_broker() {
    let site = Site::start(1);
    let broker = ScriptedBroker::spawn(|message| {
        let ToBroker::Acquire(Acquire { request, .. }) = message else { return Vec::new() };
        let retry_after = Duration::from_millis(370);
        vec![FromBroker::Rejected { id: request.id, retry_after, queue: 7 }]
    });
    site.list_broker("rejecting", broker.listener.address());
    let instance = site.single(&Clock::system());
    let answer = call("/idem/", "a").send(instance.callers());
    let retry_after: f64 = answer.header("retry-after").parse().expect("seconds");
    assert_eq!((answer.status, retry_after), (503, 0.37));
    assert_eq!(arrivals(&site.servers[0]), 0);
    let line = log_lines::matching(&["event=slot_rejected request=a"]);
    assert!(line.contains("queue=7 retry_after_ms=370 broker=rejecting"), "{line}");
}

// Guards against a request that waits for a process that has ended.
#[test]
fn a_broker_that_is_gone_is_replaced_by_the_next_in_rank_at_once() {
    let site = Site::start(1);
    // Nothing listens on port 1.
    site.list_broker("gone", port(1));
    let advancing = AdvancingClock::new();
    let instance = site.single(&advancing.clock);
    let _paused = advancing.pause();
    assert_eq!(status_of(&instance, "a"), 200);
    assert_eq!(count_of(&instance, "granted"), 1, "by the instance itself, the next in rank");
}

// Guards against a partitioned broker that delays each request, or one request for longer than 60 ms.
#[test]
fn a_broker_that_says_nothing_delays_a_request_by_60_ms_and_is_skipped_for_2_s() {
    let site = Site::start(1);
    let mute = TcpListener::bind(port(0)).expect("a listener");
    site.list_broker("mute", mute.local_addr().expect("an address"));
    let advancing = AdvancingClock::new();
    let instance = site.single(&advancing.clock);
    let _paused = advancing.pause();
    for round in 0..3 {
        assert_served_after_delay(&instance, &advancing, &format!("delayed{round}"));
        for i in 0..4 {
            assert_eq!(status_of(&instance, &format!("a{round}-{i}")), 200);
            advancing.advance(SKIP_TIME / 4);
        }
    }
    assert_eq!(count_of(&instance, "granted"), 15, "by the instance itself, the next in rank");
    let changes = log_lines::matching(&["from=mute to=one reason=silent"]);
    let given_up = changes.lines().filter(|line| line.contains("event=broker_changed")).count();
    assert_eq!(given_up, 3, "{changes}");
}

// Guards against a delay for each of the brokers that do not respond.
#[test]
fn two_brokers_that_say_nothing_delay_a_request_by_60_ms_in_all() {
    let site = Site::start(1);
    let mute = [(); 2].map(|()| TcpListener::bind(port(0)).expect("a listener"));
    for (i, listener) in mute.iter().enumerate() {
        site.list_broker(&format!("mute{i}"), listener.local_addr().expect("an address"));
    }
    let advancing = AdvancingClock::new();
    let instance = site.single(&advancing.clock);
    wait_until_known(&instance, 3);
    let _paused = advancing.pause();
    assert_served_after_delay(&instance, &advancing, "a");
    assert_eq!(count_of(&instance, "alone"), 1);
}

// Guards against a frozen broker whose connections stay open.
#[test]
fn a_broker_that_freezes_is_replaced_by_the_next_in_rank() {
    let site = Site::start(1);
    let broker = site.spawn("strong", &[], &Clock::system());
    let link = MutableLink::spawn(broker.peers()).expect("a link");
    site.list_broker("frozen", link.address());
    let advancing = AdvancingClock::new();
    let instance = site.spawn("one", &[], &advancing.clock);
    wait_until_known(&instance, 3);
    wait_until_small(&instance);
    // Before the first request for a lease: on a stalled machine the broker would be given up, and then skipped.
    let _paused = advancing.pause();
    wait_until_granted(&instance);
    assert_eq!(count_of(&broker, "granted"), 0);
    link.mute();
    assert_served_after_delay(&instance, &advancing, "a");
}

// Guards against a request that waits in the queue of a frozen broker until its time is over.
#[test]
fn a_queued_request_leaves_a_broker_that_freezes() {
    let site = Site::start(1);
    let broker = ScriptedBroker::spawn(queue);
    site.list_broker("queueing", broker.listener.address());
    let advancing = AdvancingClock::new();
    let instance = site.single(&advancing.clock);
    let _paused = advancing.pause();
    // If the time goes on before the reply is read, the broker is given up and the request does not wait in the queue.
    eventually("a request waits in the queue until the broker does not respond to a ping", || {
        let (asked, pings) = (broker.acquired().len(), broker.pings());
        let request = Sent::new(&instance, "a");
        eventually("the broker is asked", || broker.acquired().len() > asked);
        advancing.advance(DELAY_MAX);
        let has_pinged = || broker.pings() > pings;
        let has_waited = soon(|| has_pinged() || request.is_answered()) && has_pinged();
        if has_waited {
            advancing.advance(DELAY_MAX - MILLISECOND);
            thread::sleep(POLLS);
            assert!(!request.is_answered(), "the broker has 60 ms for its reply");
            advancing.advance(MILLISECOND);
        } else {
            // The time went on before the reply was read, so the broker has been silent for no time yet.
            eventually("the broker is given up", || {
                advancing.advance(DELAY_MAX);
                soon(|| request.is_answered())
            });
        }
        assert_eq!(request.status(), 200);
        advancing.advance(SKIP_TIME);
        has_waited
    });
    assert!(count_of(&instance, "granted") > 0, "by the instance itself, the next in rank");
}

// Guards against a broker that queues requests although its process is about to end.
#[test]
fn a_draining_broker_sends_requests_to_the_next() {
    let site = Site::start(1);
    let advancing = AdvancingClock::new();
    let fleet = site.fleet_with(2, &advancing.clock);
    for draining in &fleet {
        let gateway = draining.gateway();
        gateway.drain.start(gateway.clock.now(), Duration::from_secs(8));
    }
    let holder = Holder::open(&fleet[0], Vec::new());
    assert!(!holder.acquire(1, Duration::from_secs(1)));
    let _paused = advancing.pause();
    for (i, instance) in fleet.iter().enumerate() {
        let status = status_of(instance, &format!("a{i}"));
        assert_eq!(status, 200, "both brokers drain, so the instance decides alone");
        assert!(count_of(instance, "alone") > 0);
    }
}

// Guards against slots that stay leased to an instance that has died, and against slots that are leased again while its
// requests still run.
#[test]
fn the_leases_of_a_lost_instance_are_released_a_quarter_of_a_second_later() {
    let site = Site::start(1);
    let fleet = site.fleet(2);
    let (lost, other) = (Holder::open(&fleet[0], Vec::new()), Holder::open(&fleet[0], Vec::new()));
    let time_left = Duration::from_secs(20);
    lost.acquire_soon(time_left);
    assert!(!other.acquire(2, time_left));
    lost.sender.shutdown();
    let ended = Instant::now();
    other.acquire_soon(time_left);
    assert!(ended.elapsed() >= Duration::from_millis(240), "{:?}", ended.elapsed());
}

// Guards against a slot that is lost with a holder that is frozen or partitioned.
#[test]
fn a_lease_that_is_not_returned_expires_at_the_deadline_of_its_request() {
    let site = Site::start(1);
    let fleet = site.fleet(2);
    let (frozen, other) =
        (Holder::open(&fleet[0], Vec::new()), Holder::open(&fleet[0], Vec::new()));
    let time_left = Duration::from_millis(500);
    let granted = Instant::now();
    frozen.acquire_soon(time_left);
    other.acquire_soon(Duration::from_secs(5));
    assert!(granted.elapsed() >= time_left, "{:?}", granted.elapsed());
}

// Guards against more than one lease of a slot by each of two brokers, and by a new broker that was told of the lease.
#[test]
fn two_brokers_lease_a_slot_twice_at_most_and_a_new_one_not_at_all() {
    let site = Site::start(1);
    let fleet = site.fleet(2);
    let time_left = Duration::from_secs(10);
    let holders: Vec<Holder> = fleet.iter().map(|i| Holder::open(i, Vec::new())).collect();
    let ids: Vec<u64> = holders.iter().map(|h| h.acquire_soon(time_left)).collect();
    assert!(!holders.iter().any(|h| h.acquire(2, time_left)));
    holders[1].sender.shutdown();
    let held = |id| HeldLease {
        id: LeaseId(id),
        service: "app".parse().expect("a name"),
        server: Tag::of("s0"),
        time_left,
    };
    let told = Holder::open(&fleet[1], vec![held(ids[1])]);
    thread::sleep(Duration::from_millis(400));
    assert!(!told.acquire(4, time_left), "the lease of the ended stream was reported again");
    assert!(told.sender.send(&ToBroker::Release(LeaseId(ids[1]))));
    assert!(told.acquire(5, time_left));
    // A broker that has not granted the lease itself is told of it.
    assert!(holders[0].sender.send(&ToBroker::Release(LeaseId(ids[0]))));
    let told = Holder::open(&fleet[0], vec![held(6)]);
    assert!(!told.acquire(7, time_left));
    assert!(told.sender.send(&ToBroker::Release(LeaseId(6))));
    told.acquire_soon(time_left);
}

// Guards against waits of callers that have left, whose slots would be granted to nobody.
#[test]
fn a_request_whose_caller_leaves_is_taken_out_of_the_queue() {
    let site = Site::start(1);
    let broker = ScriptedBroker::spawn(|message| match message {
        ToBroker::Ping => vec![FromBroker::Pong],
        message => queue(message),
    });
    site.list_broker("left", broker.listener.address());
    let instance = site.single(&Clock::system());
    let mut caller =
        cartvane::link::http1::Conn::connect(instance.callers(), CALL_TIMEOUT, &Clock::system())
            .expect("a connection");
    caller.send(&call("/idem/", "a").bytes(), CALL_TIMEOUT).expect("sent");
    eventually("the request waits", || !broker.acquired().is_empty());
    let id = broker.acquired()[0];
    assert!(!broker.has_released(id));
    drop(caller);
    eventually("the wait is over", || broker.has_released(id));
    assert_eq!(arrivals(&site.servers[0]), 0);
    assert_eq!(count_of(&instance, "caller-left"), 1);
}

// Guards against leases on a server that leaves: its slot is not granted, and a lease on it is not used.
#[test]
fn a_server_that_leaves_is_not_leased() {
    let site = Site::start(2);
    let fleet = site.fleet(3);
    site.store.put("servers", "s0", &entry(&site.servers[0], "draining"));
    thread::sleep(Duration::from_millis(1500));
    let before = (arrivals(&site.servers[0]), arrivals(&site.servers[1]));
    // A request is rejected if it overtakes the release of the one before at another instance.
    let served = (0..60).filter(|i| status_of(&fleet[i % 3], &format!("a{i}")) == 200).count();
    assert!(served >= 20, "{served} of 60 requests");
    assert_eq!(arrivals(&site.servers[0]), before.0);
    assert_eq!(arrivals(&site.servers[1]), before.1 + served);
    let holder = Holder::open(&fleet[0], Vec::new());
    holder.acquire_soon(Duration::from_secs(10));
    assert!(!holder.acquire(1, Duration::from_secs(10)), "one slot is left");
}

// Guards against a lease on a server that the instance must not use, which would be requested again without an end.
#[test]
fn a_lease_on_an_unusable_server_is_returned_and_another_one_requested() {
    let site = Site::start(2);
    let broker = ScriptedBroker::spawn(|message| {
        let ToBroker::Acquire(Acquire { request, .. }) = message else { return Vec::new() };
        let excluded = request.excluded.contains(&Tag::of("unknown"));
        grant(message, if excluded { "s1" } else { "unknown" })
    });
    site.list_broker("listed", broker.listener.address());
    site.store.remove("servers", "s0");
    let instance = site.single(&Clock::system());
    assert_eq!(status_of(&instance, "a"), 200);
    assert_eq!(site.servers[1].runs("a"), 1);
    assert_eq!(broker.acquired().len(), 2);
    assert!(broker.has_released(broker.acquired()[0]));
}

// Guards against a start at which each instance takes itself for the broker, or waits for one.
#[test]
fn instances_that_all_start_decide_alone_until_they_know_each_other() {
    let site = Site::start(1);
    let advancing = AdvancingClock::new();
    let first = site.spawn("i0", &[], &advancing.clock);
    let second = site.spawn("i1", &[&first], &advancing.clock);
    let paused = advancing.pause();
    for (i, instance) in [&first, &second].into_iter().enumerate() {
        assert_eq!(status_of(instance, &format!("a{i}")), 200);
    }
    drop(paused);
    wait_until_leased(&first, 2);
    wait_until_leased(&second, 2);
}

// Guards against an instance that resumes from a suspension and sends a request into a slot that has been leased to
// another one meanwhile.
#[test]
fn a_lease_that_is_older_than_half_a_second_is_not_used() {
    let site = Site::start(1);
    let advancing = Arc::new(AdvancingClock::new());
    let (suspending, acquired) = (Arc::clone(&advancing), Mutex::new(0));
    let broker = ScriptedBroker::spawn(move |message| {
        let granted = grant(message, "s0");
        if !granted.is_empty() {
            *lock(&acquired) += 1;
            if *lock(&acquired) == 1 {
                suspending.advance(Duration::from_millis(600));
            }
        }
        granted
    });
    site.list_broker("granting", broker.listener.address());
    let instance = site.single(&advancing.clock);
    assert_eq!(status_of(&instance, "a"), 200);
    let leases = broker.acquired();
    assert!(leases.len() >= 2, "another lease was requested");
    assert!(broker.has_released(leases[0]));
    assert_eq!(site.servers[0].runs("a"), 1);
}

// Guards against a broker for a service that can be divided among the instances.
#[test]
fn a_service_with_as_many_slots_as_instances_has_no_broker() {
    let site = Site::start(2);
    let first = site.spawn("i0", &[], &Clock::system());
    let second = site.spawn("i1", &[&first], &Clock::system());
    wait_until_known(&first, 2);
    wait_until_known(&second, 2);
    for i in 0..20 {
        assert_eq!(status_of(if i % 2 == 0 { &first } else { &second }, &format!("a{i}")), 200);
    }
    let text = first.gateway().metrics.text() + &second.gateway().metrics.text();
    assert!(!text.contains("cartvane_slot_leases_total"));
}

// Guards against control traffic beyond 12 KB/s of the median instance: 100 requests a second fit into it.
#[test]
fn the_messages_of_a_request_have_under_120_bytes() {
    let mut request = acquire(u64::MAX, Duration::from_nanos(1_999_999_999));
    request.request.team = Some(Tag(u32::MAX));
    request.request.wait_max = Duration::from_nanos(999_999_999);
    let id = LeaseId(u64::MAX);
    let granted =
        FromBroker::Granted { id, server: Tag(u32::MAX), waited: request.request.wait_max };
    let sizes = [
        size(&ToBroker::Acquire(request)),
        size(&FromBroker::Queued { id }),
        size(&granted),
        size(&ToBroker::Release(id)),
    ];
    assert!(sizes.iter().sum::<usize>() < 120, "{sizes:?}");
}
