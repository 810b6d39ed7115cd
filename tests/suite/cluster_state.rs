//! How an instance on a platform receives intent, orders and servers, from a stand-in store and from other instances.

use std::time::Duration;

use cartvane::{
    clock::Clock,
    gateway::{GatewayHandle, cluster_state::ClusterState},
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
    testbed::{Testbed, call, intent, route, settings, spawn, start},
};

#[test]
fn a_newer_intent_becomes_active_and_an_older_one_is_ignored() {
    let testbed = start(1);
    assert_eq!(testbed.send(&call("/added/", "a")).status, 404);
    let mut next = intent(9);
    next["routes"].as_array_mut().expect("routes").push(route("added", "idempotent", "app"));
    testbed.store.put("op", "config", &next);
    eventually("the route is served", || testbed.send(&call("/added/", "b")).status == 200);
    testbed.store.put("op", "config", &intent(7));
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(testbed.send(&call("/added/", "c")).status, 200);
    assert_eq!(testbed.instance.gateway().cluster_state.version(), 9);
}

#[test]
fn an_intent_that_cannot_be_parsed_leaves_the_previous_one_active() {
    let testbed = start(1);
    testbed.store.put_raw("op", "config", b"\xff{not json".to_vec());
    testbed.store.put("op", "config", &json!({"routes": []}));
    let mut partly = intent(9);
    let routes = partly["routes"].as_array_mut().expect("routes");
    routes.push(json!({"name": "odd", "type": "telepathic"}));
    routes.push(route("added", "idempotent", "app"));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(testbed.send(&call("/idem/", "a")).status, 200);
    testbed.store.put("op", "config", &partly);
    eventually("the valid part is active", || testbed.send(&call("/added/", "b")).status == 200);
}

#[test]
fn expired_history_leads_to_a_read_of_the_whole_intent() {
    let testbed = start(1);
    testbed.store.forget_history();
    testbed.store.put("op", "config", &intent(9));
    let version = || testbed.instance.gateway().cluster_state.version();
    eventually("the new version is active", || version() == 9);
}

#[test]
fn leaving_and_removed_servers_receive_no_new_requests() {
    let testbed = start(2);
    let leaving = &testbed.servers[0];
    testbed.store.put("servers", &leaving.id, &leaving.entry("app", "draining"));
    std::thread::sleep(Duration::from_millis(500));
    let before = leaving.arrivals().len();
    (0..20).for_each(|i| assert_eq!(testbed.send(&call("/idem/", &format!("a{i}"))).status, 200));
    assert_eq!(leaving.arrivals().len(), before);
    testbed.store.put("servers", &leaving.id, &leaving.entry("app", "ready"));
    testbed.store.remove("servers", &testbed.servers[1].id);
    std::thread::sleep(Duration::from_millis(500));
    let before = testbed.servers[1].arrivals().len();
    (0..20).for_each(|i| assert_eq!(testbed.send(&call("/idem/", &format!("b{i}"))).status, 200));
    assert_eq!(testbed.servers[1].arrivals().len(), before);
}

#[test]
fn malformed_entries_of_servers_are_skipped() {
    let testbed = start(1);
    testbed.store.put_raw("servers", "no-json", b"{".to_vec());
    testbed.store.put("servers", "no-address", &json!({"service": "app", "zone": "north"}));
    testbed.store.put(
        "servers",
        "bad-address",
        &json!({"service": "app", "zone": "n", "address": "x"}),
    );
    std::thread::sleep(Duration::from_millis(500));
    (0..10).for_each(|i| assert_eq!(testbed.send(&call("/once/", &format!("a{i}"))).status, 200));
}

#[test]
fn requests_are_served_through_any_failure_of_the_store_and_its_recovery_is_noticed() {
    let modes = StoreMode::failing(120);
    let testbed = start(1);
    for (number, mode) in modes.into_iter().enumerate() {
        testbed.store.set_mode(mode);
        std::thread::sleep(Duration::from_millis(600));
        assert_eq!(testbed.send(&call("/once/", &format!("{mode:?}"))).status, 200, "{mode:?}");
        let version = 100 + number as u64;
        testbed.store.put("op", "config", &intent(version));
        testbed.store.set_mode(StoreMode::Up);
        let active = || testbed.instance.gateway().cluster_state.version();
        eventually("the change made during the failure is active", || active() == version);
    }
}

