//! Kept connections to backend servers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    clock::Clock,
    link::http1::{Conn, conn::ConnState},
    routing::Incarnation,
    utils::sync::lock,
};

/// Longest time to connect: many round trips within a region, and less than callers' targets.
const CONNECT_TIME: Duration = Duration::from_millis(200);

/// Time that bytes may stay unacknowledged before a server counts as silent: several
/// retransmissions on a link that loses packets.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(1000);

/// Idle time after which a kept connection is not used, where the server does not say how long it
/// keeps it: servers count in whole seconds, so this is under the least they can mean.
const IDLE_UNSAID: Duration = Duration::from_millis(800);

/// Part of the server's own idle time during which a kept connection is used.
const IDLE_SHARE: f64 = 0.7;

/// Longest idle time of a connection that carries a request which may run only once: well under the least
/// time after which servers close idle connections, and as long as most pauses between two such requests
/// (0.3 s took a new connection for every second request, and brought nothing).
const IDLE_ONCE: Duration = Duration::from_millis(1500);

/// Most idle connections kept for each server, whatever the server allows.
const IDLE_MAX: usize = 16;

struct Idle {
    conn: Conn,
    since: Instant,
    usable_for: Duration,
}

/// Idle connections by server: one that starts again has none of those that it had.
pub struct ServerConns {
    idle: Mutex<HashMap<Incarnation, Vec<Idle>>>,
    clock: Clock,
    instances: AtomicUsize,
}

impl ServerConns {
    /// Returns an empty pool.
    pub fn new(clock: Clock) -> ServerConns {
        ServerConns { idle: Mutex::default(), clock, instances: AtomicUsize::new(1) }
    }

    /// Sets how many instances share the servers' connections.
    pub fn set_instances(&self, instances: usize) {
        self.instances.store(instances.max(1), Ordering::Relaxed);
    }

    /// Returns a kept connection, if one is sure enough for the request.
    pub fn take(&self, server: &Incarnation, once: bool) -> Option<Conn> {
        let now = self.clock.now();
        loop {
            let kept = lock(&self.idle).get_mut(server)?.pop()?;
            let age = now.saturating_duration_since(kept.since);
            let most = if once { kept.usable_for.min(IDLE_ONCE) } else { kept.usable_for };
            if age >= most {
                // The others are older still.
                lock(&self.idle).remove(server);
                return None;
            }
            if kept.conn.state() == ConnState::Open {
                return Some(kept.conn);
            }
        }
    }

    /// Makes a new connection before `until`.
    ///
    /// # Errors
    ///
    /// No connection was made in time; nothing has been sent.
    pub fn connect(&self, address: SocketAddr, until: Instant) -> std::io::Result<Conn> {
        let left = until.saturating_duration_since(self.clock.now());
        let conn = Conn::connect(address, left.min(CONNECT_TIME), &self.clock)?;
        conn.set_unacknowledged_timeout(UNACKNOWLEDGED_TIME)?;
        Ok(conn)
    }

    /// Keeps a connection whose answer was read to its end.
    ///
    /// `most` is how many connections the server takes from all instances.
    pub fn keep(
        &self,
        server: &Incarnation,
        mut conn: Conn,
        kept_for: Option<Duration>,
        most: u32,
    ) {
        conn.release_buffer();
        let usable_for = kept_for.map_or(IDLE_UNSAID, |time| time.mul_f64(IDLE_SHARE));
        // Half of an instance's part stays free for requests in flight.
        let part = most as usize / (2 * self.instances.load(Ordering::Relaxed));
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        let conns = idle.entry(server.clone()).or_default();
        // The last one kept is the first one taken, so the oldest may never be looked at again.
        conns.retain(|kept| now.saturating_duration_since(kept.since) < kept.usable_for);
        if conns.len() < part.clamp(1, IDLE_MAX) {
            conns.push(Idle { conn, since: now, usable_for });
        }
    }

    /// Drops the connections to servers that `known` does not name.
    pub fn retain(&self, known: impl Fn(&Incarnation) -> bool) {
        lock(&self.idle).retain(|server, _| known(server));
    }
}
