//! Rows of the table of instances that name no instance: the instances that are there rank first and do their work.

use std::{
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use cartvane::{
    configs::fleet::chunks::{decode, encode},
    gateway::settings::GatewaySettings,
    routing::{Candidates, InstanceInfo},
};
use serde_json::json;
use standins::{listed::Listed, store::StoreStandIn};

use crate::{
    support::eventually,
    testbed::{intent, port, settings, spawn_with},
};

fn info(node: &str, address: SocketAddr, cores: f32) -> InstanceInfo {
    let (node, zone) = (node.parse().expect("a name"), "north".parse().expect("a zone"));
    InstanceInfo { node, address, zone, cores }
}

fn first(instances: &Candidates) -> Option<&str> {
    instances.aggregator(Instant::now()).map(|instance| instance.node.as_str())
}

// Guards against a row that makes an instance report to itself: no instance read the store for the others or controlled
// roll-outs.
#[test]
fn a_row_with_the_address_of_an_instance_neither_delays_the_list_nor_stops_rollouts() {
    for is_any_host in [false, true] {
        let listener = TcpListener::bind(port(0)).expect("a port");
        let own = listener.local_addr().expect("an address");
        drop(listener);
        let host = if is_any_host { [0; 4] } else { [127, 0, 0, 1] };
        let store = StoreStandIn::spawn().expect("a store");
        let servers = ["a", "b"].map(|id| Listed::spawn(id).expect("a server"));
        store.put("servers", "a", &servers[0].entry("app", "ready"));
        store.put("op", "config", &intent(5));
        let row = info("ghost", (host, own.port()).into(), 2.0);
        store.put_raw("cartvane-instances", "ghost", encode(&row));
        let mut settings: GatewaySettings = settings("one", store.address(), Vec::new());
        settings.addresses.peers = own;
        let instance = spawn_with(settings);
        let gateway = instance.gateway();
        eventually("the instance reads the store", || gateway.peers.is_reader(Instant::now()));
        let listed_at = Instant::now();
        store.put("servers", "b", &servers[1].entry("app", "ready"));
        eventually("the list is followed", || {
            gateway.cluster_state.with_servers(|roster| roster.servers().count()) == 2
        });
        assert!(listed_at.elapsed() < Duration::from_secs(1), "{:?}", listed_at.elapsed());
        let order = json!({"service": "app", "to": "v2", "duration_s": 20});
        store.put("op", "rollout/app", &order);
        eventually("the roll-out begins", || store.value("status", "rollout/app").is_some());
        assert_eq!(gateway.instances(), 1);
        let keys = || store.keys("cartvane-instances");
        eventually("the row is removed", || !keys().contains(&"ghost".to_owned()));
        assert_eq!(keys(), ["one"]);
    }
}

// Guards against rows that displace or duplicate an instance, and against a number of cores that ranks first.
#[test]
fn rows_that_name_no_instance_are_left_out() {
    let store = StoreStandIn::spawn().expect("a store");
    store.put("op", "config", &intent(5));
    for (key, node, address) in [("two", "three", port(9)), ("four", "four", port(0))] {
        store.put_raw("cartvane-instances", key, encode(&info(node, address, 1.0)));
    }
    let odd = [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -1.0, 4097.0, 1e30];
    for cores in odd {
        let decoded: InstanceInfo =
            decode(&encode(&info("odd", port(8), cores))).expect("an instance");
        assert_eq!(decoded.cores.to_bits(), 0.0_f32.to_bits(), "{cores}");
        store.put_raw("cartvane-instances", "odd", encode(&info("odd", port(8), cores)));
    }
    let instance = spawn_with(settings("one", store.address(), Vec::new()));
    eventually("the table is read", || instance.gateway().instances() > 1);
    assert_eq!(instance.gateway().instances(), 2);
    eventually("the instance reads the store", || {
        instance.gateway().peers.is_reader(Instant::now())
    });
}

// Guards against two names for one instance: what it reports itself, or its newer row, is right.
#[test]
fn one_instance_is_known_at_an_address() {
    let mut instances = Candidates::new(info("own", port(1), 1.0));
    instances.add_all(vec![
        info("ghost", port(1), 9.0),
        info("new", port(2), 2.0),
        info("old", port(2), 3.0),
        info("far", port(3), 0.5),
    ]);
    assert_eq!((instances.all().len(), first(&instances)), (3, Some("new")));
    instances.add_all(vec![info("ghost", port(2), 9.0)]);
    assert_eq!((instances.all().len(), first(&instances)), (3, Some("new")));
    instances.add(info("newest", port(2), 2.0));
    assert_eq!((instances.all().len(), first(&instances)), (3, Some("newest")));
    instances.set([info("ghost", port(1), 9.0), info("newest", port(2), 2.0)]);
    assert_eq!((instances.all().len(), first(&instances)), (2, Some("newest")));
    instances.set_own_address(port(2));
    assert_eq!((instances.all().len(), first(&instances)), (1, None));
}
