//! The instances, store and backend servers of a run, and the operations on them that events use.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io,
    net::SocketAddr,
    ops::Range,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicI32, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context as _;
use cartvane::utils::sync::lock;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standins::{
    fault::Fault,
    listed::Listed,
    proxy::{LinkMode, Proxy},
    server::Received,
    store::StoreStandIn,
};

use crate::{
    odd_rows, plan, small_service,
    two_versions::{self, TwoVersions},
};

/// API key of the callers' team.
pub(crate) const KEY: &str = "key-of-crew";

/// Time within which instances must apply a change of the intent.
pub(crate) const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2000);

/// Time after which a draining server must receive no new requests.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(2000);

/// Time that an instance has for its shutdown after SIGTERM.
pub(crate) const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// An instance, whether its process runs or not.
pub(crate) struct Instance {
    /// Address that callers connect to.
    pub(crate) frontend: SocketAddr,
    /// Proxy between the instance and the store.
    pub(crate) store_proxy: Proxy,
    settings: Value,
    settings_path: PathBuf,
    has_started: bool,
    log: PathBuf,
    child: Option<Child>,
    pid: Arc<AtomicI32>,
    /// Time of the last event that affected it.
    pub(crate) disturbed_at: Instant,
}

/// The address of a backend server, with the incarnation that uses it now.
pub(crate) struct ServerEndpoint {
    /// Proxy whose address is in the server's entry.
    pub(crate) proxy: Proxy,
    /// Index of the current incarnation in [`Fleet::servers`].
    pub(crate) server: usize,
    /// Time of the last change of the proxy's mode.
    pub(crate) disturbed_at: Instant,
}

/// The fleet of a run.
pub(crate) struct Fleet {
    /// Seed of the run.
    pub(crate) seed: u64,
    /// The store.
    pub(crate) store: StoreStandIn,
    /// Instances, by number.
    pub(crate) instances: Vec<Mutex<Instance>>,
    /// Addresses that callers connect to, by instance. Outside the instances' locks, which are held while an event waits
    /// for a process to exit.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Process ids of the instances, 0 for none. Outside the instances' locks, since a process may be frozen while
    /// another event holds its lock and waits for it to exit.
    pub(crate) pids: Vec<Arc<AtomicI32>>,
    /// Endpoints of backend servers.
    pub(crate) endpoints: Vec<Mutex<ServerEndpoint>>,
    /// All incarnations of backend servers, former ones included.
    pub(crate) servers: Mutex<Vec<Listed>>,
    /// Indexes of the servers of the small service in [`Fleet::servers`].
    small: Range<usize>,
    /// Services whose servers have two versions, by number.
    pub(crate) versions: Vec<TwoVersions>,
    /// Rows that servers have written, by server: these they write again after a restore of the store.
    rows: Mutex<BTreeMap<String, Value>>,
    /// Current version of the intent.
    pub(crate) version: Mutex<u64>,
    /// Number of routes in the intent that no caller uses.
    idle_routes: Mutex<usize>,
    /// Time of the last event that affected the store.
    pub(crate) store_disturbed_at: Mutex<Instant>,
}

