//! The processes of a run, the store and the backend servers, and what can be done to them.

use std::{
    fs::{self, File},
    net::SocketAddr,
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
use standins::{fault::Fault, listed::Listed, server::Received, store::StoreStandIn};

use crate::proxy::{LinkMode, Proxy};

/// Key of the callers' team.
pub(crate) const KEY: &str = "key-of-crew";

/// Time in which a change must be in force.
pub(crate) const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2000);

/// Time after which a leaving server must get nothing.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(2000);

/// Time between the signal to end and the kill.
pub(crate) const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// One instance, running or not.
pub(crate) struct Instance {
    /// Callers' address.
    pub(crate) callers: SocketAddr,
    /// Its link to the store.
    pub(crate) store_proxy: Proxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pid: Arc<AtomicI32>,
    /// Last moment at which something was done to it.
    pub(crate) disturbed_at: Instant,
}

/// One place of a backend server, with the incarnation that has it now.
pub(crate) struct ServerEndpoint {
    /// Its link.
    pub(crate) proxy: Proxy,
    /// Index of the incarnation in [`Fleet::servers`].
    pub(crate) server: usize,
    /// When something was last done to the link.
    pub(crate) disturbed_at: Instant,
}

/// The fleet of a run.
pub(crate) struct Fleet {
    /// The store.
    pub(crate) store: StoreStandIn,
    /// Instances.
    pub(crate) instances: Vec<Mutex<Instance>>,
    /// Ids of the instances' processes, 0 for none: a process can be frozen while it is told to end.
    pub(crate) pids: Vec<Arc<AtomicI32>>,
    /// Places of backend servers.
    pub(crate) endpoints: Vec<Mutex<ServerEndpoint>>,
    /// All incarnations that there were.
    pub(crate) servers: Mutex<Vec<Listed>>,
    /// Version of the intent.
    pub(crate) version: Mutex<u64>,
    /// Routes of the intent that nobody asks for.
    idle_routes: Mutex<usize>,
    /// Last moment at which something was done to the store.
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
            let proxy = Proxy::spawn(server.address())?;
            all.push(server);
            endpoints.push(Mutex::new(ServerEndpoint {
                proxy,
                server: number,
                disturbed_at: Instant::now(),
            }));
        }
        // Every run has loopback addresses of its own, so that ports can be the same everywhere.
        let net = [127, 64 + (std::process::id() % 64) as u8, (seed % 250) as u8];
        let ip = |number: usize| [net[0], net[1], net[2], number as u8 + 1];
        let seeds: Vec<String> =
            (0..instances.min(3)).map(|n| SocketAddr::from((ip(n), 7002)).to_string()).collect();
        let mut started = Vec::new();
        let mut pids: Vec<Arc<AtomicI32>> = Vec::new();
        for number in 0..instances {
            let store_proxy = Proxy::spawn(store.address())?;
            let address = |port: u16| SocketAddr::from((ip(number), port));
            let text = settings(number, &address, &seeds, store_proxy.address());
            let settings = dir.join(format!("{number}.json"));
            fs::write(&settings, text.to_string())?;
            pids.push(Arc::default());
            started.push(Mutex::new(Instance {
                pid: Arc::clone(&pids[number]),
                callers: address(7000),
                store_proxy,
                settings,
                log: dir.join(format!("{number}.log")),
                child: None,
                disturbed_at: Instant::now(),
            }));
        }
        let fleet = Fleet {
            store,
            instances: started,
            pids,
            endpoints,
            servers: Mutex::new(all),
            version: Mutex::new(10),
            idle_routes: Mutex::default(),
            store_disturbed_at: Mutex::new(Instant::now()),
        };
        for endpoint in 0..servers {
            fleet.write_entry(endpoint, "ready");
        }
        fleet.write_intent();
        for instance in &fleet.instances {
            lock(instance).start()?;
        }
        Ok(Arc::new(fleet))
    }

    /// Writes the entry of a place's server.
    pub(crate) fn write_entry(&self, endpoint: usize, state: &str) {
        let endpoint = lock(&self.endpoints[endpoint]);
        let servers = lock(&self.servers);
        let mut entry = servers[endpoint.server].entry("app", state);
        entry["address"] = endpoint.proxy.address().to_string().into();
        self.store.put("servers", &servers[endpoint.server].id, &entry);
    }

    /// Puts a new incarnation in a place; the one before keeps its address of its own.
    pub(crate) fn replace_server(&self, endpoint: usize) -> anyhow::Result<()> {
        let mut at = lock(&self.endpoints[endpoint]);
        let mut servers = lock(&self.servers);
        let id = format!("s{endpoint}-{}", servers.len());
        let server = Listed::spawn(&id)?;
        self.store.remove("servers", &servers[at.server].id);
        at.proxy.retarget(server.address());
        at.server = servers.len();
        servers.push(server);
        drop((at, servers));
        self.write_entry(endpoint, "ready");
        Ok(())
    }

    /// Returns the id of a place's server and the ids of the requests that have arrived there.
    pub(crate) fn arrivals(&self, endpoint: usize) -> (String, Vec<String>) {
        let at = lock(&self.endpoints[endpoint]).server;
        let servers = lock(&self.servers);
        let arrivals = servers[at].arrivals();
        let id = |request: &Received| request.head.header("x-request-id").unwrap_or("").to_owned();
        (servers[at].id.clone(), arrivals.iter().map(id).collect())
    }

    /// Returns the requests under way at the servers in use.
    pub(crate) fn loads(&self) -> Vec<u32> {
        let used: Vec<usize> =
            self.endpoints.iter().map(|endpoint| lock(endpoint).server).collect();
        let servers = lock(&self.servers);
        used.into_iter().map(|at| servers[at].in_flight()).collect()
    }

    /// Has a place's link behave otherwise.
    pub(crate) fn set_link_mode(&self, endpoint: usize, mode: LinkMode) {
        let mut endpoint = lock(&self.endpoints[endpoint]);
        endpoint.proxy.set_mode(mode);
        endpoint.disturbed_at = Instant::now();
    }

    /// Gives the next requests at a place these faults.
    pub(crate) fn inject_faults(&self, endpoint: usize, faults: &[Fault]) {
        let at = lock(&self.endpoints[endpoint]).server;
        lock(&self.servers)[at].faults.push(faults.iter().copied());
    }

    /// Makes the next version of the intent the operator's and returns it.
    pub(crate) fn change_intent(&self) -> u64 {
        *lock(&self.version) += 1;
        self.write_intent();
        *lock(&self.version)
    }

    /// Makes the versions from the next one on larger.
    pub(crate) fn add_idle_routes(&self, routes: usize) {
        *lock(&self.idle_routes) += routes;
    }

    /// Writes what the operator and the servers have written, as after a return of the store from a copy.
    pub(crate) fn rewrite_all(&self) {
        self.write_intent();
        let used: Vec<String> = (0..self.endpoints.len())
            .map(|endpoint| {
                self.write_entry(endpoint, "ready");
                let at = lock(&self.endpoints[endpoint]).server;
                lock(&self.servers)[at].id.clone()
            })
            .collect();
        // Entries that nobody writes lapse.
        let left = self.store.keys("servers").into_iter().filter(|id| !used.contains(id));
        left.for_each(|id| self.store.remove("servers", &id));
    }

    fn write_intent(&self) {
        let (version, idle_routes) = (*lock(&self.version), *lock(&self.idle_routes));
        self.store.put("op", "config", &intent(version, idle_routes));
    }

    /// Notes that something was done to the store.
    pub(crate) fn note_store_disturbed(&self) {
        *lock(&self.store_disturbed_at) = Instant::now();
    }
}

