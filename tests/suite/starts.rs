//! From where an instance receives its cluster state at its start.

use std::{net::SocketAddr, time::Duration};

use cartvane::{clock::Clock, gateway::GatewayHandle};
use serde_json::json;
use standins::{
    listed::Listed,
    store::{StoreMode, StoreStandIn},
};

use crate::{
    log_lines,
    support::eventually,
    testbed::{call, intent, settings, spawn},
};

const INSTANCES: usize = 20;

fn store_with_servers() -> (StoreStandIn, Listed) {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("s0").expect("a server");
    store.put("servers", "s0", &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    (store, server)
}

/// Starts an instance with bounds so long that it reads the store only at its start.
fn spawn_relaxed(node: &str, store: SocketAddr, seeds: &[SocketAddr]) -> GatewayHandle {
    let mut relaxed = settings(node, store, seeds.to_vec());
    relaxed.cores = if seeds.is_empty() { 1.0 } else { 0.1 };
    relaxed.bounds.server_drain_time = Duration::from_secs(60);
    relaxed.bounds.intent_apply_time = Duration::from_secs(60);
    GatewayHandle::spawn(relaxed, &Clock::system()).expect("an instance")
}

/// Returns the number of reads of whole tables that the instance has made.
fn reads(instance: &GatewayHandle) -> usize {
    let text = instance.gateway().metrics.text();
    let counts = |line: &&str| line.starts_with("cartvane_store_calls_total{kind=\"rows\"");
    let value = |line: &str| line.rsplit(' ').next().and_then(|v| v.parse::<usize>().ok());
    text.lines().filter(counts).filter_map(value).sum()
}

// Guards against a read of the whole list of servers by each instance that starts. 299 instances and 3,000 servers read
// 0.82 GB on a day on which all instances started twice.
#[test]
fn instances_that_start_receive_the_cluster_state_from_a_seed() {
    let (store, _server) = store_with_servers();
    let first = spawn_relaxed("first", store.address(), &[]);
    eventually("the first is ready", || first.gateway().is_ready());
    store.put("op", "evacuate/elsewhere", &json!({}));
    let seeds = [first.peers()];
    let others: Vec<GatewayHandle> =
        (0..INSTANCES).map(|i| spawn_relaxed(&format!("n{i}"), store.address(), &seeds)).collect();
    eventually("all instances are ready", || others.iter().all(|i| i.gateway().is_ready()));
    let read: Vec<usize> = others.iter().map(reads).collect();
    assert!(read.iter().sum::<usize>() <= 2, "{read:?}");
}

#[test]
fn an_instance_that_starts_without_reachable_seeds_reads_the_store() {
    let (store, _server) = store_with_servers();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let seeds = [listener.local_addr().expect("an address")];
    drop(listener);
    let alone = spawn_relaxed("alone", store.address(), &seeds);
    eventually("it is ready", || alone.gateway().is_ready());
    assert!(alone.gateway().cluster_state.servers_age(Clock::system().now()).is_some());
}

// Guards against a long wait for a seed that has no state itself, because the store rejects it.
#[test]
fn an_instance_that_starts_beside_a_seed_without_state_reads_the_store() {
    let (store, server) = store_with_servers();
    let rejecting = StoreStandIn::spawn().expect("a store");
    rejecting.set_mode(StoreMode::Busy);
    let stateless = spawn_relaxed("blind", rejecting.address(), &[]);
    let second = spawn_relaxed("second", store.address(), &[stateless.peers()]);
    eventually("it is ready", || second.gateway().is_ready());
    assert_eq!(call("/idem/", "a").send(second.callers()).status, 200);
    assert_eq!(server.runs("a"), 1);
}

// Guards against instances that discover no others until their own row is written. A partition of the store accepts 200
// writes a second and rejected 110 of 295 first writes; each of those instances read the list of servers itself
// meanwhile, 0.47 GB in four seconds.
#[test]
fn instances_that_cannot_write_their_rows_discover_each_other() {
    let (store, _server) = store_with_servers();
    let first = spawn_relaxed("first", store.address(), &[]);
    // Until it has discovered others itself, the seed replies with the list of servers, but without instances.
    eventually("the first has written its row", || store.keys("cartvane-instances").len() == 1);
    // Calls without a table name are writes.
    store.set_table_mode("", StoreMode::TooMany);
    let seeds = [first.peers()];
    let others: Vec<GatewayHandle> =
        (0..5).map(|i| spawn_relaxed(&format!("n{i}"), store.address(), &seeds)).collect();
    eventually("every instance knows the others", || {
        others.iter().chain([&first]).all(|i| i.gateway().instances() == others.len() + 1)
    });
    let read: Vec<usize> = others.iter().map(reads).collect();
    assert!(read.iter().sum::<usize>() <= 2, "{read:?}");
}

// Guards against an instance that counts as ready while it refuses all requests: it had the list of servers, but the part
// that picks one received it only after a line of log for each server. A thread that stalled there left callers with 503
// for 0.4 s.
#[test]
fn an_instance_that_is_ready_serves_requests_also_if_its_threads_stall() {
    let store = StoreStandIn::spawn().expect("a store");
    let server = Listed::spawn("stalls-the-log").expect("a server");
    store.put("servers", &server.id, &server.entry("app", "ready"));
    store.put("op", "config", &intent(5));
    log_lines::stall_at("event=server_added server=stalls-the-log", Duration::from_millis(500));
    let instance = spawn("one", store.address(), Vec::new());
    eventually("the instance is ready", || instance.gateway().is_ready());
    assert_eq!(call("/once/", "a").send(instance.callers()).status, 200);
}
