//! Pool of idle connections to backend servers.

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
    link::{
        dialer::Dialer,
        http1::{Conn, conn::ConnState},
        pool_check::take_unusable,
    },
    routing::Incarnation,
    utils::sync::lock,
};

/// Maximum time to connect: many round trips within a region, and less than callers' target latencies.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Minimum time to connect: a connection with a timeout of zero is an error.
const CONNECT_TIMEOUT_MIN: Duration = Duration::from_millis(1);

/// How long sent bytes may stay unacknowledged before the connection fails: twice as long as a sound server may be
/// silent.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Maximum idle time of a pooled connection if the server does not announce its keep-alive timeout. Servers configure
/// it in whole seconds, so this is below the smallest one.
const IDLE_MAX_AGE: Duration = Duration::from_millis(800);

/// Fraction of the server's keep-alive timeout during which a pooled connection is used.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Maximum idle time of a connection for a request that may run only once: well below the shortest time after which
/// servers close idle connections, and as long as most pauses between two such requests. With 0.3 s, every second
/// request needed a new connection, without any benefit.
const IDLE_MAX_AGE_ONCE: Duration = Duration::from_millis(1500);

/// Maximum number of idle connections per server, whatever the server allows.
const IDLE_CONNS_MAX: usize = 16;

struct IdleConn {
    conn: Conn,
    since: Instant,
    max_age: Duration,
}

/// Idle connections by incarnation of the server: a restarted server starts with none.
pub struct ServerConns {
    idle: Mutex<HashMap<Incarnation, Vec<IdleConn>>>,
    clock: Clock,
    dialer: Dialer,
    instances: AtomicUsize,
}

impl ServerConns {
    /// Returns an empty pool whose connections are opened with `dialer`.
    pub fn new(clock: Clock, dialer: Dialer) -> ServerConns {
        ServerConns { idle: Mutex::default(), clock, dialer, instances: AtomicUsize::new(1) }
    }

    /// Sets how many instances share the servers' connections.
    pub fn set_instances(&self, instances: usize) {
        self.instances.store(instances.max(1), Ordering::Relaxed);
    }

    /// Returns an idle connection that the server is unlikely to close; `once` for a request that may run only once.
    pub fn take(&self, server: &Incarnation, once: bool) -> Option<Conn> {
        let now = self.clock.now();
        loop {
            let idle = lock(&self.idle).get_mut(server)?.pop()?;
            let age = now.saturating_duration_since(idle.since);
            let max_age = if once { idle.max_age.min(IDLE_MAX_AGE_ONCE) } else { idle.max_age };
            if age >= max_age {
                // The other connections to the server are older still.
                lock(&self.idle).remove(server);
                return None;
            }
            if idle.conn.state() == ConnState::Open {
                return Some(idle.conn);
            }
        }
    }

    /// Opens a new connection before `deadline`.
    ///
    /// # Errors
    ///
    /// The connection could not be opened in time; nothing has been sent.
    pub fn connect(&self, address: SocketAddr, deadline: Instant) -> std::io::Result<Conn> {
        let time_left = deadline.saturating_duration_since(self.clock.now());
        let timeout = time_left.min(CONNECT_TIMEOUT).max(CONNECT_TIMEOUT_MIN);
        let conn = Conn::new(self.dialer.dial(address, timeout)?, self.clock.clone())?;
        conn.set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT)?;
        Ok(conn)
    }

    /// Returns a connection to the pool after a response was read to its end.
    ///
    /// `max_connections` is how many connections the server accepts from all instances together.
    pub fn keep(
        &self,
        server: &Incarnation,
        mut conn: Conn,
        keep_alive_for: Option<Duration>,
        max_connections: u32,
    ) {
        conn.release_buffer();
        let max_age = keep_alive_for.map_or(IDLE_MAX_AGE, |time| time.mul_f64(KEEP_ALIVE_FRACTION));
        // Half of an instance's share stays free for requests in flight.
        let share = max_connections as usize / (2 * self.instances.load(Ordering::Relaxed));
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        let conns = idle.entry(server.clone()).or_default();
        // Connections are taken last in, first out, so `take` may never reach the oldest ones.
        conns.retain(|idle| now.saturating_duration_since(idle.since) < idle.max_age);
        if conns.len() < share.clamp(1, IDLE_CONNS_MAX) {
            conns.push(IdleConn { conn, since: now, max_age });
        }
    }

    /// Closes idle connections that are too old, that the server has closed, or on which bytes have arrived since the last
    /// response.
    pub fn close_unusable(&self) {
        let now = self.clock.now();
        let is_fresh = |idle: &IdleConn| now.saturating_duration_since(idle.since) < idle.max_age;
        let unusable = take_unusable(&mut lock(&self.idle), is_fresh, |idle| &idle.conn);
        drop(unusable);
    }

    /// Closes the idle connections to servers for which `is_listed` returns false.
    pub fn retain(&self, is_listed: impl Fn(&Incarnation) -> bool) {
        lock(&self.idle).retain(|server, _| is_listed(server));
    }
}
