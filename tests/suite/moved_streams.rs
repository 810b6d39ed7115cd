//! Streams of routes that are split between services, or moved to another one by the operator: each service has one
//! version, and a stream goes on only at the service that began it.

use cartvane::{
    adapter::intent::decode,
    gateway::GatewayHandle,
    routing::{RouteTable, RouteTag, SharesTag, route_shares::changed_shares},
};
use fastrand::Rng;
use serde_json::{Value, json};

use crate::{
    stream_versions::{Versions, begin, refusal_of, resume, streaming_intent},
    support::{cases, eventually, seed},
};

/// Service and version of a second kind of server.
pub(crate) const OTHER_SERVICE: &str = "other";
const OTHER_VERSION: &str = "w1";

/// Returns an intent that leads the streams to these services, by weight.
pub(crate) fn split_intent(version: u64, weights: &[(&str, u32)]) -> Value {
    let mut intent = streaming_intent();
    intent["version"] = version.into();
    intent["services"] = ["app", OTHER_SERVICE]
        .map(|name| json!({"name": name, "health_path": "/health", "max_connections": 100}))
        .into();
    let route = &mut intent["routes"][0];
    route["service"] = weights[0].0.into();
    let share = |(service, weight): &(&str, u32)| json!({"service": service, "weight": weight});
    if weights.len() > 1 {
        route["traffic_split"] = weights.iter().map(share).collect();
    }
    intent
}

/// Starts instances, and servers of two services with one version each.
fn start(instances: usize) -> Versions {
    let mut fleet = Versions::start(&["v1", "v1"], instances);
    for server in 2..4 {
        fleet.add_server(OTHER_VERSION);
        fleet.list_in(server, OTHER_SERVICE);
    }
    eventually("all instances see both services", || {
        let servers = |i: &GatewayHandle| {
            i.gateway().cluster_state.with_servers(|roster| roster.servers().count())
        };
        fleet.instances.iter().all(|i| servers(i) == 4)
    });
    fleet
}

/// Has all instances use an intent.
fn lead(fleet: &Versions, version: u64, weights: &[(&str, u32)]) {
    fleet.store.put("op", "config", &split_intent(version, weights));
    eventually("all instances use the intent", || {
        fleet.instances.iter().all(|i| i.gateway().cluster_state.version() == version)
    });
}

/// Checks that an instance refuses to go on with the stream "b".
fn assert_refused(fleet: &Versions, instance: usize, id: &str) {
    let answer = resume(fleet, instance, id, "b").expect_err("it began at the other service");
    assert_eq!(refusal_of(fleet, &answer, id), (503, true, 0), "{id}: {}", answer.text());
}

/// Guards against a stream that goes on at the service that its route was moved to: at any instance, at one that starts,
/// after a restart of all, and after a move while none runs.
#[test]
fn a_stream_of_a_moved_route_goes_on_only_at_its_service() {
    let mut fleet = start(3);
    assert_eq!(begin(&fleet, 0, "b"), "v1");
    lead(&fleet, 6, &[(OTHER_SERVICE, 1)]);
    (0..3).for_each(|instance| assert_refused(&fleet, instance, &format!("t{instance}")));
    assert_eq!(begin(&fleet, 0, "c"), OTHER_VERSION);
    fleet.spawn_instance("i9", false);
    assert_refused(&fleet, 3, "t9");
    for instance in 1..4 {
        let held = resume(&fleet, instance, &format!("u{instance}"), "c");
        assert_eq!(held.expect("it goes on"), [OTHER_VERSION]);
    }
    lead(&fleet, 7, &[("app", 1)]);
    assert_eq!(resume(&fleet, 1, "t10", "b").expect("it goes on at its service"), ["v1"]);
    fleet.instances.clear();
    fleet.store.put("op", "config", &split_intent(8, &[(OTHER_SERVICE, 1)]));
    fleet.spawn_instance("i0", false);
    assert_refused(&fleet, 0, "t11");
}

