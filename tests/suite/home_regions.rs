//! Routes and teams whose requests stay in some regions.

use serde_json::{Value, json};
use standins::{listed::Listed, store::StoreStandIn};

use crate::{
    support::eventually,
    world::{call, intent, route, spawn},
};

fn entry(server: &Listed, zone: &str) -> Value {
    let mut entry = server.entry("app", "ready");
    entry["zone"] = zone.into();
    entry
}

fn at_home(name: &str, regions: &[&str]) -> Value {
    let mut route = route(name, "idempotent", "app");
    route["allowed_regions"] = json!(regions);
    route
}

// The zones north and south are in the regions `upper` and `lower`, as the settings say; of the zone `far` they say nothing.
#[test]
fn a_request_stays_in_the_regions_of_its_route_and_its_team() {
    let store = StoreStandIn::spawn().expect("a store");
    let servers = ["north", "south", "far"].map(|zone| Listed::spawn(zone).expect("a server"));
    for server in &servers {
        store.put("servers", &server.id, &entry(server, &server.id));
    }
    let mut wanted = intent(5);
    let routes = wanted["routes"].as_array_mut().expect("routes");
    routes.push(at_home("upper", &["upper"]));
    routes.push(at_home("lower", &["lower"]));
    routes.push(at_home("both", &["lower", "upper"]));
    routes.push(at_home("abroad", &["elsewhere"]));
    wanted["tenants"][0]["allowed_regions"] = json!(["upper"]);
    store.put("op", "config", &wanted);
    let instance = spawn("one", store.address(), Vec::new());
    eventually("the instance is ready", || instance.gateway().is_ready());
    for number in 0..20 {
        for path in ["/upper/", "/both/", "/idem/"] {
            let answer = call(path, &format!("{path}{number}")).send(instance.callers());
            assert_eq!((answer.status, answer.header("x-response-seal")), (200, "north"), "{path}");
        }
    }
    for path in ["/lower/", "/abroad/"] {
        let answer = call(path, path).send(instance.callers());
        assert_eq!(answer.status, 503, "{path}: none of its homes is left");
        assert!(!answer.header("retry-after").is_empty());
    }
    let elsewhere: usize = servers[1..].iter().map(|server| server.arrivals().len()).sum();
    assert_eq!(elsewhere, 0);
    let mut open = wanted.clone();
    open["version"] = 7.into();
    open["tenants"][0]["allowed_regions"] = json!([]);
    store.put("op", "config", &open);
    eventually("the team has no homes any more", || {
        call("/lower/", "l").send(instance.callers()).header("x-response-seal") == "south"
    });
}
