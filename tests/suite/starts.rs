//! Where an instance that starts has its knowledge from.

use std::{net::SocketAddr, time::Duration};

use cartvane::{clock::Clock, gateway::GatewayHandle};
use serde_json::json;
use standins::{
    listed::Listed,
    store::{StoreMode, StoreStandIn},
};

use crate::{
    support::eventually,
    testbed::{call, intent, settings},
};

const INSTANCES: usize = 20;

fn store_with_servers() -> (StoreStandIn, Listed) {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    (store, server)
}

/// Starts an instance whose bounds leave it time, so that it reads the store for its start only.
fn calm(node: &str, store: SocketAddr, seeds: &[SocketAddr]) -> GatewayHandle {
    let mut calm = settings(node, store, seeds.to_vec());
    calm.cores = if seeds.is_empty() { 1.0 } else { 0.1 };
    calm.bounds.server_drain_time = Duration::from_secs(60);
    calm.bounds.intent_apply_time = Duration::from_secs(60);
    GatewayHandle::spawn(calm, &Clock::system()).expect("an instance")
}

fn reads(instance: &GatewayHandle) -> usize {
    let text = instance.gateway().metrics.text();
    let counts = |line: &&str| line.starts_with("cartvane_store_calls_total{kind=\"rows\"");
    let value = |line: &str| line.rsplit(' ').next().and_then(|v| v.parse::<usize>().ok());
    text.lines().filter(counts).filter_map(value).sum()
}

// 299 instances read the whole list of 3,000 servers from the store at each of their starts: 0.82 GB on a day on which
// all started twice, which cost more than the day was worth.
#[test]
fn instances_that_start_learn_what_there_is_from_one_that_knows() {
    let (store, _server) = store_with_servers();
    let first = calm("first", store.address(), &[]);
    eventually("the first is ready", || first.gateway().is_ready());
    store.put("op", "evacuate/elsewhere", &json!({}));
    let seeds = [first.peers()];
    let others: Vec<GatewayHandle> =
        (0..INSTANCES).map(|i| calm(&format!("n{i}"), store.address(), &seeds)).collect();
    eventually("all are ready", || others.iter().all(|i| i.gateway().is_ready()));
    let read: Vec<usize> = others.iter().map(reads).collect();
    assert!(read.iter().sum::<usize>() <= 2, "{read:?}");
}

#[test]
fn instances_that_start_with_nobody_to_ask_read_the_store() {
    let (store, _server) = store_with_servers();
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let seeds = [nobody.local_addr().expect("an address")];
    drop(nobody);
    let alone = calm("alone", store.address(), &seeds);
    eventually("it is ready", || alone.gateway().is_ready());
    assert!(alone.gateway().cluster_state.servers_age(Clock::system().now()).is_some());
}

// One that is named to all and knows nothing itself, since the store turns it away, keeps nobody waiting for long.
#[test]
fn instances_that_start_beside_one_that_knows_nothing_read_the_store() {
    let (store, server) = store_with_servers();
    let away = StoreStandIn::spawn().expect("a store");
    away.set_mode(StoreMode::Busy);
    let blind = calm("blind", away.address(), &[]);
    let second = calm("second", store.address(), &[blind.peers()]);
    eventually("it is ready", || second.gateway().is_ready());
    assert_eq!(call("/idem/", "a").send(second.callers()).status, 200);
    assert_eq!(server.runs("a"), 1);
}

// 110 of 295 first writes of an instance's row were refused, since a part of the store takes 200 a second; those instances
// knew nobody until they had written, and each read the list of servers for itself meanwhile: 0.47 GB in four seconds.
#[test]
fn instances_that_cannot_write_their_rows_know_each_other_all_the_same() {
    let (store, _server) = store_with_servers();
    let first = calm("first", store.address(), &[]);
    // It has just started too: what it tells those that ask at once is the list, and of nobody.
    eventually("the first has written its row", || store.keys("cartvane-instances").len() == 1);
    // Calls that name no table are writes.
    store.set_table_mode("", StoreMode::TooMany);
    let seeds = [first.peers()];
    let others: Vec<GatewayHandle> =
        (0..5).map(|i| calm(&format!("n{i}"), store.address(), &seeds)).collect();
    eventually("all know of all", || {
        others.iter().chain([&first]).all(|i| i.gateway().instances() == others.len() + 1)
    });
    let read: Vec<usize> = others.iter().map(reads).collect();
    assert!(read.iter().sum::<usize>() <= 2, "{read:?}");
}
