//! Threads that panic: they are started again, one line is logged, and the readiness says if one keeps ending.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use cartvane::{
    clock::Clock,
    gateway::GatewayHandle,
    link::http1::Conn,
    utils::{
        supervisor::{self, RequiredThreads, Restarts},
        sync::lock,
    },
};
use standins::{caller::Call, listed::Listed, store::StoreStandIn};

use crate::{
    log_lines,
    support::eventually,
    testbed::{call, intent, settings},
};

const MS: Duration = Duration::from_millis(1);

fn count(name: &str) -> u64 {
    supervisor::panics().iter().find(|(of, _)| of == name).map_or(0, |(_, count)| *count)
}

#[test]
fn the_delay_before_a_restart_grows_up_to_a_bound_and_starts_again_after_a_stable_time() {
    let now = Instant::now();
    let mut restarts = Restarts::default();
    let mut at = now;
    let delays: Vec<u128> = (0..7)
        .map(|_| {
            let delay = restarts.note_panic(at);
            at += delay;
            delay.as_millis()
        })
        .collect();
    assert_eq!(delays, [100, 200, 400, 800, 1600, 2000, 2000]);
    assert!(restarts.is_failing(at));
    assert!(!restarts.is_failing(at + 5000 * MS));
    assert_eq!(restarts.note_panic(at + 5000 * MS), 100 * MS);
    assert!(!restarts.is_failing(at + 5000 * MS));
}

// Guards against work that ends with its first panic, and against a lock that is of no more use afterwards.
#[test]
fn work_that_panics_is_run_again_and_each_panic_is_one_line() {
    log_lines::start();
    let (runs, shared) = (AtomicU32::new(0), Mutex::new(0));
    let required = RequiredThreads::default();
    let clock = Clock::system();
    required.keep_running(
        "test-panics",
        &clock,
        || true,
        || {
            let mut held = lock(&shared);
            *held += 1;
            let run = runs.fetch_add(1, Ordering::SeqCst);
            assert!(run >= 3, "run {run}\nfails");
        },
    );
    assert_eq!((runs.load(Ordering::SeqCst), *lock(&shared)), (4, 4));
    assert_eq!(required.failing(clock.now()), Some("test-panics"));
    assert_eq!(required.failing(clock.now() + 6000 * MS), None);
    assert_eq!(count("test-panics"), 3);
    let lines = log_lines::matching(&["name=test-panics"]);
    assert_eq!(lines.lines().filter(|line| !line.is_empty()).count(), 3, "{lines}");
    assert!(lines.contains("event=thread_panicked"), "{lines}");
    assert!(lines.contains("reason=\"run 0\\nfails\" at=tests/suite/supervisor.rs:"), "{lines}");
    let is_needed = AtomicU32::new(0);
    let needed = || is_needed.fetch_add(1, Ordering::SeqCst) == 0;
    supervisor::keep_running("test-unneeded", &clock, needed, || panic!("always"));
    assert_eq!(count("test-unneeded"), 2);
    assert_eq!(supervisor::catch("test-once", || 7), Some(7));
}

// Guards against an instance that looks ready although nothing follows the list of servers any more.
#[test]
fn a_thread_of_an_instance_that_panics_goes_on_once_the_cause_is_gone() {
    log_lines::start();
    for name in ["roster", "intent", "peers", "idle"] {
        let (store, servers) = (
            StoreStandIn::spawn().expect("a store"),
            ["a", "b"].map(|id| Listed::spawn(id).expect("a server")),
        );
        store.put("servers", "a", &servers[0].entry("app", "ready"));
        store.put("op", "config", &intent(5));
        let is_odd = Arc::new(AtomicBool::new(false));
        let (odd, calls) = (Arc::clone(&is_odd), AtomicU32::new(0));
        let began = Instant::now();
        let now = move || {
            // The supervisor asks for the time as well, after each panic.
            let panics = thread::current().name() == Some(name)
                && odd.load(Ordering::SeqCst)
                && calls.fetch_add(1, Ordering::SeqCst) % 2 == 0;
            assert!(!panics, "injected");
            began.elapsed()
        };
        let clock = Clock::from_boot_time(now, SystemTime::now);
        let settings = settings("one", store.address(), Vec::new());
        let instance = GatewayHandle::spawn(settings, &clock).expect("an instance");
        eventually("the instance is ready", || instance.gateway().is_ready());
        let before = count(name);
        is_odd.store(true, Ordering::SeqCst);
        let mut kept =
            Conn::connect(instance.callers(), 1000 * MS, &Clock::system()).expect("a connection");
        assert_eq!(call("/idem/", "kept").send_on(&mut kept).status, 200);
        let send = |id: &str| call("/idem/", id).send(instance.callers()).status;
        // A connection that becomes idle wakes the thread that watches it.
        let has_panicked = || (send("x"), count(name) >= before + 3) == (200, true);
        eventually(&format!("{name} has panicked"), has_panicked);
        if name != "idle" {
            eventually("the instance is not ready", || !instance.gateway().is_ready());
        }
        is_odd.store(false, Ordering::SeqCst);
        store.put("servers", "b", &servers[1].entry("app", "ready"));
        eventually("the list is followed", || {
            let state = &instance.gateway().cluster_state;
            state.with_servers(|roster| roster.servers().count()) == 2
        });
        eventually("the instance is ready again", || instance.gateway().is_ready());
        assert_eq!(send("y"), 200, "{name}");
        let metric = format!("cartvane_thread_panics{{thread=\"{name}\"}}");
        let metrics = instance.metrics().expect("metrics are served");
        let text = Call { method: "GET".into(), ..call("/metrics", "m") }.send(metrics).text();
        assert!(text.contains(&metric), "{text}");
    }
}
