//! A machine that is suspended for some seconds: no thread runs meanwhile, but time passes and an instance's state
//! ages.

use std::{
    net::TcpListener,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use cartvane::{
    clock::Clock,
    gateway::GatewayHandle,
    link::http1::{Conn, ReadError},
    utils::sync::lock,
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

/// A clock that can be advanced, as by a suspension, and paused.
pub(crate) struct AdvancingClock {
    pub(crate) clock: Clock,
    ahead_ms: Arc<AtomicU64>,
    paused_at: Arc<Mutex<Option<Instant>>>,
}

impl AdvancingClock {
    pub(crate) fn new() -> AdvancingClock {
        let ahead_ms: Arc<AtomicU64> = Arc::default();
        let paused_at: Arc<Mutex<Option<Instant>>> = Arc::default();
        let (ahead, paused) = (Arc::clone(&ahead_ms), Arc::clone(&paused_at));
        let now = move || {
            let base = lock(&paused).unwrap_or_else(Instant::now);
            base + Duration::from_millis(ahead.load(Ordering::SeqCst))
        };
        AdvancingClock { clock: Clock::new(now, SystemTime::now), ahead_ms, paused_at }
    }

    pub(crate) fn advance(&self, time: Duration) {
        self.ahead_ms.fetch_add(time.as_millis() as u64, Ordering::SeqCst);
    }

    /// Stops the time until the guard is dropped, except for `advance`. What is done meanwhile takes no time, whatever the
    /// speed of the machine.
    pub(crate) fn pause(&self) -> PauseGuard<'_> {
        *lock(&self.paused_at) = Some(Instant::now());
        PauseGuard(&self.paused_at)
    }
}

/// Lets the time of a clock go on when it is dropped.
pub(crate) struct PauseGuard<'c>(&'c Mutex<Option<Instant>>);

impl Drop for PauseGuard<'_> {
    fn drop(&mut self) {
        *lock(self.0) = None;
    }
}

// Guards against a wait for a response that is a single system call with the whole remaining time. Timers of the kernel
// stop during a suspension: a request with 10 s left waited for 10 s more after a suspension of 20 s.
#[test]
fn a_wait_that_spans_a_suspension_ends_at_its_deadline() {
    let advancing = AdvancingClock::new();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut conn =
        Conn::connect(address, Duration::from_secs(1), &advancing.clock).expect("a connection");
    let until = advancing.clock.now() + Duration::from_secs(10);
    let began = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(100));
            advancing.advance(Duration::from_secs(20));
        });
        let waited = conn.fill_until(until, None);
        assert!(matches!(waited, Err(ReadError::Timeout)), "{waited:?}");
    });
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
}

// The monotonic clock of the machine stops while it is suspended.
#[test]
fn the_clock_includes_the_time_of_a_suspension() {
    let since_boot: Arc<AtomicU64> = Arc::new(AtomicU64::new(500));
    let read = Arc::clone(&since_boot);
    let now = move || Duration::from_millis(read.load(Ordering::SeqCst));
    let clock = Clock::from_boot_time(now, SystemTime::now);
    let before = clock.now();
    since_boot.fetch_add(4000, Ordering::SeqCst);
    assert_eq!(clock.now() - before, Duration::from_secs(4));
}

// After a suspension, the configuration was last confirmed before it. Until it is confirmed again, an instance denies
// no request because of it, and uses no pooled connection that the server may have closed meanwhile.
#[test]
fn a_suspension_adds_to_the_age_of_the_cluster_state() {
    let advancing = AdvancingClock::new();
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", &server.id, &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    let settings = settings("one", store.address(), Vec::new());
    let instance = GatewayHandle::spawn(settings, &advancing.clock).expect("an instance");
    eventually("the instance is ready", || instance.gateway().is_ready());
    let send = |call: &Call| call.send(instance.callers()).status;
    assert_eq!(send(&call("/nothing/", "a")), 404);
    assert_eq!(send(&Call::post("/idem/", "no", "").with("x-request-id", "b")), 401);
    assert_eq!(send(&call("/once/", "c")), 200);
    store.set_mode(StoreMode::Busy);
    advancing.advance(Duration::from_secs(4));
    assert_eq!(send(&call("/nothing/", "d")), 503);
    assert_eq!(send(&Call::post("/idem/", "no", "").with("x-request-id", "e")), 503);
    let gateway = instance.gateway();
    let id = server.id.parse().expect("an id");
    assert!(gateway.conns.take(&id, true).is_none(), "the pooled connection is too old");
    assert_eq!(
        send(&Call::post("/once/", KEY, "").with("x-request-id", "f").with("x-deadline-ms", 2000)),
        200
    );
    store.set_mode(StoreMode::Up);
    eventually("the request is denied again", || send(&call("/nothing/", "g")) == 404);
}