impl Fleet {
    /// Starts a fleet whose addresses follow from `seed`, with logs in `dir`.
    pub(crate) fn start(
        seed: u64,
        instances: usize,
        servers: usize,
        dir: &Path,
    ) -> anyhow::Result<Arc<Fleet>> {
        fs::create_dir_all(dir)?;
        let store = StoreStandIn::spawn()?;
        let mut all = Vec::new();
        let mut endpoints = Vec::new();
        for number in 0..servers {
            let server = Listed::spawn(&format!("s{number}-0"))?;
            server.set_version(plan::random_version(seed, &server.id));
            let proxy = Proxy::spawn(server.address())?;
            all.push(server);
            endpoints.push(Mutex::new(ServerEndpoint {
                proxy,
                server: number,
                disturbed_at: Instant::now(),
            }));
        }
        let small = all.len()..all.len() + small_service::SERVERS;
        all.extend(small_service::spawn_servers()?);
        let versions = 0..two_versions::SERVICES;
        let versions: io::Result<Vec<TwoVersions>> =
            versions.map(|number| TwoVersions::spawn(number, &mut all)).collect();
        // Every run has its own loopback addresses, so that concurrent runs can use the same ports.
        let net = [127, 64 + (std::process::id() % 64) as u8, (seed % 250) as u8];
        let ip = |number: usize| [net[0], net[1], net[2], number as u8 + 1];
        let seeds: Vec<String> =
            (0..instances.min(3)).map(|n| SocketAddr::from((ip(n), 7002)).to_string()).collect();
        let mut started = Vec::new();
        let mut addresses = Vec::new();
        let mut pids: Vec<Arc<AtomicI32>> = Vec::new();
        for number in 0..instances {
            let store_proxy = Proxy::spawn(store.address())?;
            let address = |port: u16| SocketAddr::from((ip(number), port));
            let settings = settings(number, &address, &seeds, store_proxy.address());
            addresses.push(address(7000));
            pids.push(Arc::default());
            started.push(Mutex::new(Instance {
                pid: Arc::clone(&pids[number]),
                frontend: addresses[number],
                store_proxy,
                settings,
                settings_path: dir.join(format!("{number}.json")),
                has_started: false,
                log: dir.join(format!("{number}.log")),
                child: None,
                disturbed_at: Instant::now(),
            }));
        }
        let fleet = Fleet {
            seed,
            store,
            instances: started,
            addresses,
            pids,
            endpoints,
            servers: Mutex::new(all),
            small,
            versions: versions?,
            rows: Mutex::default(),
            version: Mutex::new(10),
            idle_routes: Mutex::default(),
            store_disturbed_at: Mutex::new(Instant::now()),
        };
        for endpoint in 0..servers {
            fleet.write_entry(endpoint, "ready");
        }
        fleet.write_small_entries();
        fleet.versions.iter().for_each(|versions| versions.list(&fleet, two_versions::FIRST));
        fleet.write_intent();
        for instance in &fleet.instances {
            lock(instance).start()?;
        }
        Ok(Arc::new(fleet))
    }

    /// Writes the row of a server to the store.
    pub(crate) fn list(&self, server: &str, entry: Value) {
        let mut rows = lock(&self.rows);
        self.store.put("servers", server, &entry);
        rows.insert(server.to_owned(), entry);
    }

    /// Removes the row of a server from the store.
    pub(crate) fn unlist(&self, server: &str) {
        let mut rows = lock(&self.rows);
        self.store.remove("servers", server);
        rows.remove(server);
    }

    /// Writes the entry of an endpoint's server to the store.
    pub(crate) fn write_entry(&self, endpoint: usize, state: &str) {
        let endpoint = lock(&self.endpoints[endpoint]);
        let servers = lock(&self.servers);
        let mut entry = servers[endpoint.server].entry("app", state);
        entry["address"] = endpoint.proxy.address().to_string().into();
        self.list(&servers[endpoint.server].id, entry);
    }

    /// Removes the entry of an endpoint's server from the store.
    pub(crate) fn remove_entry(&self, endpoint: usize) {
        let server = lock(&self.endpoints[endpoint]).server;
        self.unlist(&lock(&self.servers)[server].id);
    }

    fn write_small_entries(&self) {
        for server in &lock(&self.servers)[self.small.clone()] {
            let mut entry = server.entry(small_service::SERVICE, "ready");
            entry["slots"] = 1.into();
            self.list(&server.id, entry);
        }
    }

    /// Returns how many requests each server of the small service has run.
    pub(crate) fn small_runs(&self) -> Vec<u32> {
        lock(&self.servers)[self.small.clone()].iter().map(Listed::total_runs).collect()
    }

