//! Odd figures and rows that another writer has put among those of the platform: they are bounded or skipped, and what
//! else is listed stays in use.

use std::time::{Duration, Instant};

use cartvane::{
    adapter::{headers, intent, responses, servers, settings, store::StoreRow},
    configs::fleet::chunks,
    gateway::{
        settings::{GatewaySettings, StoreSettings},
        slot_leases::messages::HeldLease,
    },
    link::http1::RequestHead,
    names::Tag,
    routing::{
        Aggregate, BackendServer, ColdGrants, FailureDomains, FleetBudget, FleetSpentReport,
        LeaseId, Load, LoadReport, ResponseCounts, RetrySpending, RolloutOrder, RolloutRecord,
        RolloutReport, RunId, TimeBin, VersionEvaluation,
    },
    units::Rate,
};
use serde_json::{Value, json};
use standins::{caller::Call, listed::Listed};

use crate::{
    notices::head,
    platform::boot,
    support::eventually,
    testbed::{self, KEY, Testbed, call, intent as intent_value},
};

/// Longest time that is accepted from outside.
const TIME_MAX: Duration = Duration::from_secs(30 * 24 * 3600);

/// Numbers of which a duration has no sum with an instant, or cannot be made.
const TOO_LONG: [f64; 3] = [1e21, 1e22, 1e300];

fn entry() -> Value {
    json!({
        "service": "app", "address": "10.0.0.1:80", "zone": "north", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "seq": 1
    })
}

fn row(value: &Value) -> StoreRow {
    let value = value.to_string().into_bytes();
    StoreRow { key: "a".to_owned(), value, version: 1, removed: false }
}

/// Lists a further server, waits until the instance has it, and sends it away again.
fn assert_list_is_followed(bed: &Testbed, id: &str) {
    let further = Listed::spawn(id).expect("a server");
    let is_listed = || {
        let state = &bed.instance.gateway().cluster_state;
        state.with_servers(|roster| roster.servers().any(|s| s.id.server.as_str() == id))
    };
    bed.store.put("servers", id, &further.entry("app", "ready"));
    eventually("a further server is used", is_listed);
    bed.store.remove("servers", id);
    eventually("the further server is used no more", || !is_listed());
}

// Guards against an entry whose number of slots ends the thread that reads the list, by an overflow in their sum.
#[test]
fn a_server_with_absurdly_many_slots_neither_stops_the_list_nor_takes_the_shares_of_others() {
    let bed = testbed::start(2);
    let mut odd = bed.servers[0].entry("app", "ready");
    odd["slots"] = u32::MAX.into();
    bed.store.put("servers", "odd", &odd);
    assert_list_is_followed(&bed, "further");
    bed.store.remove("servers", "odd");
    assert_list_is_followed(&bed, "last");
    let response = bed.send(&call("/idem/", "r1"));
    assert_eq!(response.status, 200);
}

// Guards against a server that claims so many slots that the load of the others counts as none.
#[test]
fn the_slots_that_an_entry_states_have_a_maximum() {
    for (slots, is_used) in
        [(0_u64, false), (1, true), (64, true), (4096, true), (4097, false), (4_294_967_295, false)]
    {
        let mut value = entry();
        value["slots"] = slots.into();
        let decoded = servers::decode(&row(&value));
        assert_eq!(decoded.is_ok(), is_used, "{slots}: {decoded:?}");
        let reason = decoded.err().map(|skipped| skipped.reason).unwrap_or_default();
        assert!(is_used || reason.contains("slots"), "{reason}");
    }
}

// Guards against a response whose figures overflow in a sum, at which each pick of a server of its service panicked.
#[test]
fn a_load_that_no_server_can_have_is_not_believed() {
    let reported =
        |text: &'static str| responses::decode(&head(200, &[("x-server-load", text)])).load;
    let believed = LoadReport { running: 3, waiting: 4096, slots: 8 };
    assert_eq!(reported("3, 4096, 8, 17.5"), Some(believed));
    for text in ["4294967295,4294967295,8", "0,4097,8", "0,0,4097", "1e3,0,8", "-1,0,8"] {
        assert_eq!(reported(text), None, "{text}");
    }
    let mut load = Load::default();
    let now = Instant::now();
    load.report(now, LoadReport { running: u32::MAX, waiting: u32::MAX, ..believed });
    assert!(load.estimate(now, 0.0) > 8e9);
    assert!(load.last_reported().is_some_and(|load| load > 8e9));
}

// Guards against a deadline whose sum with the present time overflows, and against the rejection of a long one.
#[test]
fn a_caller_may_wait_for_any_time() {
    let bed = testbed::start(1);
    for millis in TOO_LONG {
        let call = Call::post("/idem/", KEY, "body").with("x-request-id", millis);
        let response = bed.send(&call.with("x-deadline-ms", millis));
        assert_eq!(response.status, 200, "{millis}");
        let text = format!(
            "POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline-Ms: {millis}\r\n\r\n"
        );
        let head = RequestHead::parse(text.as_bytes()).expect("a head");
        let decoded = headers::decode_request(&head).expect("a request");
        assert_eq!(decoded.timeout, Some(TIME_MAX), "{millis}");
    }
}

