//! A machine that is suspended for seconds: the time goes on while no thread runs, and with it the age of all that an
//! instance believes.

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use cartvane::{
    clock::Clock,
    gateway::GatewayHandle,
    link::http1::{Conn, ReadFault},
};
use standins::{
    caller::Call,
    listed::Listed,
    store::{StoreMode, StoreStandIn},
};

use crate::{
    support::eventually,
    testbed::{KEY, call, intent, settings},
};

/// A clock that can be put forward, as after a suspension.
struct Jumping {
    clock: Clock,
    ahead_ms: Arc<AtomicU64>,
}

impl Jumping {
    fn new() -> Jumping {
        let ahead_ms: Arc<AtomicU64> = Arc::default();
        let ahead = Arc::clone(&ahead_ms);
        let now = move || Instant::now() + Duration::from_millis(ahead.load(Ordering::SeqCst));
        Jumping { clock: Clock::new(now, SystemTime::now), ahead_ms }
    }

    fn jump(&self, time: Duration) {
        self.ahead_ms.fetch_add(time.as_millis() as u64, Ordering::SeqCst);
    }
}

// A wait for an answer was one call to the kernel with all the time that was left, and the kernel's timers stand still
// with the machine: a request with 10 s left, suspended for 20 s, was held for 10 s more after waking.
#[test]
fn a_wait_that_spans_a_suspension_ends_when_its_time_is_over() {
    let jumping = Jumping::new();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut conn =
        Conn::connect(address, Duration::from_secs(1), &jumping.clock).expect("a connection");
    let until = jumping.clock.now() + Duration::from_secs(10);
    let began = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(100));
            jumping.jump(Duration::from_secs(20));
        });
        let waited = conn.fill_beside(until, None);
        assert!(matches!(waited, Err(ReadFault::Timeout)), "{waited:?}");
    });
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
}

// The machine's steady clock stands still while it is suspended.
#[test]
fn the_clock_counts_the_time_of_a_suspension() {
    let since_boot: Arc<AtomicU64> = Arc::new(AtomicU64::new(500));
    let read = Arc::clone(&since_boot);
    let now = move || Duration::from_millis(read.load(Ordering::SeqCst));
    let clock = Clock::of_boot(now, SystemTime::now);
    let before = clock.now();
    since_boot.fetch_add(4000, Ordering::SeqCst);
    assert_eq!(clock.now() - before, Duration::from_secs(4));
}

// After a suspension an instance has not heard of the newest configuration for as long as it was away. Until it has,
// it denies nothing by the one that it knows, and uses no connection that its server may have closed meanwhile.
#[test]
fn what_is_believed_is_as_old_as_the_suspension_was_long() {
    let jumping = Jumping::new();
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", &server.id, &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    let settings = settings("one", store.address(), Vec::new());
    let instance = GatewayHandle::spawn(settings, &jumping.clock).expect("an instance");
    eventually("the instance is ready", || instance.gateway().is_ready());
    let send = |call: &Call| call.send(instance.callers()).status;
    assert_eq!(send(&call("/nothing/", "a")), 404);
    assert_eq!(send(&Call::post("/idem/", "no", "").with("x-request-id", "b")), 401);
    assert_eq!(send(&call("/once/", "c")), 200);
    store.set_mode(StoreMode::Busy);
    jumping.jump(Duration::from_secs(4));
    assert_eq!(send(&call("/nothing/", "d")), 503);
    assert_eq!(send(&Call::post("/idem/", "no", "").with("x-request-id", "e")), 503);
    let gateway = instance.gateway();
    let id = server.id.parse().expect("an id");
    assert!(gateway.conns.take(&id, true).is_none(), "the kept connection is too old");
    assert_eq!(
        send(&Call::post("/once/", KEY, "").with("x-request-id", "f").with("x-deadline-ms", 2000)),
        200
    );
    store.set_mode(StoreMode::Up);
    eventually("denied again", || send(&call("/nothing/", "g")) == 404);
}
