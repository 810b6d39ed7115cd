//! A load balancer that hands most new connections to one instance for some seconds, and then to another one.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    gateway::{GatewayHandle, settings::GatewaySettings},
    link::http1::Conn,
    utils::sync::lock,
};
use standins::{listed::Listed, store::StoreStandIn};

use crate::{
    support::eventually,
    testbed::{call, intent, settings},
};

/// Time with an even balancer, and with each crowded instance.
const EVEN: Duration = Duration::from_secs(3);
const CROWDED: Duration = Duration::from_secs(5);

/// Time from which a crowded instance has to serve as before.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Minimum share of the rate before, in which requests that were read are served at the first attempt.
const SERVED_MIN: f64 = 0.75;

/// Connections that an instance accepts: fewer than callers open while it is crowded.
const CONNECTIONS: usize = 60;

/// Callers, the time between two connections of each while the balancer is even, and the slots of each server.
const CALLERS: usize = 40;
const PAUSE: Duration = Duration::from_millis(200);
const SLOTS: u32 = 4;
const RUN_TIME: Duration = Duration::from_millis(20);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Even,
    Settling,
    Crowded,
}

/// What became of the requests that an instance has read.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    read: usize,
    served: usize,
}

struct Balancer {
    instances: Vec<SocketAddr>,
    /// The instance that gets most new connections, if one does, and since when.
    crowded: Mutex<Option<(usize, Instant)>>,
    done: AtomicBool,
    sent: AtomicUsize,
    even: Mutex<Served>,
    settled: Mutex<Served>,
}

impl Balancer {
    fn phase(&self) -> Phase {
        match *lock(&self.crowded) {
            None => Phase::Even,
            Some((_, since)) if since.elapsed() < SETTLED_AFTER => Phase::Settling,
            Some(_) => Phase::Crowded,
        }
    }

    /// Returns the instance that gets the next new connection; a retry meets any.
    fn next(&self, is_retry: bool) -> SocketAddr {
        let crowded = *lock(&self.crowded);
        let any = fastrand::usize(..self.instances.len());
        match crowded {
            Some((instance, _)) if !is_retry && fastrand::u8(..10) < 9 => self.instances[instance],
            _ => self.instances[any],
        }
    }

    fn run_caller(&self) {
        while !self.done.load(Ordering::SeqCst) {
            self.open_connection();
            let is_even = self.phase() == Phase::Even;
            thread::sleep(if is_even { PAUSE } else { PAUSE / 2 });
        }
    }

    /// Opens a connection, and sends one request or some on it.
    fn open_connection(&self) {
        for is_retry in [false, true, true] {
            let Ok(mut conn) =
                Conn::connect(self.next(is_retry), Duration::from_secs(1), &Clock::system())
            else {
                continue;
            };
            let requests = if fastrand::bool() { 1 } else { 4 };
            let sent = (0..requests).take_while(|_| self.send(&mut conn)).count();
            if sent > 0 {
                return;
            }
        }
    }

    /// Sends a request; returns whether it was read.
    fn send(&self, conn: &mut Conn) -> bool {
        let phase = self.phase();
        let number = self.sent.fetch_add(1, Ordering::SeqCst);
        let answer = call("/idem/", &format!("r{number}")).send_on(conn);
        if answer.status == 0 {
            return false;
        }
        let counted = match phase {
            Phase::Even => &self.even,
            Phase::Crowded => &self.settled,
            Phase::Settling => return true,
        };
        let mut counted = lock(counted);
        counted.read += 1;
        counted.served += usize::from(answer.status == 200 && answer.whole);
        true
    }
}

impl Served {
    fn share(self) -> f64 {
        self.served as f64 / self.read.max(1) as f64
    }
}

// For some seconds the platform hands nine of ten new connections to one instance, more of them than before: first to
// one, then to another. The instance must not keep to its part of the servers' slots as if the others still used theirs.
#[test]
fn an_instance_that_gets_most_new_connections_serves_as_before() {
    let store = StoreStandIn::spawn().expect("a store");
    let servers: Vec<Listed> =
        (0..6).map(|i| Listed::spawn(&format!("s{i}")).expect("a server")).collect();
    for server in &servers {
        server.limit_slots(SLOTS, RUN_TIME);
        let mut entry = server.entry("app", "ready");
        entry["slots"] = SLOTS.into();
        store.put("servers", &server.id, &entry);
    }
    store.put("op", "config", &intent(5));
    let spawn = |name: &str| {
        let settings = settings(name, store.address(), Vec::new());
        let settings = GatewaySettings { connections: CONNECTIONS, ..settings };
        GatewayHandle::spawn(settings, &Clock::system()).expect("an instance")
    };
    let instances: Vec<GatewayHandle> = ["a", "b", "c", "d"].map(spawn).into();
    eventually("the instances know each other", || {
        let knows =
            |i: &GatewayHandle| i.gateway().is_ready() && i.gateway().peers.instances() == 4;
        instances.iter().all(knows)
    });
    let balancer = Balancer {
        instances: instances.iter().map(GatewayHandle::callers).collect(),
        crowded: Mutex::default(),
        done: AtomicBool::new(false),
        sent: AtomicUsize::new(0),
        even: Mutex::default(),
        settled: Mutex::default(),
    };
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| balancer.run_caller());
        }
        thread::sleep(EVEN);
        for crowded in [0, 1] {
            *lock(&balancer.crowded) = Some((crowded, Instant::now()));
            thread::sleep(CROWDED);
        }
        balancer.done.store(true, Ordering::SeqCst);
    });
    let (even, settled) = (*lock(&balancer.even), *lock(&balancer.settled));
    assert!(even.read >= 100 && settled.read >= 100, "{even:?} {settled:?}");
    assert!(settled.share() >= SERVED_MIN * even.share(), "{even:?} {settled:?}");
}
