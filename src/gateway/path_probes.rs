//! Probes the paths to backend servers that are in doubt, so that no request has to find out whether this instance, or
//! another one, can connect to them.

use std::{
    io,
    sync::{
        Arc, OnceLock, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{Gateway, server_conns::CONNECT_TIMEOUT};
use crate::{
    contract::outcome::AttemptFault,
    link::http1::Conn,
    routing::{BackendServer, Incarnation, ProbeTarget},
    utils::sync::lock,
};

/// Largest number of servers that are probed again in one round: 2 KB/s of control traffic.
const PROBES_MAX: usize = 8;

/// Time between two rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(100);

/// Maximum time for a probe, and for another instance to reply about a server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// The thread that probes, which runs only while a path is in doubt.
#[derive(Default)]
pub(super) struct PathProbes {
    gateway: OnceLock<Weak<Gateway>>,
    is_running: AtomicBool,
}

impl PathProbes {
    /// Sets the instance that this is a part of; further calls do nothing.
    pub(super) fn attach(&self, gateway: &Arc<Gateway>) {
        self.gateway.get_or_init(|| Arc::downgrade(gateway));
    }

    /// Starts to probe, unless that is in progress or the instance has not been started.
    pub(super) fn start(&self) {
        let Some(gateway) = self.gateway.get().and_then(Weak::upgrade) else { return };
        if self.is_running.swap(true, Ordering::SeqCst) {
            return;
        }
        let spawned = gateway.spawn_thread("probes", |gateway| gateway.probe_paths());
        if let Err(fault) = spawned {
            log::warn!("event=not_probed reason={:?}", fault.to_string());
            self.is_running.store(false, Ordering::SeqCst);
        }
    }
}

impl Gateway {
    /// Probes servers until no path is in doubt or the instance stops.
    fn probe_paths(&self) {
        while self.is_running() && lock(&self.picker).has_paths_in_doubt() {
            self.check_doubted();
            self.probe_due();
            thread::sleep(ROUND_PERIOD);
        }
        self.path_probes.is_running.store(false, Ordering::SeqCst);
        // A doubt may have come up just before.
        if self.is_running() && lock(&self.picker).has_paths_in_doubt() {
            self.path_probes.start();
        }
    }

    /// Connects to a server directly, and records what that says about the path to it: nothing if `deadline` left too
    /// little time.
    pub(super) fn connect_directly(
        &self,
        server: &BackendServer,
        deadline: Instant,
    ) -> io::Result<Conn> {
        let had_time = deadline >= self.clock.now() + CONNECT_TIMEOUT;
        let connected = self.conns.connect(server.address, deadline);
        match &connected {
            Ok(_) => self.note_connected(&server.id),
            Err(fault) if !had_time && fault.kind() == io::ErrorKind::TimedOut => {}
            Err(fault) => self.note_connect_failed(&server.id, fault),
        }
        connected
    }

    /// Returns whether this instance cannot connect to `server`.
    pub(super) fn is_unreached(&self, server: &Incarnation) -> bool {
        lock(&self.picker).is_unreached(server)
    }

    /// Records that no connection to a server could be opened from this instance.
    pub(super) fn note_connect_failed(&self, server: &Incarnation, fault: &io::Error) {
        let now = self.clock.now();
        if lock(&self.picker).note_connect_failed(now, server) {
            log::info!("event=server_unreached server={server} reason={:?}", fault.to_string());
            self.path_probes.start();
        }
    }

    fn note_connected(&self, server: &Incarnation) {
        let now = self.clock.now();
        if let Some(after) = lock(&self.picker).note_connected(now, server) {
            log::info!("event=server_reached server={server} after_ms={}", after.as_millis());
        }
    }

    /// Returns whether a refused connect is the fault of the server: other instances cannot connect to it either, or
    /// there is none to ask and this one reaches other servers of its service. `None` if that cannot be told yet.
    pub(super) fn is_fault_of_server(
        &self,
        server: &BackendServer,
        deadline: Instant,
    ) -> Option<bool> {
        match self.open_tunnel(server, fastrand::u64(..), deadline) {
            Ok(_) => Some(false),
            Err(AttemptFault::Connect) => Some(true),
            Err(_) => {
                self.check_doubted();
                let is_poor =
                    lock(&self.picker).reach_counts(&server.service).is_mostly_unreached();
                (!is_poor).then_some(true)
            }
        }
    }

    /// Checks some other servers of the services with a new failure.
    fn check_doubted(&self) {
        let checks = lock(&self.picker).checks(fastrand::u64(..));
        for (service, targets) in checks {
            let all_reached = self.probe_all(&targets);
            lock(&self.picker).note_checked(&service, all_reached);
        }
    }

    /// Probes servers that are suspected, or unreached for a while.
    fn probe_due(&self) {
        let targets = lock(&self.picker).due_probes(self.clock.now(), PROBES_MAX);
        self.probe_all(&targets);
    }

    /// Probes servers at the same time; returns whether this instance reaches all of them.
    fn probe_all(&self, targets: &[ProbeTarget]) -> bool {
        thread::scope(|scope| {
            let probes: Vec<_> =
                targets.iter().map(|target| scope.spawn(|| self.probe(target))).collect();
            // Probes that are not joined here are joined at the end of the scope.
            probes.into_iter().all(|probe| probe.join().unwrap_or(false))
        })
    }

    /// Connects to a server and keeps the connection; returns whether that succeeded. If it did not, finds out whether
    /// another instance reaches the server.
    fn probe(&self, target: &ProbeTarget) -> bool {
        let ProbeTarget { server, .. } = target;
        let deadline = self.clock.now() + PROBE_TIMEOUT;
        match self.conns.connect(server.address, deadline) {
            Ok(conn) => {
                self.note_connected(&server.id);
                let max_connections = self.max_connections(&server.service);
                self.conns.keep(&server.id, conn, None, max_connections);
                true
            }
            Err(fault) => {
                self.note_connect_failed(&server.id, &fault);
                if lock(&self.picker).is_out_of_reach(&server.id) {
                    let deadline = self.clock.now() + PROBE_TIMEOUT;
                    // What the other instances reply is recorded, and no tunnel is needed.
                    drop(self.open_tunnel(server, fastrand::u64(..), deadline));
                }
                false
            }
        }
    }
}
