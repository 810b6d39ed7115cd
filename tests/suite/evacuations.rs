//! Evacuated availability zones: their backend servers get no new requests.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::gateway::GatewayHandle;
use serde_json::{Value, json};
use standins::{
    fault::Fault,
    listed::{Listed, events},
    store::{StoreMode, StoreStandIn},
};

use crate::{
    support::eventually,
    testbed::{call, intent, spawn},
};

/// Time after the store's acknowledgement from which no new requests reach the servers of the zone.
const APPLY_TIME: Duration = Duration::from_secs(1);

/// A store and one server in each of two zones.
struct Zones {
    store: StoreStandIn,
    north: Listed,
    south: Listed,
}

fn entry(server: &Listed, zone: &str) -> Value {
    let mut entry = server.entry("app", "ready");
    entry["zone"] = zone.into();
    entry
}

fn zones() -> Zones {
    let store = StoreStandIn::spawn().expect("the store starts");
    let north = Listed::spawn("n0").expect("the server starts");
    let south = Listed::spawn("s0").expect("the server starts");
    store.put("servers", "n0", &entry(&north, "north"));
    store.put("servers", "s0", &entry(&south, "south"));
    store.put("op", "config", &intent(5));
    Zones { store, north, south }
}

fn start(zones: &Zones, node: &str, seeds: &[&GatewayHandle]) -> GatewayHandle {
    let seeds = seeds.iter().map(|instance| instance.peers()).collect();
    let instance = spawn(node, zones.store.address(), seeds);
    eventually("the instance is ready", || instance.gateway().is_ready());
    instance
}

/// Sends requests of each kind and returns how many of them reached the server in the zone north.
fn arrivals_in_north(zones: &Zones, instance: &GatewayHandle, name: &str) -> usize {
    let before = zones.north.arrivals().len();
    for number in 0..8 {
        for path in ["/idem/", "/once/", "/stream/", "/stream-resumable/"] {
            let response = call(path, &format!("{name}{path}{number}")).send(instance.callers());
            assert_eq!(response.status, 200, "{path}");
        }
    }
    zones.north.arrivals().len() - before
}

// After operators ordered the evacuation of a zone, 6,053 requests still reached its servers: the row was read with the
// configuration's table and skipped, because no code handled its key.
#[test]
fn no_new_requests_reach_an_evacuated_zone() {
    let zones = zones();
    let instance = start(&zones, "one", &[]);
    assert!(arrivals_in_north(&zones, &instance, "a") > 0);
    zones.store.put("op", "evacuate/north", &json!({}));
    thread::sleep(APPLY_TIME);
    assert_eq!(arrivals_in_north(&zones, &instance, "b"), 0);
    zones.store.remove("op", "evacuate/north");
    thread::sleep(APPLY_TIME);
    assert!(arrivals_in_north(&zones, &instance, "c") > 0, "the zone is taken back");
}

#[test]
fn an_unreadable_row_evacuates_the_zone_of_its_key() {
    let zones = zones();
    zones.store.put_raw("op", "evacuate/north", b"\xff{".to_vec());
    zones.store.put("op", "evacuate/nowhere", &json!({}));
    zones.store.put("op", "evacuate/", &json!({}));
    let instance = start(&zones, "one", &[]);
    assert_eq!(arrivals_in_north(&zones, &instance, "a"), 0);
}

#[test]
fn requests_in_flight_complete_and_broken_streams_resume_in_another_zone() {
    let zones = zones();
    let instance = start(&zones, "one", &[]);
    let callers = instance.callers();
    let (delay, stall) = (Duration::from_millis(900), Duration::from_millis(1200));
    for (path, fault) in
        [("/once/", Fault::Late(delay)), ("/stream-resumable/x", Fault::SilentAfter(3, stall))]
    {
        zones.north.faults.set_standing(Some(fault));
        let sent: Vec<_> = (0..8)
            .map(|i| thread::spawn(move || call(path, &format!("{path}{i}")).send(callers)))
            .collect();
        eventually("a request is in flight in the zone north", || zones.north.in_flight() > 0);
        zones.store.put("op", "evacuate/north", &json!({}));
        for request in sent {
            let response = request.join().expect("the request gets a response");
            assert_eq!((response.status, response.whole), (200, true), "{path}");
            assert!(path != "/stream-resumable/x" || response.text() == events(1));
        }
        zones.store.remove("op", "evacuate/north");
        thread::sleep(APPLY_TIME);
    }
}

#[test]
fn without_a_remaining_zone_requests_are_rejected_at_once_with_a_retry_time() {
    let zones = zones();
    let instance = start(&zones, "one", &[]);
    zones.store.put("op", "evacuate/north", &json!({}));
    zones.store.put("op", "evacuate/south", &json!({}));
    thread::sleep(APPLY_TIME);
    for path in ["/idem/", "/once/", "/stream/"] {
        let started = Instant::now();
        let response = call(path, path).send(instance.callers());
        assert_eq!(response.status, 503, "{path}");
        assert!(started.elapsed() < Duration::from_millis(250), "{path}");
        assert!(response.header("retry-after").parse::<f64>().expect("a number of seconds") > 0.0);
        assert_eq!(zones.north.runs(path) + zones.south.runs(path), 0);
    }
    assert!(instance.gateway().is_ready(), "the instance stays ready");
}

#[test]
fn an_instance_that_starts_during_an_evacuation_applies_it_before_it_is_ready() {
    let zones = zones();
    zones.store.put("op", "evacuate/north", &json!({}));
    let first = start(&zones, "one", &[]);
    assert_eq!(arrivals_in_north(&zones, &first, "a"), 0);
    let second = start(&zones, "two", &[&first]);
    assert_eq!(arrivals_in_north(&zones, &second, "b"), 0);
    // An instance whose calls the store rejects receives its state from another instance.
    let busy_store = StoreStandIn::spawn().expect("the store starts");
    busy_store.set_mode(StoreMode::Busy);
    let third = spawn("three", busy_store.address(), vec![first.peers()]);
    eventually("the instance is ready with the state of its peer", || third.gateway().is_ready());
    assert_eq!(arrivals_in_north(&zones, &third, "c"), 0);
}

#[test]
fn an_evacuation_reaches_instances_whose_calls_the_store_rejects_in_time() {
    let zones = zones();
    let first = start(&zones, "one", &[]);
    let busy_store = StoreStandIn::spawn().expect("the store starts");
    busy_store.set_mode(StoreMode::Busy);
    let others: Vec<GatewayHandle> = (0..4)
        .map(|i| spawn(&format!("n{i}"), busy_store.address(), vec![first.peers()]))
        .collect();
    eventually("all instances know each other", || {
        others
            .iter()
            .chain([&first])
            .all(|i| i.gateway().is_ready() && i.gateway().instances() == 5)
    });
    zones.store.put("op", "evacuate/north", &json!({}));
    thread::sleep(APPLY_TIME);
    for (number, instance) in others.iter().enumerate() {
        assert_eq!(
            arrivals_in_north(&zones, instance, &format!("a{number}")),
            0,
            "instance {number}"
        );
    }
    zones.store.remove("op", "evacuate/north");
    thread::sleep(APPLY_TIME);
    for (number, instance) in others.iter().enumerate() {
        assert!(
            arrivals_in_north(&zones, instance, &format!("b{number}")) > 0,
            "instance {number}"
        );
    }
}
