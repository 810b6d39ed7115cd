//! Open connections that go silent for good, without an end, while new ones work.

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

/// Longest time in which a new configuration is in force: a call of the store that is under way may be silent for 0.9 s,
/// and the next one brings it.
const IN_FORCE_BY: Duration = Duration::from_secs(4);

// Connections to the store went silent for good: a call that waits for changes cannot tell that from a store with
// nothing to say. The instance finds it by the time that it gives the call, and reads on a new connection.
#[test]
fn a_configuration_comes_though_the_connections_to_the_store_are_silent() {
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
    let began = Instant::now();
    eventually("the new route is served", || send("/added/", "b") == 200);
    assert!(began.elapsed() < IN_FORCE_BY, "{:?}", began.elapsed());
    assert!(link.accepted() > before);
}

/// A message between instances, with its reply.
#[derive(Serialize, Deserialize)]
struct Nothing {}

// Connections between instances went silent for good: an exchange on one of them is given up after the time that it
// has, and made again on a new connection at once, instead of the other instance being taken for lost.
#[test]
fn an_exchange_is_made_though_the_kept_connection_is_silent() {
    let store = StoreStandIn::spawn().expect("a store");
    store.put("op", "config", &intent(5));
    let settings = settings("one", store.address(), Vec::new());
    let instance = GatewayHandle::spawn(settings, &Clock::system()).expect("an instance");
    let link = MutableLink::spawn(instance.peers()).expect("a link");
    let time = Duration::from_millis(300);
    let links = PeerClient::new(Clock::system(), None, time, TrafficCounter::new(|_, _, _| {}));
    // Whatever the other one says to a path that it does not know, it has been reached.
    let reached = || {
        let reply = links.call::<Nothing>(Purpose::Loads, link.address(), "/unknown", &Nothing {});
        reply.err().is_some_and(|fault| fault.to_string().contains("404"))
    };
    assert!(reached() && reached());
    let before = link.accepted();
    link.mute();
    assert!(reached(), "on a new connection");
    assert_eq!(link.accepted(), before + 1);
}
