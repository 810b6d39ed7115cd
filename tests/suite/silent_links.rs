//! Open connections that stop delivering bytes without being closed, while new connections work.

use std::time::{Duration, Instant};

use cartvane::{
    clock::Clock,
    gateway::GatewayHandle,
    link::{
        peer::PeerClient,
        traffic::{Purpose, TrafficCounter},
    },
};
use serde::{Deserialize, Serialize};
use standins::{listed::Listed, mute::MutableLink, store::StoreStandIn};

use crate::{
    support::eventually,
    testbed::{call, intent, route, settings},
};

/// Maximum time until a new configuration is active: a store call in flight may stall for 0.9 s, and the next one
/// returns the configuration.
const ACTIVE_WITHIN: Duration = Duration::from_secs(4);

// Connections to the store stop delivering bytes. A call that waits for changes cannot distinguish that from a store
// without changes, so the instance must time the call out and read on a new connection.
#[test]
fn a_configuration_arrives_although_the_connections_to_the_store_have_stalled() {
    let store = StoreStandIn::spawn().expect("a store");
    let link = MutableLink::spawn(store.address()).expect("a link");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", &server.id, &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    let settings = settings("one", link.address(), Vec::new());
    let instance = GatewayHandle::spawn(settings, &Clock::system()).expect("an instance");
    eventually("the instance is ready", || instance.gateway().is_ready());
    let send = |target: &str, id: &str| call(target, id).send(instance.callers()).status;
    assert_eq!(send("/added/", "a"), 404);
    let before = link.accepted();
    link.mute();
    let mut newer = intent(6);
    newer["routes"].as_array_mut().expect("routes").push(route("added", "idempotent", "app"));
    store.put("op", "config", &newer);
    let started = Instant::now();
    eventually("the new route is served", || send("/added/", "b") == 200);
    assert!(started.elapsed() < ACTIVE_WITHIN, "{:?}", started.elapsed());
    assert!(link.accepted() > before);
}

/// An empty message between instances, also used as its reply.
#[derive(Serialize, Deserialize)]
struct Empty {}

// Connections between instances stop delivering bytes. An exchange on one of them must time out and be repeated at once
// on a new connection; otherwise the other instance would be taken for lost.
#[test]
fn an_exchange_succeeds_although_the_kept_connection_has_stalled() {
    let store = StoreStandIn::spawn().expect("a store");
    store.put("op", "config", &intent(5));
    let settings = settings("one", store.address(), Vec::new());
    let instance = GatewayHandle::spawn(settings, &Clock::system()).expect("an instance");
    let link = MutableLink::spawn(instance.peers()).expect("a link");
    let timeout = Duration::from_millis(300);
    let links = PeerClient::new(Clock::system(), None, timeout, TrafficCounter::new(|_, _, _| {}));
    // The path is unknown, so a 404 shows that the other instance was reached.
    let reached = || {
        let reply = links.call::<Empty>(Purpose::Loads, link.address(), "/unknown", &Empty {});
        reply.err().is_some_and(|fault| fault.to_string().contains("404"))
    };
    assert!(reached() && reached());
    let before = link.accepted();
    link.mute();
    assert!(reached(), "the exchange is repeated on a new connection");
    assert_eq!(link.accepted(), before + 1);
}
