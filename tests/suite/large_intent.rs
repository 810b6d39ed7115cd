//! Large configurations, slow links, and what an instance says of a configuration that it cannot read.

use std::time::Duration;

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

/// Bytes a second of a slow link to the store: the configuration of [`grown`] takes 1.4 s over it.
const SLOW_LINK: usize = 800_000;

/// Returns a configuration with so many routes more.
fn grown(version: u64, more: usize) -> Value {
    let mut grown = intent(version);
    let routes = grown["routes"].as_array_mut().expect("routes");
    routes.extend((0..more).map(|i| route(&format!("more-{i}"), "idempotent", "app")));
    grown
}

// The configuration of 62 instances grew to 4,449 routes, and 54 of them never had it in force. Their links
// take 1.25 MB a second; each call to the store was ended after 0.9 s however much of its reply had come, and
// the next one began again with the first byte:
//
//     intent_in_force version=10 routes=3049 bytes=609714 read_ms=711 source=store
//     intent_unread reason="the store's reply was lost: timeout: global, with 1015732 of 1184533 bytes read"
//
// With a little less than 900 KB nothing was to be seen; with more nothing ever arrived. The eight instances
// whose links are faster read the same bytes in 64 ms.
#[test]
fn an_intent_that_takes_longer_to_read_than_a_call_may_take_is_in_force() {
    let testbed = start(1);
    let others: Vec<GatewayHandle> =
        (0..3).map(|i| spawn(&format!("n{i}"), testbed.store.address(), Vec::new())).collect();
    let all = || others.iter().chain([&testbed.instance]);
    eventually("all are known to all", || all().all(|i| i.gateway().instances() == 4));
    testbed.store.set_link(SLOW_LINK);
    testbed.store.put("op", "config", &grown(9, 2800));
    let served = |i: &GatewayHandle| call("/more-2799/", "a").send(i.callers()).status == 200;
    eventually("all serve the route added last", || all().all(served));
}

// The same limit kept an instance that started with such a configuration from ever being ready.
#[test]
fn an_instance_that_starts_with_a_large_intent_over_a_slow_link_is_ready() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &grown(9, 2800));
    store.set_link(SLOW_LINK);
    let instance = spawn("one", store.address(), Vec::new());
    eventually("ready", || instance.gateway().is_ready());
    assert_eq!(call("/more-2799/", "a").send(instance.callers()).status, 200);
}

// At 62 instances each change of a configuration of 1.18 MB took as many copies of it, 73 MB in all, and callers
// waited behind them on links of 10 Mbit/s: requests in time fell from 0.97 to 0.70 while they were read. One
// instance reads the row, and what has changed goes from instance to instance.
#[test]
fn a_large_intent_is_read_from_the_store_once_for_all_instances() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    let slack = |node: &str| {
        let mut settings = settings(node, store.address(), Vec::new());
        // Time enough that none looks for itself, however busy the machine that runs the test.
        settings.bounds.intent_apply_time = Duration::from_secs(30);
        log_lines::start();
        GatewayHandle::spawn(settings, &Clock::system()).expect("an instance")
    };
    let all: Vec<GatewayHandle> = (0..8).map(|i| slack(&format!("n{i}"))).collect();
    eventually("all are known to all", || all.iter().all(|i| i.gateway().instances() == 8));
    let now = || Clock::system().now();
    eventually("one reads", || {
        all.iter().filter(|i| i.gateway().peers.is_reader(now())).count() <= 1
    });
    // At their start all read; the last wait for changes from then ends within two seconds.
    std::thread::sleep(Duration::from_millis(2500));
    let large = grown(9, 2800);
    let (before, row) = (store.row_bytes("op"), large.to_string().len() * 4 / 3);
    store.put("op", "config", &large);
    let served = |i: &GatewayHandle| call("/more-2799/", "a").send(i.callers()).status == 200;
    eventually("all serve the route added last", || all.iter().all(served));
    let copies = (store.row_bytes("op") - before) as f64 / row as f64;
    let led_to =
        || log_lines::matching(&["intent", "reads_for_others", "history_gone", "peer_silent"]);
    assert!(copies < 1.5, "{copies:.1} copies{}", led_to());
}

// An instance that could not read the configuration answered 404 for routes that had been added seven seconds
// before, since it held its own version to be the newest: the age that it told was the age of its last reply
// from the store, whatever had been asked, and the list of backend servers was still read once a second.
//
//     refused status=404 reason="no route serves this host and path" version=18 version_age_ms=236
//     intent_unread reason="the store's reply was lost: timeout: global"
#[test]
fn an_instance_that_cannot_read_the_intent_does_not_hold_its_own_to_be_the_newest() {
    let testbed = start(1);
    assert_eq!(testbed.send(&call("/nothing/", "a")).status, 404);
    testbed.store.set_table_mode("op", StoreMode::Silent);
    eventually("the denial becomes a refusal", || {
        testbed.send(&call("/nothing/", "b")).status == 503
    });
    assert_eq!(testbed.send(&call("/idem/", "c")).status, 200, "what is known to be served is");
    testbed.store.set_table_mode("op", StoreMode::Up);
    eventually("it is sure again", || testbed.send(&call("/nothing/", "d")).status == 404);
}