#[test]
fn an_instance_that_starts_without_the_store_is_not_ready_and_responds_with_503() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    store.set_mode(StoreMode::Busy);
    let instance = spawn("one", store.address(), Vec::new());
    let ready =
        || Call { method: "GET".into(), ..call("/v1/ready", "x") }.send(instance.readiness());
    assert_eq!(ready().status, 503);
    let response = call("/idem/", "a").send(instance.callers());
    assert_eq!(response.status, 503);
    assert!(!response.header("retry-after").is_empty());
    store.set_mode(StoreMode::Up);
    eventually("ready", || ready().status == 200);
    assert_eq!(call("/idem/", "b").send(instance.callers()).status, 200);
    assert_eq!(server.runs("a"), 0);
}

#[test]
fn a_denial_requires_a_recently_confirmed_intent() {
    let testbed = start(1);
    assert_eq!(testbed.send(&call("/nothing/", "a")).status, 404);
    testbed.store.set_mode(StoreMode::Busy);
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(testbed.send(&call("/nothing/", "b")).status, 503);
    assert_eq!(testbed.send(&call("/idem/", "c")).status, 200, "a known route is still served");
}

#[test]
fn peers_send_updates_to_an_instance_that_the_store_rejects() {
    let testbed = start(2);
    let other_store = StoreStandIn::spawn().expect("a store");
    other_store.set_mode(StoreMode::Busy);
    let cut_off = spawn("two", other_store.address(), vec![testbed.instance.peers()]);
    eventually("ready through its peer", || cut_off.gateway().is_ready());
    let status = |target: &str, id: &str| call(target, id).send(cut_off.callers()).status;
    assert_eq!(status("/idem/", "a"), 200);
    let mut next = intent(9);
    next["tenants"][0]["api_keys"] = json!(["another-key"]);
    next["padding"] = "x".repeat(40_000).into();
    testbed.store.put("op", "config", &next);
    eventually("the key is rejected", || status("/idem/", "b") == 401);
    testbed.store.remove("servers", &testbed.servers[0].id);
    eventually("the server is removed", || {
        cut_off.gateway().cluster_state.with_servers(|roster| roster.servers().count()) == 1
    });
}

// Guards against instances that act as the aggregator after a single query. In a fleet of 302 instances, dozens did so
// after each large change: 7,065 calls to the store on a day with four changes, 2,577 on a day without.
#[test]
fn a_single_query_does_not_make_an_instance_the_aggregator() {
    let testbed = start(1);
    let other = spawn("two", testbed.store.address(), Vec::new());
    let both = [&testbed.instance, &other];
    eventually("both instances know each other", || {
        both.iter().all(|i| i.gateway().instances() == 2)
    });
    let rejecting = StoreStandIn::spawn().expect("a store");
    rejecting.set_mode(StoreMode::Busy);
    let seeds = both.iter().map(|instance| instance.peers()).collect();
    let mut weakest = settings("three", rejecting.address(), seeds);
    weakest.cores = 0.1;
    let querying = GatewayHandle::spawn(weakest, &Clock::system()).expect("an instance");
    eventually("the third is ready through the others", || querying.gateway().is_ready());
    let reads = |instance: &GatewayHandle| {
        let gateway = instance.gateway();
        gateway.peers.is_reader(Clock::system().now())
    };
    eventually("one instance reads the store", || {
        both.iter().filter(|instance| reads(instance)).count() == 1
    });
}

#[test]
fn shared_limits_are_divided_among_the_instances_that_report() {
    let testbed = start(1);
    let other_store = StoreStandIn::spawn().expect("a store");
    other_store.set_mode(StoreMode::Busy);
    let cut_off = spawn("two", other_store.address(), vec![testbed.instance.peers()]);
    let position =
        |instance: &GatewayHandle| instance.gateway().picker.lock().expect("the picker").position();
    // The other instance has no row in this store: only its reports make it known.
    eventually("both instances know each other", || {
        position(&testbed.instance).instances == 2 && position(&cut_off).instances == 2
    });
    assert_ne!(position(&testbed.instance).number, position(&cut_off).number);
}

