//! An instance on a platform: what it knows and where from, against stand-ins of the store, of
//! other instances and of listed backend servers.

use std::time::Duration;

use cartvane::{
    clock::Clock,
    gateway::{GatewayHandle, knowledge::Knowledge},
    routing::{Confirmation, Intent, PickRequest, StoreVersion},
};
use serde_json::json;
use standins::{
    caller::Call,
    fault::Fault,
    listed::Listed,
    store::{StoreMode, StoreStandIn},
};

use crate::{
    support::eventually,
    world::{World, call, intent, route, settings, spawn, start},
};

#[test]
fn a_change_of_intent_is_in_force_and_an_older_one_is_not() {
    let world = start(1);
    assert_eq!(world.send(&call("/added/", "a")).status, 404);
    let mut next = intent(9);
    next["routes"].as_array_mut().expect("routes").push(route("added", "idempotent", "app"));
    world.store.put("op", "config", &next);
    eventually("the route is served", || world.send(&call("/added/", "b")).status == 200);
    world.store.put("op", "config", &intent(7));
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(world.send(&call("/added/", "c")).status, 200);
    assert_eq!(world.instance.gateway().knowledge.version(), 9);
}

#[test]
fn an_intent_that_cannot_be_read_leaves_the_one_before_in_force() {
    let world = start(1);
    world.store.put_raw("op", "config", b"\xff{not json".to_vec());
    world.store.put("op", "config", &json!({"routes": []}));
    let mut partly = intent(9);
    let routes = partly["routes"].as_array_mut().expect("routes");
    routes.push(json!({"name": "odd", "type": "telepathic"}));
    routes.push(route("added", "idempotent", "app"));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(world.send(&call("/idem/", "a")).status, 200);
    world.store.put("op", "config", &partly);
    eventually("the rest is in force", || world.send(&call("/added/", "b")).status == 200);
}

#[test]
fn history_that_is_gone_is_read_anew() {
    let world = start(1);
    world.store.forget_history();
    world.store.put("op", "config", &intent(9));
    let version = || world.instance.gateway().knowledge.version();
    eventually("the new version is in force", || version() == 9);
}

#[test]
fn a_leaving_server_gets_nothing_new_and_a_gone_one_neither() {
    let world = start(2);
    let leaving = &world.servers[0];
    world.store.put("servers", &leaving.id, &leaving.entry("app", "draining"));
    std::thread::sleep(Duration::from_millis(500));
    let before = leaving.arrivals().len();
    (0..20).for_each(|i| assert_eq!(world.send(&call("/idem/", &format!("a{i}"))).status, 200));
    assert_eq!(leaving.arrivals().len(), before);
    world.store.put("servers", &leaving.id, &leaving.entry("app", "ready"));
    world.store.remove("servers", &world.servers[1].id);
    std::thread::sleep(Duration::from_millis(500));
    let before = world.servers[1].arrivals().len();
    (0..20).for_each(|i| assert_eq!(world.send(&call("/idem/", &format!("b{i}"))).status, 200));
    assert_eq!(world.servers[1].arrivals().len(), before);
}

#[test]
fn malformed_entries_are_passed_over() {
    let world = start(1);
    world.store.put_raw("servers", "no-json", b"{".to_vec());
    world.store.put("servers", "no-address", &json!({"service": "app", "zone": "north"}));
    world.store.put(
        "servers",
        "bad-address",
        &json!({"service": "app", "zone": "n", "address": "x"}),
    );
    std::thread::sleep(Duration::from_millis(500));
    (0..10).for_each(|i| assert_eq!(world.send(&call("/once/", &format!("a{i}"))).status, 200));
}

#[test]
fn whatever_the_store_does_requests_are_served_and_its_return_is_noticed() {
    let modes = StoreMode::failing(120);
    let world = start(1);
    for (number, mode) in modes.into_iter().enumerate() {
        world.store.set_mode(mode);
        std::thread::sleep(Duration::from_millis(600));
        assert_eq!(world.send(&call("/once/", &format!("{mode:?}"))).status, 200, "{mode:?}");
        let version = 100 + number as u64;
        world.store.put("op", "config", &intent(version));
        world.store.set_mode(StoreMode::Up);
        let known = || world.instance.gateway().knowledge.version();
        eventually("the change made meanwhile is in force", || known() == version);
    }
}