// Guards against times of the configuration whose sum with the present time overflows: no caller got a response, and
// the thread that watches idle connections ended.
#[test]
fn a_configuration_may_have_any_time() {
    for field in ["header_timeout_ms", "idle_timeout_ms", "timeout_ms", "cold_start_s"] {
        let mut value = intent_value(5);
        for limit in ["header_timeout_ms", "idle_timeout_ms"] {
            if limit == field {
                value["limits"][limit] = 1e22.into();
            }
        }
        value["services"][0]["cold_per_s"] = 1e-300.into();
        value["services"][0][field] = 1e22.into();
        for route in value["routes"].as_array_mut().expect("routes") {
            route[field] = 1e22.into();
        }
        let bed = testbed::start(1);
        value["version"] = 6.into();
        bed.store.put("op", "config", &value);
        eventually("the configuration is in use", || {
            bed.instance.gateway().cluster_state.version() == 6
        });
        bed.store.put("op", "evacuate/north", &json!({}));
        bed.store.remove("op", "evacuate/north");
        for number in 0..3 {
            let response = bed.send(&call("/idem/", &format!("{field}{number}")));
            assert_eq!(response.status, 200, "{field}");
        }
        assert_list_is_followed(&bed, "further");
    }
}

#[test]
fn times_shares_and_rates_of_a_configuration_are_bounded() {
    let mut value = intent_value(5);
    for field in ["timeout_ms", "target_latency_ms", "gap_target_ms"] {
        value["routes"][0][field] = 1e300.into();
    }
    value["routes"][0]["traffic_split"] =
        json!([{"service": "app", "weight": 1.7e308}, {"service": "b", "weight": 1.7e308}]);
    value["services"][0]["cold_per_s"] = 1e-300.into();
    value["services"][0]["cold_start_s"] = 1e300.into();
    let decoded = intent::decode(value.to_string().as_bytes()).expect("a configuration");
    let route = decoded.routes.find("cartvane", "/idem/x").expect("a route");
    assert_eq!((route.timeout, route.target_latency), (TIME_MAX, TIME_MAX));
    assert_eq!(route.gap_target, Some(TIME_MAX));
    let of = |hash| route.service_for(hash).map(ToString::to_string);
    assert_eq!((of(0), of(u64::MAX)), (Some("app".to_owned()), Some("b".to_owned())));
    let (_, service) = decoded.services.first().expect("a service");
    let cold = service.cold.expect("cold terms");
    assert_eq!(cold.duration, TIME_MAX);
    let server = servers::decode(&row(&entry())).expect("a server").tag();
    for _ in 0..5 {
        // May be granted or not, and does not panic.
        ColdGrants::default().grant(Instant::now(), server, cold.rate);
        ColdGrants::default().grant(Instant::now(), server, Rate(1e-300));
    }
}

// Guards against a process that ends at its start with a trace instead of an error that names the setting.
#[test]
fn a_time_in_the_settings_that_is_too_long_is_named() {
    for (field, value) in [("drain_ms", 1e300), ("grace_s", 1e22), ("retry_window_s", 1e10)] {
        let mut boot = boot();
        boot["bounds"][field] = value.into();
        let decoded = settings::decode(boot.to_string().as_bytes(), "boot.json");
        let error = decoded.expect_err(field).to_string();
        assert!(error.contains(field) && error.contains("at most"), "{error}");
    }
}

// Guards against a time in a message or a row whose sum with the present time overflows.
#[test]
fn a_time_of_another_instance_is_bounded() {
    let held = |time_left| HeldLease {
        id: LeaseId(1),
        service: "app".parse().expect("a name"),
        server: Tag(1),
        time_left,
    };
    let order = |time_limit| RolloutOrder { to: "v2".parse().expect("a version"), time_limit };
    let minute = Duration::from_secs(60);
    for (sent, expected) in [(Duration::MAX, TIME_MAX), (minute, minute)] {
        let lease: HeldLease = chunks::decode(&chunks::encode(&held(sent))).expect("a lease");
        assert_eq!(lease.time_left, expected);
        let decoded: RolloutOrder =
            chunks::decode(&chunks::encode(&order(sent))).expect("an order");
        assert_eq!(decoded.time_limit, expected);
    }
}