impl Instance {
    /// Starts the process.
    pub(crate) fn start(&mut self) -> anyhow::Result<()> {
        self.disturbed_at = Instant::now();
        let binary = std::env::current_exe()?.with_file_name("cartvane");
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&binary)
            .arg("gateway")
            .env("CARTVANE_BOOT", &self.settings)
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

    /// Notes that something was done to the process. The time is read under the lock: read before, it may be from before
    /// the last start, and the process is told to reload before it has run its first lines.
    pub(crate) fn note_disturbed(&mut self) {
        self.disturbed_at = Instant::now();
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        self.disturbed_at = Instant::now();
        send(&self.pid, signal);
    }

    /// Waits for the process to end; returns whether it did so by itself before `time` was over.
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
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns how the process has ended by itself, if it has.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a signal to the process whose id stands in `pid`, if there is one.
pub(crate) fn send(pid: &AtomicI32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(pid.load(Ordering::SeqCst)) {
        // A process that has just ended takes no signal.
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

/// Returns the intent of a version: beside the lasting routes one that only this version has, and some that
/// nobody asks for.
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
    routes.extend((0..idle_routes).map(|i| route(&format!("idle-{i}"), "idempotent", false)));
    json!({
        "version": version,
        "routes": routes,
        "services": [{"name": "app", "max_connections": 200}],
        "tenants": [{"name": "crew", "api_keys": [KEY]}]
    })
}