    /// Starts a new incarnation behind an endpoint; the one before keeps running at its own address.
    pub(crate) fn replace_server(&self, endpoint: usize) -> anyhow::Result<()> {
        let mut current = lock(&self.endpoints[endpoint]);
        let mut servers = lock(&self.servers);
        let id = format!("s{endpoint}-{}", servers.len());
        let server = Listed::spawn(&id)?;
        server.set_version(plan::random_version(self.seed, &id));
        self.unlist(&servers[current.server].id);
        current.proxy.retarget(server.address());
        current.server = servers.len();
        servers.push(server);
        drop((current, servers));
        self.write_entry(endpoint, "ready");
        Ok(())
    }

    /// Returns the id of an endpoint's server and the ids of the requests that have arrived there.
    pub(crate) fn arrivals(&self, endpoint: usize) -> (String, Vec<String>) {
        let server = lock(&self.endpoints[endpoint]).server;
        let servers = lock(&self.servers);
        let arrivals = servers[server].arrivals();
        let id = |request: &Received| request.head.header("x-request-id").unwrap_or("").to_owned();
        (servers[server].id.clone(), arrivals.iter().map(id).collect())
    }

    /// Returns the number of requests in flight at each current server.
    pub(crate) fn loads(&self) -> Vec<u32> {
        let used: Vec<usize> =
            self.endpoints.iter().map(|endpoint| lock(endpoint).server).collect();
        let servers = lock(&self.servers);
        used.into_iter().map(|server| servers[server].in_flight()).collect()
    }

    /// Sets the mode of an endpoint's proxy.
    pub(crate) fn set_link_mode(&self, endpoint: usize, mode: LinkMode) {
        let mut endpoint = lock(&self.endpoints[endpoint]);
        endpoint.proxy.set_mode(mode);
        endpoint.disturbed_at = Instant::now();
    }

    /// Injects faults into the next requests at an endpoint, one for each.
    pub(crate) fn inject_faults(&self, endpoint: usize, faults: &[Fault]) {
        let server = lock(&self.endpoints[endpoint]).server;
        lock(&self.servers)[server].faults.push(faults.iter().copied());
    }

    /// Writes the next version of the intent and returns its number.
    pub(crate) fn change_intent(&self) -> u64 {
        *lock(&self.version) += 1;
        self.write_intent();
        *lock(&self.version)
    }

    /// Adds unused routes to all following versions of the intent.
    pub(crate) fn add_idle_routes(&self, routes: usize) {
        *lock(&self.idle_routes) += routes;
    }

    /// Writes the intent and the servers' rows again, as after a restore of the store from a copy.
    pub(crate) fn rewrite_all(&self) {
        self.write_intent();
        let rows = lock(&self.rows);
        rows.iter().for_each(|(server, row)| self.store.put("servers", server, row));
        // Entries of former servers, which the copy may contain, are removed as if they had expired.
        let left = self.store.keys("servers").into_iter().filter(|id| !rows.contains_key(id));
        left.for_each(|id| self.store.remove("servers", &id));
    }

    fn write_intent(&self) {
        let (version, idle_routes) = (*lock(&self.version), *lock(&self.idle_routes));
        self.store.put("op", "config", &intent(version, idle_routes));
    }

    /// Records that an event affected the store.
    pub(crate) fn note_store_disturbed(&self) {
        *lock(&self.store_disturbed_at) = Instant::now();
    }
}