// Guards against counts of other instances that overflow in a sum, which ended the thread that exchanges reports.
#[test]
fn counts_of_other_instances_do_not_overflow_in_sums() {
    let now = Instant::now();
    let node = |number: u64| format!("n{number}").parse().expect("a name");
    let server = servers::decode(&row(&entry())).expect("a server");
    let twin = BackendServer { id: "b".parse().expect("an id"), ..server.clone() };
    let mut aggregate = Aggregate::default();
    let mut budget = FleetBudget::new(RunId(1), Duration::from_secs(10));
    let mut evaluation = VersionEvaluation::new("v2".parse().expect("a version"));
    evaluation.set_domains(FailureDomains::new([(server.tag(), Tag(0))].into_iter()));
    for number in 0..3 {
        let at = now + Duration::from_millis(500 * number);
        let counts = vec![(server.tag(), u32::MAX), (twin.tag(), u32::MAX)];
        aggregate.record_counts(at, node(number), counts);
        let spending = RetrySpending {
            service: server.service.clone(),
            total: u64::MAX,
            uncounted: u32::MAX,
            fleet_spent: Some(FleetSpentReport { aggregator: RunId(2), spent: u32::MAX }),
            sustained: 1.0,
        };
        budget.record_report(at, &node(number), RunId(number), vec![spending]);
        let bins = || vec![(TimeBin::FAILED, u32::MAX), (TimeBin::UNTIMED, u32::MAX)];
        let counts = |server| ResponseCounts { route: Tag(1), server, bins: bins() };
        let report = RolloutReport {
            service: server.service.clone(),
            to: "v2".parse().expect("a version"),
            sent: u64::MAX,
            sent_new: u64::MAX,
            in_flight_old: u32::MAX,
            responses: vec![counts(None), counts(Some(server.tag()))],
        };
        evaluation.add_report(at, &node(number), RunId(number), report);
    }
    let loads = aggregate.summary(now + Duration::from_secs(1), [&server, &twin].into_iter());
    assert_eq!(loads[0].counts, [(server.tag(), u32::MAX), (twin.tag(), u32::MAX)]);
    assert!((loads[0].mean - u32::MAX as f32).abs() < 1e3, "{}", loads[0].mean);
    assert_eq!(budget.sums(now + Duration::from_secs(2))[0].spent, u32::MAX);
    assert_eq!(evaluation.in_flight_old(now + Duration::from_secs(1)), u32::MAX);
    assert_eq!(evaluation.sent(), (u64::MAX, u64::MAX));
    assert!(evaluation.regression_score().is_finite());
    let record = RolloutRecord::first(order(), node(0), u64::MAX, None);
    let last = RolloutRecord { term: u64::MAX, ..record };
    assert_eq!(RolloutRecord::first(order(), node(1), 0, Some(&last)).term, u64::MAX);
}

// Guards against figures of the settings or the configuration at which an instance does not start or serves nobody.
#[test]
fn an_instance_serves_callers_with_the_largest_and_smallest_figures() {
    for (section, field, value) in [
        ("limits", "max_fds", 1e300),
        ("limits", "memory_mb", 1e300),
        ("limits", "cores", 1e30),
        ("limits", "cpu_share", -1.0),
        ("bounds", "retry_budget_ratio", 1e308),
        ("bounds", "budget_slack", 1e308),
        ("bounds", "cap_x", 1e300),
        ("bounds", "cap_x", 1e-300),
        ("bounds", "canary_slack", 1e308),
        ("platform", "reads_per_s", 1e300),
        ("platform", "reads_per_s", 1e-300),
        ("platform", "writes_per_s", 1e-300),
    ] {
        let mut boot = boot();
        boot[section][field] = value.into();
        let decoded = settings::decode(boot.to_string().as_bytes(), "boot.json").expect(field);
        let bed = testbed::start_store(1);
        let own = testbed::settings("one", bed.0.address(), Vec::new());
        let (addresses, first_start) = (own.addresses, true);
        let store = StoreSettings { address: bed.0.address(), ..decoded.store };
        let instance = testbed::spawn_with(GatewaySettings {
            addresses,
            first_start,
            store,
            seeds: Vec::new(),
            ..decoded
        });
        eventually(field, || instance.gateway().is_ready());
        let status = call("/idem/", field).send(instance.callers()).status;
        assert_eq!(status, 200, "{field} = {value}");
    }
    let mut value = intent_value(6);
    let limits = &mut value["limits"];
    limits["max_header_bytes"] = u64::MAX.into();
    limits["max_body_bytes"] = u64::MAX.into();
    value["services"][0]["max_connections"] = u32::MAX.into();
    value["tenants"][0]["priority"] = 255.into();
    for route in value["routes"].as_array_mut().expect("routes") {
        route["max_attempts"] = u32::MAX.into();
        route["priority"] = 255.into();
    }
    let bed = testbed::start(1);
    bed.store.put("op", "config", &value);
    eventually("in use", || bed.instance.gateway().cluster_state.version() == 6);
    assert_eq!(bed.send(&call("/idem/", "limits")).status, 200);
}

fn order() -> RolloutOrder {
    RolloutOrder { to: "v2".parse().expect("a version"), time_limit: TIME_MAX }
}
