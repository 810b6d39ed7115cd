//! Routes and teams whose requests must stay in some regions.

use serde_json::{Value, json};
use standins::{listed::Listed, store::StoreStandIn};

use crate::{
    support::eventually,
    testbed::{call, intent, route, spawn},
};

fn entry(server: &Listed, zone: &str) -> Value {
    let mut entry = server.entry("app", "ready");
    entry["zone"] = zone.into();
    entry
}

fn restricted_route(name: &str, regions: &[&str]) -> Value {
    let mut route = route(name, "idempotent", "app");
    route["allowed_regions"] = json!(regions);
    route
}

// According to the settings, the zones north and south are in the regions `upper` and `lower`; the region of the zone
// `far` is unknown.
#[test]
fn a_request_stays_in_the_regions_of_its_route_and_its_team() {
    let store = StoreStandIn::spawn().expect("the store starts");
    let servers =
        ["north", "south", "far"].map(|zone| Listed::spawn(zone).expect("the server starts"));
    for server in &servers {
        store.put("servers", &server.id, &entry(server, &server.id));
    }
    let mut restricted = intent(5);
    let routes = restricted["routes"].as_array_mut().expect("routes are listed");
    routes.push(restricted_route("upper", &["upper"]));
    routes.push(restricted_route("lower", &["lower"]));
    routes.push(restricted_route("both", &["lower", "upper"]));
    routes.push(restricted_route("abroad", &["elsewhere"]));
    restricted["tenants"][0]["allowed_regions"] = json!(["upper"]);
    store.put("op", "config", &restricted);
    let instance = spawn("one", store.address(), Vec::new());
    eventually("the instance is ready", || instance.gateway().is_ready());
    for number in 0..20 {
        for path in ["/upper/", "/both/", "/idem/"] {
            let response = call(path, &format!("{path}{number}")).send(instance.callers());
            assert_eq!(
                (response.status, response.header("x-response-seal")),
                (200, "north"),
                "{path}"
            );
        }
    }
    for path in ["/lower/", "/abroad/"] {
        let response = call(path, path).send(instance.callers());
        assert_eq!(response.status, 503, "{path}: no allowed region is left");
        assert!(!response.header("retry-after").is_empty());
    }
    let elsewhere: usize = servers[1..].iter().map(|server| server.arrivals().len()).sum();
    assert_eq!(elsewhere, 0);
    let mut unrestricted = restricted.clone();
    unrestricted["version"] = 7.into();
    unrestricted["tenants"][0]["allowed_regions"] = json!([]);
    store.put("op", "config", &unrestricted);
    eventually("the team is no longer restricted", || {
        call("/lower/", "l").send(instance.callers()).header("x-response-seal") == "south"
    });
}