impl Instance {
    /// Starts the process. Its settings tell the first start of all instances from a restart.
    pub(crate) fn start(&mut self) -> anyhow::Result<()> {
        self.disturbed_at = Instant::now();
        self.settings["bootstrap"] = (!std::mem::replace(&mut self.has_started, true)).into();
        fs::write(&self.settings_path, self.settings.to_string())?;
        let binary = std::env::current_exe()?.with_file_name("cartvane");
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&binary)
            .arg("gateway")
            .env("CARTVANE_BOOT", &self.settings_path)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()
            .with_context(|| {
                format!("cannot start {}; build the workspace first", binary.display())
            })?;
        self.pid.store(i32::try_from(child.id())?, Ordering::SeqCst);
        self.child = Some(child);
        Ok(())
    }

    /// Records that an event affected the process. Reads the time under the lock: a time read earlier may precede the
    /// last start, and SIGHUP would then be sent before the process has installed its handler, and terminate it.
    pub(crate) fn note_disturbed(&mut self) {
        self.disturbed_at = Instant::now();
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        self.disturbed_at = Instant::now();
        send(&self.pid, signal);
    }

    /// Waits for the process to exit; returns whether it did within `time`.
    pub(crate) fn wait(&mut self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        let Some(child) = &mut self.child else { return true };
        while Instant::now() < deadline {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.pid.store(0, Ordering::SeqCst);
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Kills the process, if it runs.
    pub(crate) fn kill(&mut self) {
        self.disturbed_at = Instant::now();
        self.pid.store(0, Ordering::SeqCst);
        if let Some(mut child) = self.child.take() {
            // Fails if the process has exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the exit status of a process that exited without being stopped or killed.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a signal to the process with the id in `pid`, if there is one.
pub(crate) fn send(pid: &AtomicI32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(pid.load(Ordering::SeqCst)) {
        // Fails if the process has just exited.
        let _ = kill_process(pid, signal);
    }
}

fn settings(
    number: usize,
    address: &dyn Fn(u16) -> SocketAddr,
    seeds: &[String],
    store: SocketAddr,
) -> Value {
    json!({
        "node_name": format!("edge-{number}"), "zone": "north",
        "listen": {
            "frontend": address(7000).to_string(), "readiness": address(7001).to_string(),
            "control": address(7002).to_string()
        },
        "seeds": seeds, "limits": {"max_fds": 1000},
        "bounds": {
            "drain_ms": DRAIN_TIME.as_millis(), "grace_s": GRACE_PERIOD.as_secs(),
            "config_apply_ms": CONFIG_APPLY_TIME.as_millis(), "retry_budget_ratio": 0.2,
            "retry_window_s": 10, "budget_slack": 60
        },
        "platform": {"address": store.to_string()}
    })
}

/// Returns the intent of a version: the routes that callers use, one that only this version has, and unused ones.
fn intent(version: u64, idle_routes: usize) -> Value {
    let route = |name: &str, kind: &str, resume: bool| {
        json!({
            "name": name, "host": "cartvane", "path_prefix": format!("/{name}/"), "type": kind,
            "timeout_ms": 3000, "target_latency_ms": 300, "service": "app", "max_attempts": 2,
            "stream_resume": resume, "gap_target_ms": 100, "sticky_sessions": true
        })
    };
    let mut routes = vec![
        route("idem", "idempotent", false),
        route("once", "non_idempotent", false),
        route("stream", "streaming", false),
        route("stream-resumable", "streaming", true),
        route(&format!("v{version}"), "idempotent", false),
    ];
    let versions = (0..two_versions::SERVICES).map(two_versions::service);
    let late = (0..odd_rows::EVENTS).map(odd_rows::service);
    let mut services = vec!["app".to_owned(), small_service::SERVICE.to_owned()];
    for (name, kind) in versions.map(|n| (n, "streaming")).chain(late.map(|n| (n, "idempotent"))) {
        let mut route = route(&name, kind, kind == "streaming");
        route["service"] = name.as_str().into();
        routes.push(route);
        services.push(name);
    }
    for (name, kind) in [("small", "idempotent"), ("small-once", "non_idempotent")] {
        let mut route = route(name, kind, false);
        route["service"] = small_service::SERVICE.into();
        route["sticky_sessions"] = false.into();
        routes.push(route);
    }
    let service = |name| json!({"name": name, "max_connections": 200});
    let services: Vec<Value> = services.into_iter().map(service).collect();
    let team =
        |team| json!({"name": format!("team-{team}"), "api_keys": [small_service::key(team)]});
    let crew = json!({"name": "crew", "api_keys": [KEY]});
    let teams: Vec<Value> = (0..small_service::TEAMS).map(team).chain([crew]).collect();
    routes.extend((0..idle_routes).map(|i| route(&format!("idle-{i}"), "idempotent", false)));
    json!({
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": teams
    })
}
