//! Cold backend servers get few requests per second from all instances together.

use std::{
    thread,
    time::{Duration, Instant},
};

use cartvane::gateway::GatewayHandle;
use serde_json::{Value, json};
use standins::{listed::Listed, store::StoreStandIn};

use crate::{
    log_lines,
    support::eventually,
    testbed::{call, intent, spawn},
};

/// Rate of a cold server, in requests per second.
const RATE: f64 = 6.0;

/// Most requests that operators allow a cold server to get in one second.
const MAX_PER_SECOND: usize = (RATE * 1.5) as usize + 5;

/// Number of requests per instance that exceeds the allowed number, however slow the machine that runs the test is.
const MIN_REQUESTS: usize = 34;

fn cold_intent(version: u64) -> Value {
    let mut intent = intent(version);
    intent["services"][0]["cold_start_s"] = 3.0.into();
    intent["services"][0]["cold_per_s"] = RATE.into();
    intent
}

fn cold_entry(server: &Listed, zone: &str, remaining_ms: u64) -> Value {
    let mut entry = server.entry("app", "ready");
    entry["cold_remaining_ms"] = remaining_ms.into();
    entry["zone"] = zone.into();
    entry
}

fn start_ready(node: &str, store: &StoreStandIn, seeds: &[&GatewayHandle]) -> GatewayHandle {
    let seeds = seeds.iter().map(|instance| instance.peers()).collect();
    let instance = spawn(node, store.address(), seeds);
    eventually("the instance is ready", || instance.gateway().is_ready());
    instance
}

/// Returns the most requests that operators allow a cold server to get in `time`.
fn max_requests(time: Duration) -> usize {
    (RATE * 1.5 * time.as_secs_f64().max(1.0)) as usize + 5
}

/// Sends requests to all instances concurrently for a second; returns the status of each response.
fn send_for_a_second(instances: &[&GatewayHandle], name: &str) -> Vec<u16> {
    send_at_least(instances, name, 0)
}

/// Sends requests to all instances concurrently, for at least a second and at least `min_requests` to each; returns the
/// status of each response.
fn send_at_least(instances: &[&GatewayHandle], name: &str, min_requests: usize) -> Vec<u16> {
    let until = Instant::now() + Duration::from_secs(1);
    let senders: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(number, instance)| {
            let (callers, name) = (instance.callers(), format!("{name}-{number}"));
            thread::spawn(move || {
                let sent = (0..).take_while(|i| *i < min_requests || Instant::now() < until);
                let statuses = sent.map(|i| {
                    thread::sleep(Duration::from_millis(5));
                    call("/once/", &format!("{name}-{i}")).send(callers).status
                });
                statuses.collect::<Vec<u16>>()
            })
        })
        .collect();
    senders
        .into_iter()
        .flat_map(|sender| sender.join().expect("all requests get a response"))
        .collect()
}

// A cold server got 25 requests in a second, where 24 are allowed: the remaining cold time in its entry was read into
// an unused field, and every instance sent it all requests for which it was first in the rendezvous order.
#[test]
fn a_cold_server_gets_its_rate_from_all_instances_and_the_warm_one_gets_the_rest() {
    let store = StoreStandIn::spawn().expect("the store starts");
    let cold = Listed::spawn("cold").expect("the server starts");
    let warm = Listed::spawn("warm").expect("the server starts");
    store.put("op", "config", &cold_intent(5));
    store.put("servers", "warm", &cold_entry(&warm, "north", 0));
    store.put("servers", "cold", &cold_entry(&cold, "north", 60_000));
    let first = start_ready("one", &store, &[]);
    let second = start_ready("two", &store, &[&first]);
    let third = start_ready("three", &store, &[&first]);
    let all = [&first, &second, &third];
    eventually("all instances know each other", || {
        all.iter().all(|i| i.gateway().instances() == 3)
    });
    for round in 0..3 {
        let before = cold.arrivals().len();
        let started = Instant::now();
        let statuses = send_at_least(&all, &format!("r{round}"), MIN_REQUESTS);
        let time = started.elapsed();
        let arrived = cold.arrivals().len() - before;
        let failed: Vec<&u16> = statuses.iter().filter(|status| **status != 200).collect();
        assert!(
            failed.is_empty(),
            "{failed:?} of {} responses{}",
            statuses.len(),
            log_lines::matching(&["refused", "attempt"])
        );
        assert!(statuses.len() > 100, "{} responses", statuses.len());
        assert!(arrived <= max_requests(time), "round {round}: {arrived} in {time:?}");
        assert!(
            arrived >= 3,
            "round {round}: {arrived} arrived at a rate of {RATE} per second despite demand"
        );
    }
    store.put("servers", "cold", &cold_entry(&cold, "north", 0));
    eventually("the server is warm", || {
        let before = cold.arrivals().len();
        send_for_a_second(&all, "w");
        cold.arrivals().len() - before > MAX_PER_SECOND
    });
}

#[test]
fn a_single_cold_server_gets_its_rate_and_the_rest_is_rejected_at_once() {
    let store = StoreStandIn::spawn().expect("the store starts");
    let cold = Listed::spawn("cold").expect("the server starts");
    store.put("op", "config", &cold_intent(5));
    store.put("servers", "cold", &cold_entry(&cold, "north", 60_000));
    let instance = start_ready("one", &store, &[]);
    eventually("the instance knows that there are no others", || {
        call("/once/", "x").send(instance.callers()).status == 200
    });
    let before = cold.arrivals().len();
    let statuses = send_for_a_second(&[&instance], "r");
    let arrived = cold.arrivals().len() - before;
    assert!((2..=MAX_PER_SECOND).contains(&arrived), "{arrived}");
    let served = statuses.iter().filter(|&&status| status == 200).count();
    assert_eq!(served, arrived, "every request that was sent got a response");
    assert!(statuses.iter().all(|&status| status == 200 || status == 503), "the rest is rejected");
}

// The servers of a zone that is taken back may be cold although their entries do not show it yet.
#[test]
fn the_servers_of_a_zone_that_is_taken_back_count_as_cold() {
    let store = StoreStandIn::spawn().expect("the store starts");
    let north = Listed::spawn("n0").expect("the server starts");
    let south = Listed::spawn("s0").expect("the server starts");
    store.put("op", "config", &cold_intent(5));
    store.put("op", "evacuate/north", &json!({}));
    store.put("servers", "n0", &cold_entry(&north, "north", 0));
    store.put("servers", "s0", &cold_entry(&south, "south", 0));
    let instance = start_ready("one", &store, &[]);
    thread::sleep(Duration::from_millis(1600));
    let before = north.arrivals().len();
    store.remove("op", "evacuate/north");
    eventually("the zone gets requests again", || {
        assert_eq!(call("/once/", "x").send(instance.callers()).status, 200);
        north.arrivals().len() > before
    });
    let before = north.arrivals().len();
    send_for_a_second(&[&instance], "r");
    let arrived = north.arrivals().len() - before;
    assert!(arrived <= MAX_PER_SECOND, "{arrived}");
}
