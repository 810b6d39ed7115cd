//! Checks whether servers whose connections were lost have crashed: then their addresses refuse new ones, at once or a
//! moment later.
//!
//! The kernel takes connections for a process that is ending until it has closed all of its descriptors, and resets them
//! then. So the new connection is watched for a while. If the server closes it and refuses the next one, it has crashed
//! with the requests that it was running.
//!
//! An instance that is cut off finds that all servers refuse. Where other instances cannot say whether a server has ended,
//! since they do not reach most servers of its service either, the responses of other servers decide a moment later.

use std::{
    io::{self, ErrorKind},
    sync::{Arc, Mutex, OnceLock, Weak},
    thread,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, map::Entry};

use super::Gateway;
use crate::{
    link::http1::{Conn, conn::ConnState},
    routing::{BackendServer, Incarnation, Suspect, server_contacts::CONTACT_TIME},
    utils::{supervisor, sync::lock},
};

/// Timeout for the connection that checks whether a server has crashed: many round trips within a region. The request
/// that waits for the check is retried on another server right after.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// How long a connection is watched: a process with thousands of descriptors ends within some milliseconds, on a busy
/// machine within some tenths of a second.
const WATCH_TIME: Duration = Duration::from_millis(500);

/// Time between two looks at a connection.
const LOOK_PERIOD: Duration = Duration::from_millis(5);

/// Time between two looks at what other servers show: longer than what is lost at once takes to be noticed.
const CONTACT_PERIOD: Duration = Duration::from_millis(50);

/// What a check of a server whose connection was lost has shown.
pub(super) enum ServerCheck {
    /// It has crashed.
    Crashed,
    /// It refuses connections; whether it has crashed, or the path to it is lost, shows a moment later.
    Refused,
    /// It has taken a connection; whether it keeps it shows a moment later.
    Accepted(Conn),
    /// It has taken a connection a moment ago, or does not refuse one.
    Alive,
    /// It leaves, or is not listed: that it ends is no crash.
    NotInUse,
}

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

    /// Adds a request to those that a server was running, if the server is in doubt.
    pub(super) fn add(&self, server: &Incarnation, suspect: Suspect) {
        if let Some(doubt) = lock(&self.doubts).get_mut(server) {
            doubt.suspects.push(suspect);
        }
    }

    /// Watches a server that has just lost a connection with the request `suspect`, and a connection that it has taken
    /// since, if it has.
    pub(super) fn watch(&self, server: &Arc<BackendServer>, conn: Option<Conn>, suspect: Suspect) {
        let Some(gateway) = self.gateway.get().and_then(Weak::upgrade) else { return };
        match lock(&self.doubts).entry(server.id.clone()) {
            Entry::Occupied(mut doubt) => return doubt.get_mut().suspects.push(suspect),
            Entry::Vacant(entry) => {
                entry.insert(Doubt { since: gateway.clock.now(), suspects: vec![suspect] });
            }
        }
        let server = Arc::clone(server);
        let id = server.id.clone();
        let watching = move || {
            let watched = supervisor::catch("crash", || gateway.watch_for_crash(&server, conn));
            if watched.is_none() {
                // Otherwise the server would count as watched for as long as it runs.
                gateway.crash_checks.end_doubt(&server.id);
            }
        };
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
    /// Checks whether a server whose connection was lost has crashed: then its address refuses connections. A server
    /// that announced that it leaves is not checked, since it stops with the requests that it has not finished. `known`
    /// says what a check has shown a moment ago.
    pub(super) fn check_server(&self, server: &BackendServer, known: Option<bool>) -> ServerCheck {
        match known {
            Some(true) => return ServerCheck::Crashed,
            Some(false) => return ServerCheck::Alive,
            None if !self.is_in_use(server) => return ServerCheck::NotInUse,
            None => {}
        }
        match self.conns.connect(server.address, self.clock.now() + CHECK_TIMEOUT) {
            Ok(conn) => ServerCheck::Accepted(conn),
            Err(fault) => match self.is_refused_by_server(server, &fault) {
                Some(true) => ServerCheck::Crashed,
                Some(false) => ServerCheck::Alive,
                None => ServerCheck::Refused,
            },
        }
    }

    /// Returns whether a server is listed and does not leave.
    fn is_in_use(&self, server: &BackendServer) -> bool {
        self.cluster_state.with_servers(|roster| {
            roster.servers().any(|listed| listed.id == server.id && !listed.leaving)
        })
    }

    /// Returns whether a server that was in use a moment ago has crashed, as it refuses connections by now.
    fn has_crashed_by_now(&self, server: &BackendServer) -> bool {
        if !self.is_in_use(server) {
            return false;
        }
        match self.conns.connect(server.address, self.clock.now() + CHECK_TIMEOUT) {
            Ok(_) => false,
            Err(fault) => self
                .is_refused_by_server(server, &fault)
                .unwrap_or_else(|| self.has_ended_by_others(server)),
        }
    }

    /// Records a failed connect to a server; returns whether the server refused it, or `None` if that cannot be told yet:
    /// where this instance is partitioned, all servers seem to refuse.
    fn is_refused_by_server(&self, server: &BackendServer, fault: &io::Error) -> Option<bool> {
        self.note_connect_failed(&server.id, fault);
        let refused = if fault.kind() == ErrorKind::ConnectionRefused {
            self.is_fault_of_server(server, self.clock.now() + CHECK_TIMEOUT)
        } else {
            Some(false)
        };
        let sure = refused.map_or("unknown", |refused| if refused { "true" } else { "false" });
        log::info!("event=server_ended server={} sure={sure} reason={fault}", server.id);
        refused
    }

    /// Waits until other servers show that a server that has refused a connection has ended, or have had time to; returns
    /// whether they do.
    fn has_ended_by_others(&self, server: &BackendServer) -> bool {
        let until = self.clock.now() + CONTACT_TIME;
        let mut ended = false;
        while !ended && self.clock.now() < until {
            thread::sleep(CONTACT_PERIOD);
            ended = lock(&self.picker).has_ended(&server.id);
        }
        log::info!("event=server_ended server={} sure={ended} reason=other-servers", server.id);
        ended
    }

    /// Watches a server until it refuses connections, for [`WATCH_TIME`] at most while it keeps one that it has taken.
    fn watch_for_crash(&self, server: &Arc<BackendServer>, conn: Option<Conn>) {
        let has_crashed = match &conn {
            Some(conn) => self.closes(conn) && self.has_crashed_by_now(server),
            None => self.has_ended_by_others(server),
        };
        let Some(doubt) = self.crash_checks.end_doubt(&server.id) else { return };
        if has_crashed {
            for suspect in doubt.suspects {
                let (id, service) = (&server.id, &server.service);
                self.crash_suspects.note_crash(doubt.since, id, service, suspect);
            }
        } else if let Some(conn) = conn.filter(|conn| conn.state() == ConnState::Open) {
            let max_connections = self.max_connections(&server.service);
            self.conns.keep(&server.id, conn, None, max_connections);
        }
    }

    /// Watches a connection for [`WATCH_TIME`]; returns whether the server closes it.
    fn closes(&self, conn: &Conn) -> bool {
        let until = self.clock.now() + WATCH_TIME;
        while conn.state() == ConnState::Open && self.clock.now() < until {
            thread::sleep(LOOK_PERIOD);
        }
        conn.state() != ConnState::Open
    }
}
