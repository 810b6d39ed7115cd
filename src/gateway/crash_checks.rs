//! Servers whose connections were lost, but whose addresses still took a new one: whether they have crashed shows a moment
//! later.
//!
//! The kernel takes connections for a process that is ending until it has closed all of its descriptors, and resets them
//! then. So the new connection is watched for a while. If the server closes it and refuses the next one, it has crashed
//! with the requests that it was running.

use std::{
    sync::{Arc, Mutex, OnceLock, Weak},
    thread,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::Gateway;
use crate::{
    link::http1::{Conn, conn::ConnState},
    routing::{BackendServer, Incarnation, Suspect},
    utils::sync::lock,
};

/// How long a connection is watched: a process with thousands of descriptors ends within some milliseconds, on a busy
/// machine within some tenths of a second.
const WATCH_TIME: Duration = Duration::from_millis(500);

/// Time between two looks at a connection.
const LOOK_PERIOD: Duration = Duration::from_millis(5);

/// A server that may have crashed.
struct Doubt {
    /// When its first connection was lost.
    since: Instant,
    suspects: Vec<Suspect>,
}

/// Servers that may have crashed, with the requests that they were running for this instance.
#[derive(Default)]
pub(super) struct CrashChecks {
    gateway: OnceLock<Weak<Gateway>>,
    doubts: Mutex<IndexMap<Incarnation, Doubt>>,
}

impl CrashChecks {
    /// Sets the instance that this is a part of; further calls do nothing.
    pub(super) fn attach(&self, gateway: &Arc<Gateway>) {
        self.gateway.get_or_init(|| Arc::downgrade(gateway));
    }

    /// Adds a request to those that a server in doubt was running; returns whether the server is in doubt.
    pub(super) fn add(&self, server: &Incarnation, suspect: &Suspect) -> bool {
        let mut doubts = lock(&self.doubts);
        let Some(doubt) = doubts.get_mut(server) else { return false };
        doubt.suspects.push(suspect.clone());
        true
    }

    /// Watches a connection that a server has taken just after one was lost with the request `suspect`.
    pub(super) fn watch(&self, server: &Arc<BackendServer>, conn: Conn, suspect: Suspect) {
        let Some(gateway) = self.gateway.get().and_then(Weak::upgrade) else { return };
        if self.add(&server.id, &suspect) {
            return;
        }
        let doubt = Doubt { since: gateway.clock.now(), suspects: vec![suspect] };
        lock(&self.doubts).insert(server.id.clone(), doubt);
        let server = Arc::clone(server);
        let id = server.id.clone();
        let watching = move || gateway.watch_for_crash(&server, conn);
        if let Err(fault) = thread::Builder::new().name("crash".to_owned()).spawn(watching) {
            log::warn!("event=crash_not_checked server={id} reason={:?}", fault.to_string());
            lock(&self.doubts).shift_remove(&id);
        }
    }

    fn end_doubt(&self, server: &Incarnation) -> Option<Doubt> {
        lock(&self.doubts).shift_remove(server)
    }
}

impl Gateway {
    /// Watches a connection to a server until the server closes it, or for [`WATCH_TIME`].
    fn watch_for_crash(&self, server: &Arc<BackendServer>, conn: Conn) {
        let until = self.clock.now() + WATCH_TIME;
        while conn.state() == ConnState::Open && self.clock.now() < until {
            thread::sleep(LOOK_PERIOD);
        }
        let has_crashed = conn.state() != ConnState::Open && self.refuses_connections(server);
        let Some(doubt) = self.crash_checks.end_doubt(&server.id) else { return };
        if has_crashed {
            for suspect in doubt.suspects {
                let (id, service) = (&server.id, &server.service);
                self.crash_suspects.note_crash(doubt.since, id, service, suspect);
            }
        } else if conn.state() == ConnState::Open {
            let max_connections = self.max_connections(&server.service);
            self.conns.keep(&server.id, conn, None, max_connections);
        }
    }
}