#[test]
fn instances_count_each_others_requests() {
    let testbed = start(3);
    let two = spawn("two", testbed.store.address(), Vec::new());
    eventually("both instances know each other", || {
        two.gateway().instances() == 2 && testbed.instance.gateway().instances() == 2
    });
    testbed.fault(Fault::Late(Duration::from_millis(1800)));
    let busy: Vec<_> = (0..6)
        .map(|i| {
            let callers = testbed.instance.callers();
            std::thread::spawn(move || call("/once/", &format!("r{i}")).send(callers))
        })
        .collect();
    let service = "app".parse().expect("a name");
    eventually("the other counts them", || {
        let request = PickRequest {
            service: &service,
            affinity: None,
            spread: 5,
            tried: &[],
            admission: None,
            ..PickRequest::new(&service)
        };
        let now = Clock::system().now();
        let picker = two.gateway().picker.lock().expect("the picker");
        picker.pick(now, &request).expect("a server").load >= 2.0
    });
    busy.into_iter().for_each(|call| assert_eq!(call.join().expect("a response").status, 200));
}

#[test]
fn one_instance_reads_the_store_for_the_others() {
    let testbed = start(1);
    let others: Vec<GatewayHandle> =
        (0..5).map(|i| spawn(&format!("n{i}"), testbed.store.address(), Vec::new())).collect();
    let all = || others.iter().chain([&testbed.instance]);
    let readers = || {
        let now = Clock::system().now();
        all().filter(|instance| instance.gateway().peers.is_reader(now)).count()
    };
    eventually("every instance knows the others", || all().all(|i| i.gateway().instances() == 6));
    eventually("one instance reads the store", || readers() == 1);
}

// Guards against calls to the store that grow when instances start together. With 295 instances there were about 2,000
// calls on a day without changes, nearly all in the first seconds: each instance read the table before half of the rows
// were written, took itself or a wrong one for the aggregator, and polled the intent for the others.
#[test]
fn instances_that_start_together_call_the_store_three_times_each() {
    const INSTANCES: usize = 20;
    let testbed = start(1);
    let seeds = vec![testbed.instance.peers()];
    let before: usize = calls(&testbed);
    let spawned: Vec<GatewayHandle> = (0..INSTANCES)
        .map(|number| {
            let mut relaxed =
                settings(&format!("n{number}"), testbed.store.address(), seeds.clone());
            relaxed.cores = 0.1;
            relaxed.bounds.server_drain_time = Duration::from_secs(10);
            relaxed.bounds.intent_apply_time = Duration::from_secs(10);
            GatewayHandle::spawn(relaxed, &Clock::system()).expect("an instance")
        })
        .collect();
    eventually("all instances are ready", || spawned.iter().all(|i| i.gateway().is_ready()));
    eventually("every instance knows the others", || {
        spawned.iter().all(|i| i.gateway().instances() == INSTANCES + 1)
    });
    // The first instance has tighter bounds and reads continuously; its calls are not counted.
    let reads =
        |i: &GatewayHandle| i.gateway().metrics.text().lines().map(store_calls).sum::<usize>();
    let each: Vec<usize> = spawned.iter().map(reads).collect();
    assert!(calls(&testbed) > before);
    let all: usize = each.iter().sum();
    assert!(all <= 3 * INSTANCES + 5, "{all} calls: {each:?}");
}

fn calls(testbed: &Testbed) -> usize {
    ["/v1/rows-get", "/v1/rows-tx", "/v1/rows-feed"].iter().map(|p| testbed.store.calls(p)).sum()
}

/// Returns the number of calls to the store in a line of the metrics; 0 for other lines.
fn store_calls(line: &str) -> usize {
    let counts = line.starts_with("cartvane_store_calls") && !line.starts_with('#');
    let value = line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok());
    if counts { value.unwrap_or(0.0) as usize } else { 0 }
}

// Guards against a confirmation of a newer version that counts for the active one. An instance that had only received
// the number of the newer version counted as up to date, and denied requests that the newer version allows.
#[test]
fn confirming_a_newer_version_does_not_confirm_the_active_one() {
    let now = Clock::system().now();
    let later = now + Duration::from_secs(1);
    let cluster_state = ClusterState::new(Duration::from_secs(2));
    let store = StoreVersion::default();
    cluster_state
        .offer_intent(Intent { version: 5, ..Intent::empty() }, Confirmation { at: now, store });
    cluster_state.confirm(9, Confirmation { at: later, store });
    assert_eq!(cluster_state.intent_age(later), Some(Duration::from_secs(1)));
    cluster_state.confirm(4, Confirmation { at: later, store });
    assert_eq!(
        cluster_state.intent_age(later),
        Some(Duration::ZERO),
        "a confirmation of an older version applies"
    );
}
