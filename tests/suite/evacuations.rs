//! Availability zones that operators empty: nothing new goes to their backend servers.

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

/// Time from the store's acknowledgement within which nothing more reaches the zone's servers.
const IN_FORCE: Duration = Duration::from_secs(1);

/// A store and two servers in two zones.
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
    let store = StoreStandIn::spawn().expect("a store");
    let north = Listed::spawn("n0").expect("a server");
    let south = Listed::spawn("s0").expect("a server");
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

/// Sends requests of each kind and returns how many of them reached the server in the north.
fn sent_north(zones: &Zones, instance: &GatewayHandle, name: &str) -> usize {
    let before = zones.north.arrivals().len();
    for number in 0..8 {
        for path in ["/idem/", "/once/", "/stream/", "/stream-resumable/"] {
            let answer = call(path, &format!("{name}{path}{number}")).send(instance.callers());
            assert_eq!(answer.status, 200, "{path}");
        }
    }
    zones.north.arrivals().len() - before
}

// Operators asked for a zone to be emptied, and 6,053 requests still reached its servers: the row was read with the
// configuration's table and passed over, since nothing knew its key.
#[test]
fn nothing_new_reaches_a_zone_that_is_being_emptied() {
    let zones = zones();
    let instance = start(&zones, "one", &[]);
    assert!(sent_north(&zones, &instance, "a") > 0);
    zones.store.put("op", "evacuate/north", &json!({}));
    thread::sleep(IN_FORCE);
    assert_eq!(sent_north(&zones, &instance, "b"), 0);
    zones.store.remove("op", "evacuate/north");
    thread::sleep(IN_FORCE);
    assert!(sent_north(&zones, &instance, "c") > 0, "it is taken back");
}

#[test]
fn a_row_that_says_nothing_empties_the_zone_that_its_key_names() {
    let zones = zones();
    zones.store.put_raw("op", "evacuate/north", b"\xff{".to_vec());
    zones.store.put("op", "evacuate/nowhere", &json!({}));
    zones.store.put("op", "evacuate/", &json!({}));
    let instance = start(&zones, "one", &[]);
    assert_eq!(sent_north(&zones, &instance, "a"), 0);
}

#[test]
fn what_is_under_way_ends_in_peace_and_what_breaks_goes_on_elsewhere() {
    let zones = zones();
    let instance = start(&zones, "one", &[]);
    let callers = instance.callers();
    let (late, silent) = (Duration::from_millis(900), Duration::from_millis(1200));
    for (path, fault) in
        [("/once/", Fault::Late(late)), ("/stream-resumable/x", Fault::SilentAfter(3, silent))]
    {
        zones.north.faults.set_standing(Some(fault));
        let sent: Vec<_> = (0..8)
            .map(|i| thread::spawn(move || call(path, &format!("{path}{i}")).send(callers)))
            .collect();
        eventually("one is under way in the north", || zones.north.in_flight() > 0);
        zones.store.put("op", "evacuate/north", &json!({}));
        for answer in sent {
            let answer = answer.join().expect("an answer");
            assert_eq!((answer.status, answer.whole), (200, true), "{path}");
            assert!(path != "/stream-resumable/x" || answer.text() == events(1));
        }
        zones.store.remove("op", "evacuate/north");
        thread::sleep(IN_FORCE);
    }
}

#[test]
fn where_no_zone_is_left_the_refusal_is_true_at_once_and_says_when_to_come_back() {
    let zones = zones();
    let instance = start(&zones, "one", &[]);
    zones.store.put("op", "evacuate/north", &json!({}));
    zones.store.put("op", "evacuate/south", &json!({}));
    thread::sleep(IN_FORCE);
    for path in ["/idem/", "/once/", "/stream/"] {
        let began = Instant::now();
        let answer = call(path, path).send(instance.callers());
        assert_eq!(answer.status, 503, "{path}");
        assert!(began.elapsed() < Duration::from_millis(250), "{path}");
        assert!(answer.header("retry-after").parse::<f64>().expect("a time") > 0.0);
        assert_eq!(zones.north.runs(path) + zones.south.runs(path), 0);
    }
    assert!(instance.gateway().is_ready(), "it serves what it can, and says so truly");
}

#[test]
fn an_instance_that_starts_meanwhile_knows_before_it_is_ready() {
    let zones = zones();
    zones.store.put("op", "evacuate/north", &json!({}));
    let first = start(&zones, "one", &[]);
    assert_eq!(sent_north(&zones, &first, "a"), 0);
    let second = start(&zones, "two", &[&first]);
    assert_eq!(sent_north(&zones, &second, "b"), 0);
    // One that the store turns away learns all it knows from another.
    let away = StoreStandIn::spawn().expect("a store");
    away.set_mode(StoreMode::Busy);
    let third = spawn("three", away.address(), vec![first.peers()]);
    eventually("ready by its peer", || third.gateway().is_ready());
    assert_eq!(sent_north(&zones, &third, "c"), 0);
}

#[test]
fn instances_that_the_store_turns_away_are_told_of_it_in_time() {
    let zones = zones();
    let first = start(&zones, "one", &[]);
    let away = StoreStandIn::spawn().expect("a store");
    away.set_mode(StoreMode::Busy);
    let others: Vec<GatewayHandle> =
        (0..4).map(|i| spawn(&format!("n{i}"), away.address(), vec![first.peers()])).collect();
    eventually("all know of all", || {
        others
            .iter()
            .chain([&first])
            .all(|i| i.gateway().is_ready() && i.gateway().instances() == 5)
    });
    zones.store.put("op", "evacuate/north", &json!({}));
    thread::sleep(IN_FORCE);
    for (number, instance) in others.iter().enumerate() {
        assert_eq!(sent_north(&zones, instance, &format!("a{number}")), 0, "instance {number}");
    }
    zones.store.remove("op", "evacuate/north");
    thread::sleep(IN_FORCE);
    for (number, instance) in others.iter().enumerate() {
        assert!(sent_north(&zones, instance, &format!("b{number}")) > 0, "instance {number}");
    }
}