#[test]
fn an_instance_that_starts_without_the_store_is_not_ready_and_refuses_truly() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    store.set_mode(StoreMode::Busy);
    let instance = spawn("one", store.address(), Vec::new());
    let ready =
        || Call { method: "GET".into(), ..call("/v1/ready", "x") }.send(instance.readiness());
    assert_eq!(ready().status, 503);
    let answer = call("/idem/", "a").send(instance.callers());
    assert_eq!(answer.status, 503);
    assert!(!answer.header("retry-after").is_empty());
    store.set_mode(StoreMode::Up);
    eventually("ready", || ready().status == 200);
    assert_eq!(call("/idem/", "b").send(instance.callers()).status, 200);
    assert_eq!(server.runs("a"), 0);
}

#[test]
fn a_denial_needs_fresh_knowledge() {
    let world = start(1);
    assert_eq!(world.send(&call("/nothing/", "a")).status, 404);
    world.store.set_mode(StoreMode::Busy);
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(world.send(&call("/nothing/", "b")).status, 503);
    assert_eq!(world.send(&call("/idem/", "c")).status, 200, "what is known to be served is");
}

#[test]
fn news_come_from_peers_when_the_store_turns_an_instance_away() {
    let world = start(2);
    let other_store = StoreStandIn::spawn().expect("a store");
    other_store.set_mode(StoreMode::Busy);
    let cut_off = spawn("two", other_store.address(), vec![world.instance.peers()]);
    eventually("ready by its peer", || cut_off.gateway().is_ready());
    let status = |target: &str, id: &str| call(target, id).send(cut_off.callers()).status;
    assert_eq!(status("/idem/", "a"), 200);
    let mut next = intent(9);
    next["tenants"][0]["api_keys"] = json!(["another-key"]);
    next["padding"] = "x".repeat(40_000).into();
    world.store.put("op", "config", &next);
    eventually("the key is gone", || status("/idem/", "b") == 401);
    world.store.remove("servers", &world.servers[0].id);
    eventually("the server is gone", || {
        cut_off.gateway().knowledge.with_servers(|roster| roster.servers().count()) == 1
    });
}

// After each large change of a fleet of 302 instances dozens of them read the store for others, though nobody had
// turned to them: they had been asked once, by instances that looked for the change. 7,065 calls to the store were
// made on a day with four changes, where a calm one takes 2,577.
#[test]
fn an_instance_that_is_asked_out_of_turn_does_not_read_for_others() {
    let world = start(1);
    let other = spawn("two", world.store.address(), Vec::new());
    let both = [&world.instance, &other];
    eventually("they know of each other", || both.iter().all(|i| i.gateway().instances() == 2));
    let away = StoreStandIn::spawn().expect("a store");
    away.set_mode(StoreMode::Busy);
    let seeds = both.iter().map(|instance| instance.peers()).collect();
    let mut weakest = settings("three", away.address(), seeds);
    weakest.cores = 0.1;
    let asking = GatewayHandle::spawn(weakest, &Clock::system()).expect("an instance");
    eventually("the third is ready by the others", || asking.gateway().is_ready());
    let reads = |instance: &GatewayHandle| {
        let gateway = instance.gateway();
        gateway.peers.is_reader(Clock::system().now())
    };
    eventually("one reads", || both.iter().filter(|instance| reads(instance)).count() == 1);
}

#[test]
fn an_instance_divides_what_all_share_by_those_that_turned_to_it() {
    let world = start(1);
    let other_store = StoreStandIn::spawn().expect("a store");
    other_store.set_mode(StoreMode::Busy);
    let cut_off = spawn("two", other_store.address(), vec![world.instance.peers()]);
    let position =
        |instance: &GatewayHandle| instance.gateway().picker.lock().expect("the picker").position();
    // The other has no row in the store: it is known by what it told only.
    eventually("both know of two", || {
        position(&world.instance).instances == 2 && position(&cut_off).instances == 2
    });
    assert_ne!(position(&world.instance).number, position(&cut_off).number);
}

