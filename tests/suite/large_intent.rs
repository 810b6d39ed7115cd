//! Large configurations over slow links, and configurations that cannot be read.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cartvane::{clock::Clock, gateway::GatewayHandle};
use serde_json::Value;
use standins::{
    listed::Listed,
    store::{StoreMode, StoreStandIn},
};

use crate::{
    log_lines,
    support::eventually,
    testbed::{call, intent, route, settings, spawn, start},
};

/// Bandwidth of a slow link to the store, in bytes per second. The configuration of [`with_routes`] with 2,800 routes
/// takes 1.4 s over it.
const SLOW_LINK: usize = 800_000;

/// Returns a configuration with `count` additional routes.
fn with_routes(version: u64, count: usize) -> Value {
    let mut intent = intent(version);
    let routes = intent["routes"].as_array_mut().expect("routes");
    routes.extend((0..count).map(|i| route(&format!("more-{i}"), "idempotent", "app")));
    intent
}

// Guards against a time limit on the whole reply of the store. With a configuration of 4,449 routes, 54 of 62 instances
// never activated it: their links have 1.25 MB/s, each call was aborted after 0.9 s however much of the reply had
// arrived, and the next one started again with the first byte:
//
//     intent_in_force version=10 routes=3049 bytes=609714 read_ms=711 source=store
//     intent_unread reason="the store's reply was lost: timeout: global, with 1015732 of 1184533 bytes read"
//
// Configurations just under 900 KB were not affected, and larger ones never arrived. The eight instances with faster
// links read the same bytes in 64 ms.
#[test]
fn an_intent_whose_transfer_exceeds_the_call_timeout_becomes_active() {
    let testbed = start(1);
    let others: Vec<GatewayHandle> =
        (0..3).map(|i| spawn(&format!("n{i}"), testbed.store.address(), Vec::new())).collect();
    let all = || others.iter().chain([&testbed.instance]);
    eventually("every instance knows the others", || all().all(|i| i.gateway().instances() == 4));
    testbed.store.set_link(SLOW_LINK);
    testbed.store.put("op", "config", &with_routes(9, 2800));
    let served = |i: &GatewayHandle| call("/more-2799/", "a").send(i.callers()).status == 200;
    eventually("all serve the route added last", || all().all(served));
}

// With the same time limit, an instance that started with such a configuration never became ready.
#[test]
fn an_instance_that_starts_with_a_large_intent_over_a_slow_link_becomes_ready() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &with_routes(9, 2800));
    store.set_link(SLOW_LINK);
    let instance = spawn("one", store.address(), Vec::new());
    eventually("ready", || instance.gateway().is_ready());
    assert_eq!(call("/more-2799/", "a").send(instance.callers()).status, 200);
}

/// Starts an instance whose bound is long enough that no instance reads the store itself, even on a busy machine.
fn spawn_relaxed(node: &str, store: SocketAddr) -> GatewayHandle {
    let mut settings = settings(node, store, Vec::new());
    settings.bounds.intent_apply_time = Duration::from_secs(30);
    log_lines::start();
    GatewayHandle::spawn(settings, &Clock::system()).expect("an instance")
}

// Guards against an instance that becomes the reader while it waits for its confirmation to age: with this bound it
// polled only after 15 s, when the next in rank was about to poll too.
#[test]
fn an_instance_that_becomes_the_reader_polls_within_an_exchange_period() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    let all: Vec<GatewayHandle> =
        (0..3).map(|i| spawn_relaxed(&format!("n{i}"), store.address())).collect();
    eventually("ready", || all.iter().all(|i| i.gateway().is_ready()));
    let changed_at = Instant::now();
    store.put("op", "config", &with_routes(9, 1));
    let served = |i: &GatewayHandle| call("/more-0/", "a").send(i.callers()).status == 200;
    eventually("all serve the route added last", || all.iter().all(served));
    assert!(changed_at.elapsed() < Duration::from_secs(10), "{:?}", changed_at.elapsed());
}

// Guards against a read of the changed configuration by each instance. With 62 instances, a change of a configuration
// of 1.18 MB took 62 copies, 73 MB in all. They delayed the callers' traffic on links of 10 Mbit/s, and the share of
// requests in time fell from 0.97 to 0.70. Now one instance reads the row, and the change is relayed between the
// instances.
#[test]
fn a_large_intent_is_read_from_the_store_once_for_all_instances() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    let all: Vec<GatewayHandle> =
        (0..8).map(|i| spawn_relaxed(&format!("n{i}"), store.address())).collect();
    eventually("every instance knows the others", || {
        all.iter().all(|i| i.gateway().instances() == 8)
    });
    let now = || Clock::system().now();
    // Not `is_reader`: on a busy machine the aggregator of counts and of the list of servers changes each second.
    eventually("one instance polls the store for the intent", || {
        all.iter().filter(|i| i.gateway().peers.watch_role(now()).reader).count() <= 1
    });
    // All instances read at their start; the last poll for changes from then ends within two seconds.
    std::thread::sleep(Duration::from_millis(2500));
    let large = with_routes(9, 2800);
    let (before, row_bytes) = (store.row_bytes("op"), large.to_string().len() * 4 / 3);
    store.put("op", "config", &large);
    let served = |i: &GatewayHandle| call("/more-2799/", "a").send(i.callers()).status == 200;
    eventually("all serve the route added last", || all.iter().all(served));
    let copies = (store.row_bytes("op") - before) as f64 / row_bytes as f64;
    let log_excerpt = || {
        log_lines::matching(&[
            "intent",
            "reads_for_others",
            "history_gone",
            "peer_silent",
            "no_help",
        ])
    };
    assert!(copies < 1.5, "{copies:.1} copies{}", log_excerpt());
}

// Guards against an age of the configuration that any reply of the store resets. An instance that could not read the
// configuration answered 404 for routes added seven seconds before: it still read the list of backend servers once a
// second, and so its own version counted as the newest.
//
//     refused status=404 reason="no route serves this host and path" version=18 version_age_ms=236
//     intent_unread reason="the store's reply was lost: timeout: global"
#[test]
fn an_instance_that_cannot_read_the_intent_does_not_treat_its_own_as_the_newest() {
    let testbed = start(1);
    assert_eq!(testbed.send(&call("/nothing/", "a")).status, 404);
    testbed.store.set_table_mode("op", StoreMode::Silent);
    eventually("the response becomes 503 instead of 404", || {
        testbed.send(&call("/nothing/", "b")).status == 503
    });
    assert_eq!(testbed.send(&call("/idem/", "c")).status, 200, "a known route is still served");
    testbed.store.set_table_mode("op", StoreMode::Up);
    eventually("the response is 404 again", || testbed.send(&call("/nothing/", "d")).status == 404);
}