/// Guards against a stream that goes on at another service of its route, whether its caller names
/// it or not, and whether the shares change or not.
#[test]
fn a_stream_of_a_split_route_goes_on_only_at_its_service() {
    let fleet = start(3);
    lead(&fleet, 6, &[("app", 50), (OTHER_SERVICE, 50)]);
    let name = |n: usize| format!("s{n}");
    let begun: Vec<String> = (0..16).map(|n| begin(&fleet, n % 3, &name(n))).collect();
    assert!(begun.contains(&"v1".to_owned()) && begun.contains(&OTHER_VERSION.to_owned()));
    for (n, version) in begun.iter().enumerate() {
        let held = resume(&fleet, (n + 1) % 3, &format!("t{n}"), &name(n));
        assert_eq!(held.expect("it goes on"), [version.as_str()]);
        let id = format!("u{n}");
        let unnamed = fleet.attempt_unnamed(n % 3, &id);
        assert_eq!(refusal_of(&fleet, &unnamed, &id), (503, true, 0), "{}", unnamed.text());
    }
    lead(&fleet, 7, &[("app", 90), (OTHER_SERVICE, 10)]);
    let mut went_on = 0;
    for (n, version) in begun.iter().enumerate() {
        let id = format!("w{n}");
        match resume(&fleet, (n + 2) % 3, &id, &name(n)) {
            Ok(versions) => {
                assert_eq!(versions, [version.as_str()], "{id}");
                went_on += 1;
            }
            Err(answer) => assert_eq!(refusal_of(&fleet, &answer, &id), (503, true, 0), "{id}"),
        }
    }
    assert!(went_on >= 6, "{went_on} of 16 went on");
}

/// Prefixes of routes, each of which contains the next one.
const PREFIXES: [&str; 3] = ["/", "/a/", "/a/b/"];

/// Returns some routes with drawn shares of two services.
fn drawn_routes(rng: &mut Rng) -> RouteTable {
    let mut intent = split_intent(5, &[("app", 1)]);
    let template = intent["routes"][0].clone();
    let prefixes = PREFIXES.iter().filter(|_| rng.u8(..4) > 0).copied().collect::<Vec<_>>();
    let routes = prefixes.iter().map(|prefix| {
        let mut route = template.clone();
        route["path_prefix"] = (*prefix).into();
        let share = |service| json!({"service": service, "weight": rng.u8(..3)});
        route["traffic_split"] = ["app", OTHER_SERVICE].map(share).to_vec().into();
        route
    });
    intent["routes"] = routes.collect();
    decode(intent.to_string().as_bytes()).expect("an intent").routes
}

/// Guards against a change of routes after which a path leads to another service, without its streams being recorded and
/// the instances being told: other shares, a route of its own for a part of a path, or one that is removed.
#[test]
fn all_shares_that_led_a_stream_elsewhere_are_found() {
    for case in 0..cases(400) {
        let mut rng = Rng::with_seed(seed(80_000 + case));
        let (before, after) = (drawn_routes(&mut rng), drawn_routes(&mut rng));
        assert!(changed_shares(&after, &after).is_empty(), "without a change there is none");
        let changed = changed_shares(&before, &after);
        for path in PREFIXES {
            let find = |routes: &RouteTable| routes.find("cartvane", path).cloned();
            let (Some(old), Some(new)) = (find(&before), find(&after)) else { continue };
            let is_moved = (0..64).any(|n| {
                let hash = n << 58;
                old.service_for(hash) != new.service_for(hash)
            });
            for shares in [&old, &new].map(|route| SharesTag::of(route)) {
                for route in [&old, &new].map(|route| RouteTag::of(route)) {
                    let is_found = changed.contains(&(route, shares));
                    assert!(is_found || !is_moved, "case {case}: {path}");
                }
            }
        }
    }
}
