//! The test bed of an instance on a platform: a store, listed backend servers, and the instance.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cartvane::{
    clock::Clock,
    gateway::{
        GatewayHandle,
        settings::{Addresses, Bounds, GatewaySettings, StoreSettings},
    },
    routing::{ExposureLimit, StoreRates, budget::BudgetTerms},
    units::Rate,
};
use serde_json::{Value, json};
use standins::{
    caller::{Answer, Call},
    fault::{Fault, Faults},
    listed::Listed,
    store::StoreStandIn,
};

use crate::{log_lines, support::eventually};

pub(crate) const KEY: &str = "key-of-crew";

/// Returns a port of the loopback address.
pub(crate) fn port(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

pub(crate) fn settings(node: &str, store: SocketAddr, seeds: Vec<SocketAddr>) -> GatewaySettings {
    GatewaySettings {
        node: node.parse().expect("a name"),
        zone: "north".parse().expect("a zone"),
        regions: [("north", "upper"), ("south", "lower")]
            .map(|(zone, region)| {
                (zone.parse().expect("a zone"), region.parse().expect("a region"))
            })
            .into(),
        first_start: true,
        addresses: Addresses {
            callers: port(0),
            readiness: port(0),
            peers: port(0),
            metrics: port(0),
        },
        seeds,
        store: StoreSettings {
            address: store,
            rates: StoreRates { reads: Rate(2000.0), writes: Rate(400.0) },
        },
        cores: 1.0,
        connections: 100,
        peer_connections: 100,
        buffer_bytes: 64 << 20,
        bounds: Bounds {
            server_drain_time: Duration::from_millis(400),
            grace: Duration::from_secs(8),
            intent_apply_time: Duration::from_millis(800),
            load: 2.0,
            rollouts: ExposureLimit { share: 0.1, slack: 50.0 },
            retries: BudgetTerms { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) },
        },
    }
}

pub(crate) fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "cartvane", "path_prefix": format!("/{name}/"), "type": kind,
        "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "service": service,
        "max_attempts": 2, "public": false, "sticky_sessions": false, "stream_resume": false,
        "gap_target_ms": 100
    })
}

pub(crate) fn intent(version: u64) -> Value {
    let mut resumable = route("stream-resumable", "streaming", "app");
    resumable["stream_resume"] = true.into();
    resumable["max_attempts"] = 3.into();
    let mut public = route("public", "idempotent", "app");
    public["public"] = true.into();
    let mut short = route("short", "non_idempotent", "app");
    short["timeout_ms"] = 200.into();
    json!({
        "version": version,
        "routes": [
            route("idem", "idempotent", "app"), route("once", "non_idempotent", "app"),
            route("stream", "streaming", "app"), resumable, public, short
        ],
        "services": [{"name": "app", "health_path": "/health", "max_connections": 100}],
        "limits": {
            "max_header_bytes": 4096, "max_body_bytes": 1000, "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000
        },
        "tenants": [{"name": "crew", "api_keys": [KEY], "priority": 3}]
    })
}

/// A store, some servers, and an instance that has received their list.
pub(crate) struct Testbed {
    pub(crate) store: StoreStandIn,
    pub(crate) servers: Vec<Listed>,
    pub(crate) instance: GatewayHandle,
}

/// Starts a test bed with this number of servers, and waits until the instance is ready.
pub(crate) fn start(servers: usize) -> Testbed {
    start_with((0..servers).map(|i| Listed::spawn(&format!("s{i}")).expect("a server")).collect())
}

/// Starts a test bed whose servers share one list of faults: the first one that receives a request has the next fault.
pub(crate) fn start_sharing(servers: usize) -> Testbed {
    let faults: Arc<Faults> = Arc::default();
    let server = |i| Listed::spawn_sharing(&format!("s{i}"), Arc::clone(&faults));
    start_with((0..servers).map(|i| server(i).expect("a server")).collect())
}

/// Starts a store that lists this number of servers, which it returns too, and has a configuration.
pub(crate) fn start_store(servers: usize) -> (StoreStandIn, Vec<Listed>) {
    let server = |i| Listed::spawn(&format!("s{i}")).expect("a server");
    store_with((0..servers).map(server).collect())
}

fn store_with(servers: Vec<Listed>) -> (StoreStandIn, Vec<Listed>) {
    let store = StoreStandIn::spawn().expect("a store");
    for server in &servers {
        store.put("servers", &server.id, &server.entry("app", "ready"));
    }
    store.put("op", "config", &intent(5));
    (store, servers)
}

fn start_with(servers: Vec<Listed>) -> Testbed {
    let (store, servers) = store_with(servers);
    let instance = spawn("one", store.address(), Vec::new());
    eventually("the instance is ready", || instance.gateway().is_ready());
    Testbed { store, servers, instance }
}

/// Starts a test bed whose instance may hold `buffer_bytes` for callers, with servers of many slots that share their
/// faults.
pub(crate) fn start_holding(servers: usize, buffer_bytes: u64, intent: &Value) -> Testbed {
    log_lines::start();
    let faults: Arc<Faults> = Arc::default();
    let server = |i| Listed::spawn_sharing(&format!("s{i}"), Arc::clone(&faults));
    let servers: Vec<Listed> = (0..servers).map(|i| server(i).expect("a server")).collect();
    let store = StoreStandIn::spawn().expect("a store");
    for server in &servers {
        let mut entry = server.entry("app", "ready");
        entry["slots"] = 500.into();
        store.put("servers", &server.id, &entry);
    }
    store.put("op", "config", intent);
    let settings = GatewaySettings { buffer_bytes, ..settings("one", store.address(), Vec::new()) };
    let instance = GatewayHandle::spawn(settings, &Clock::system()).expect("an instance");
    eventually("the instance is ready", || instance.gateway().is_ready());
    Testbed { store, servers, instance }
}

/// Starts an instance.
pub(crate) fn spawn(node: &str, store: SocketAddr, seeds: Vec<SocketAddr>) -> GatewayHandle {
    spawn_with(settings(node, store, seeds))
}

/// Starts an instance with these settings.
pub(crate) fn spawn_with(settings: GatewaySettings) -> GatewayHandle {
    log_lines::start();
    GatewayHandle::spawn(settings, &Clock::system()).expect("an instance")
}

/// Returns a call with a key, an id and a deadline of 2 s.
pub(crate) fn call(target: &str, id: &str) -> Call {
    Call::post(target, KEY, "some body").with("x-request-id", id).with("x-deadline-ms", 2000)
}

impl Testbed {
    pub(crate) fn send(&self, call: &Call) -> Answer {
        call.send(self.instance.callers())
    }

    /// Returns how often the servers have run a request.
    pub(crate) fn runs(&self, id: &str) -> u32 {
        self.servers.iter().map(|server| server.runs(id)).sum()
    }

    /// Gives all servers a standing fault.
    pub(crate) fn fault(&self, fault: Fault) {
        self.servers.iter().for_each(|server| server.faults.set_standing(Some(fault)));
    }
}
