//! Backend servers that are cold take few requests a second, from all instances together.

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

/// What a cold server takes, in requests a second; and what it bears, as its operator states it.
const RATE: f64 = 6.0;
const MOST: usize = (RATE * 1.5) as usize + 5;

/// Requests of each instance that are more than a cold server bears, however slow the machine that runs the test is.
const LEAST: usize = 34;

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

fn ready(node: &str, store: &StoreStandIn, seeds: &[&GatewayHandle]) -> GatewayHandle {
    let seeds = seeds.iter().map(|instance| instance.peers()).collect();
    let instance = spawn(node, store.address(), seeds);
    eventually("the instance is ready", || instance.gateway().is_ready());
    instance
}

/// Returns the most requests that a cold server bears in so long.
fn most(time: Duration) -> usize {
    (RATE * 1.5 * time.as_secs_f64().max(1.0)) as usize + 5
}

/// Sends requests for a second, through all instances at once; returns what they were answered.
fn one_second(instances: &[&GatewayHandle], name: &str) -> Vec<u16> {
    send_until(instances, name, 0)
}

/// Sends requests through all instances at once, for a second and until each has sent so many; returns what they were answered.
fn send_until(instances: &[&GatewayHandle], name: &str, least: usize) -> Vec<u16> {
    let until = Instant::now() + Duration::from_secs(1);
    let senders: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(number, instance)| {
            let (callers, name) = (instance.callers(), format!("{name}-{number}"));
            thread::spawn(move || {
                let sent = (0..).take_while(|i| *i < least || Instant::now() < until);
                let answered = sent.map(|i| {
                    thread::sleep(Duration::from_millis(5));
                    call("/once/", &format!("{name}-{i}")).send(callers).status
                });
                answered.collect::<Vec<u16>>()
            })
        })
        .collect();
    senders.into_iter().flat_map(|sender| sender.join().expect("answers")).collect()
}

// A cold server got 25 requests in a second, where it bears 24: what its entry says of how long it stays cold was read
// into a field that nothing used, and every instance sent it all that its rank gave it.
#[test]
fn a_cold_server_gets_what_it_bears_from_all_instances_and_the_warm_one_the_rest() {
    let store = StoreStandIn::spawn().expect("a store");
    let cold = Listed::spawn("cold").expect("a server");
    let warm = Listed::spawn("warm").expect("a server");
    store.put("op", "config", &cold_intent(5));
    store.put("servers", "warm", &cold_entry(&warm, "north", 0));
    store.put("servers", "cold", &cold_entry(&cold, "north", 60_000));
    let first = ready("one", &store, &[]);
    let second = ready("two", &store, &[&first]);
    let third = ready("three", &store, &[&first]);
    let all = [&first, &second, &third];
    eventually("all know of all", || all.iter().all(|i| i.gateway().instances() == 3));
    for round in 0..3 {
        let before = cold.arrivals().len();
        let began = Instant::now();
        let answers = send_until(&all, &format!("r{round}"), LEAST);
        let time = began.elapsed();
        let took = cold.arrivals().len() - before;
        let bad: Vec<&u16> = answers.iter().filter(|status| **status != 200).collect();
        assert!(
            bad.is_empty(),
            "{bad:?} of {}{}",
            answers.len(),
            log_lines::matching(&["refused", "attempt"])
        );
        assert!(answers.len() > 100, "{} answers", answers.len());
        assert!(took <= most(time), "round {round}: {took} in {time:?}");
        assert!(took >= 3, "round {round}: {took} of {RATE} a second, though there was demand");
    }
    store.put("servers", "cold", &cold_entry(&cold, "north", 0));
    eventually("it is warm", || {
        let before = cold.arrivals().len();
        one_second(&all, "w");
        cold.arrivals().len() - before > MOST
    });
}

#[test]
fn the_only_server_serves_what_it_bears_and_the_rest_is_refused_at_once() {
    let store = StoreStandIn::spawn().expect("a store");
    let cold = Listed::spawn("cold").expect("a server");
    store.put("op", "config", &cold_intent(5));
    store.put("servers", "cold", &cold_entry(&cold, "north", 60_000));
    let instance = ready("one", &store, &[]);
    eventually("it knows that it is alone", || {
        call("/once/", "x").send(instance.callers()).status == 200
    });
    let before = cold.arrivals().len();
    let answers = one_second(&[&instance], "r");
    let took = cold.arrivals().len() - before;
    assert!((2..=MOST).contains(&took), "{took}");
    let served = answers.iter().filter(|&&status| status == 200).count();
    assert_eq!(served, took, "what was sent was answered");
    assert!(answers.iter().all(|&status| status == 200 || status == 503), "the rest is refused");
}

// A zone that is taken back may be cold though the entries of its servers do not say so yet.
#[test]
fn the_servers_of_a_zone_that_is_taken_back_count_as_cold() {
    let store = StoreStandIn::spawn().expect("a store");
    let north = Listed::spawn("n0").expect("a server");
    let south = Listed::spawn("s0").expect("a server");
    store.put("op", "config", &cold_intent(5));
    store.put("op", "evacuate/north", &json!({}));
    store.put("servers", "n0", &cold_entry(&north, "north", 0));
    store.put("servers", "s0", &cold_entry(&south, "south", 0));
    let instance = ready("one", &store, &[]);
    thread::sleep(Duration::from_millis(1600));
    let before = north.arrivals().len();
    store.remove("op", "evacuate/north");
    eventually("it gets some again", || {
        assert_eq!(call("/once/", "x").send(instance.callers()).status, 200);
        north.arrivals().len() > before
    });
    let before = north.arrivals().len();
    one_second(&[&instance], "r");
    let took = north.arrivals().len() - before;
    assert!(took <= MOST, "{took}");
}