#[test]
fn instances_count_each_others_requests() {
    let world = start(3);
    let two = spawn("two", world.store.address(), Vec::new());
    eventually("they know of each other", || {
        two.gateway().instances() == 2 && world.instance.gateway().instances() == 2
    });
    world.fault(Fault::Late(Duration::from_millis(1800)));
    let busy: Vec<_> = (0..6)
        .map(|i| {
            let callers = world.instance.callers();
            std::thread::spawn(move || call("/once/", &format!("r{i}")).send(callers))
        })
        .collect();
    let service = "app".parse().expect("a name");
    eventually("the other counts them", || {
        let wanted = PickRequest {
            service: &service,
            affinity: None,
            spread: 5,
            tried: &[],
            admission: None,
            ..PickRequest::new(&service)
        };
        let now = Clock::system().now();
        let picker = two.gateway().picker.lock().expect("the picker");
        picker.pick(now, &wanted).expect("a server").load >= 2.0
    });
    busy.into_iter().for_each(|call| assert_eq!(call.join().expect("an answer").status, 200));
}

#[test]
fn one_instance_reads_the_store_for_the_others() {
    let world = start(1);
    let others: Vec<GatewayHandle> =
        (0..5).map(|i| spawn(&format!("n{i}"), world.store.address(), Vec::new())).collect();
    let all = || others.iter().chain([&world.instance]);
    let readers = || {
        let now = Clock::system().now();
        all().filter(|instance| instance.gateway().peers.is_reader(now)).count()
    };
    eventually("all are known to all", || all().all(|i| i.gateway().instances() == 6));
    eventually("one reads", || readers() == 1);
}

// 295 instances that start together made some 2,000 calls to the store in a calm day, nearly all of them in the first
// seconds: each read the table of instances while half of the rows were not written yet, took itself or a stranger
// for the one that reads for all, and followed the intent for all the others.
#[test]
fn instances_that_start_together_call_the_store_three_times_each() {
    const INSTANCES: usize = 20;
    let world = start(1);
    let seeds = vec![world.instance.peers()];
    let before: usize = calls(&world);
    let spawned: Vec<GatewayHandle> = (0..INSTANCES)
        .map(|number| {
            let mut calm = settings(&format!("n{number}"), world.store.address(), seeds.clone());
            calm.cores = 0.1;
            calm.bounds.leaving_acted_on = Duration::from_secs(10);
            calm.bounds.intent_in_force = Duration::from_secs(10);
            GatewayHandle::spawn(calm, &Clock::system()).expect("an instance")
        })
        .collect();
    eventually("all are ready", || spawned.iter().all(|i| i.gateway().is_ready()));
    eventually("all know of all", || {
        spawned.iter().all(|i| i.gateway().instances() == INSTANCES + 1)
    });
    // The first instance, with tighter bounds, reads all the time; it is counted apart.
    let reads =
        |i: &GatewayHandle| i.gateway().metrics.text().lines().map(store_calls).sum::<usize>();
    let each: Vec<usize> = spawned.iter().map(reads).collect();
    assert!(calls(&world) > before);
    let all: usize = each.iter().sum();
    assert!(all <= 3 * INSTANCES + 5, "{all} calls: {each:?}");
}

fn calls(world: &World) -> usize {
    ["/v1/rows-get", "/v1/rows-tx", "/v1/rows-feed"].iter().map(|p| world.store.calls(p)).sum()
}

/// Calls to the store that a line of the metrics counts.
fn store_calls(line: &str) -> usize {
    let counts = line.starts_with("cartvane_store_calls") && !line.starts_with('#');
    let value = line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok());
    if counts { value.unwrap_or(0.0) as usize } else { 0 }
}

// An instance that is told of a newer version, but not what it says, took the word that this one is the newest for a word
// on its own: it counted as sure, and would have denied requests that the newer version allows.
#[test]
fn word_of_a_newer_version_says_nothing_of_the_one_in_force() {
    let now = Clock::system().now();
    let later = now + Duration::from_secs(1);
    let knowledge = Knowledge::new(Duration::from_secs(2));
    let store = StoreVersion::default();
    knowledge
        .offer_intent(Intent { version: 5, ..Intent::empty() }, Confirmation { at: now, store });
    knowledge.confirm(9, Confirmation { at: later, store });
    assert_eq!(knowledge.intent_age(later), Some(Duration::from_secs(1)));
    knowledge.confirm(4, Confirmation { at: later, store });
    assert_eq!(knowledge.intent_age(later), Some(Duration::ZERO), "it was no older then");
}
