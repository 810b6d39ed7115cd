//! Listeners: each active connection has a thread, idle connections have none.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    clock::Clock,
    link::{
        http1::Conn,
        idle::{IdleConn, IdleMonitor},
    },
    utils::supervisor,
};

/// Stack size of a connection's thread in bytes. Only the pages that are used take memory.
const THREAD_STACK_BYTES: usize = 512 << 10;

/// Pause after a failed `accept`, for example when the process has no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of bytes of a rejected request that are read and discarded, so that the caller receives the response:
/// the size of the largest body that users allow.
const DISCARD_BYTES_MAX: usize = 4 << 20;

/// Maximum time for reading what is discarded: long enough for a large body over a slow link, short enough for a
/// connection that a caller leaves open.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a connection after it was served.
pub enum ConnOutcome {
    /// It is closed.
    Closed,
    /// It is idle and waits for its next request.
    Idle(Conn),
}

/// How a listener's idle connections are monitored.
#[derive(Clone)]
pub struct IdlePolicy {
    /// Monitor of the connections.
    pub monitor: IdleMonitor,
    /// Returns the deadline of a connection that became idle at the given time.
    pub deadline: Arc<dyn Fn(Instant) -> Instant + Send + Sync>,
    /// Whether they are closed when the idle connections of callers are to be closed.
    pub is_caller_conn: bool,
}

/// A running listener.
pub struct Listener {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open_connections: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

/// Counts a connection as open until it is dropped, also when its thread panics.
struct OpenConnectionGuard(Arc<AtomicUsize>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves a listener's connections.
struct ConnService<S> {
    serve: S,
    idle: Option<IdlePolicy>,
    clock: Clock,
}

impl<S: Fn(Conn) -> ConnOutcome + Send + Sync + 'static> ConnService<S> {
    /// Serves a connection in a thread of its own.
    fn spawn(self: &Arc<Self>, conn: Conn, guard: OpenConnectionGuard) {
        let service = Arc::clone(self);
        let thread = thread::Builder::new().name("conn".to_owned()).stack_size(THREAD_STACK_BYTES);
        let spawned = thread.spawn(move || {
            supervisor::catch("conn", || {
                if let ConnOutcome::Idle(conn) = (service.serve)(conn) {
                    service.watch_idle(conn, guard);
                }
            });
        });
        if let Err(error) = spawned {
            // The connection is dropped, so its caller sees that it is closed.
            log::error!("event=connection_dropped reason={error}");
        }
    }

    fn watch_idle(self: &Arc<Self>, conn: Conn, guard: OpenConnectionGuard) {
        let Some(policy) = &self.idle else { return };
        let service = Arc::clone(self);
        policy.monitor.watch(IdleConn {
            conn,
            since: self.clock.now(),
            deadline: Arc::clone(&policy.deadline),
            is_caller_conn: policy.is_caller_conn,
            resume: Box::new(move |conn| service.spawn(conn, guard)),
        });
    }
}

impl Listener {
    /// Listens on `address` and serves up to `max_connections` concurrent connections, each in a thread of its own
    /// until it is closed.
    ///
    /// `serve` receives each connection, `refuse` those beyond `max_connections`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the thread cannot be created.
    pub fn bind(
        address: SocketAddr,
        clock: Clock,
        max_connections: usize,
        serve: impl Fn(Conn) + Send + Sync + 'static,
        refuse: impl Fn(Conn) + Send + Sync + 'static,
    ) -> io::Result<Listener> {
        let serve_until_closed = move |conn| {
            serve(conn);
            ConnOutcome::Closed
        };
        Listener::bind_with(address, clock, max_connections, None, serve_until_closed, refuse)
    }

    /// Listens on `address` and serves up to `max_connections` concurrent connections; idle connections have no thread.
    ///
    /// `serve` receives each connection that is new or has become readable. Connections beyond `max_connections` are
    /// closed.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the thread cannot be created.
    pub fn bind_with_idle(
        address: SocketAddr,
        clock: Clock,
        max_connections: usize,
        idle: IdlePolicy,
        serve: impl Fn(Conn) -> ConnOutcome + Send + Sync + 'static,
    ) -> io::Result<Listener> {
        Listener::bind_with(address, clock, max_connections, Some(idle), serve, drop)
    }

    fn bind_with(
        address: SocketAddr,
        clock: Clock,
        max_connections: usize,
        idle: Option<IdlePolicy>,
        serve: impl Fn(Conn) -> ConnOutcome + Send + Sync + 'static,
        refuse: impl Fn(Conn) + Send + Sync + 'static,
    ) -> io::Result<Listener> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let open_connections = Arc::new(AtomicUsize::new(0));
        let (stop, count) = (Arc::clone(&stopped), Arc::clone(&open_connections));
        let service = Arc::new(ConnService { serve, idle, clock: clock.clone() });
        let (supervised, stopping) = (clock.clone(), Arc::clone(&stop));
        let accept = move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(conn) = Conn::new(stream, clock.clone()) else { continue };
                if count.load(Ordering::SeqCst) >= max_connections {
                    refuse(conn);
                    continue;
                }
                count.fetch_add(1, Ordering::SeqCst);
                service.spawn(conn, OpenConnectionGuard(Arc::clone(&count)));
            }
        };
        let thread = thread::Builder::new().name("accept".to_owned()).spawn(move || {
            let is_needed = || !stopping.load(Ordering::SeqCst);
            supervisor::keep_running("accept", &supervised, is_needed, accept);
        })?;
        Ok(Listener { address, stopped, open_connections, thread: Some(thread) })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::SeqCst)
    }

    /// Stops accepting connections; open ones continue to be served.
    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // This connection makes the call to accept return, after which the thread reads the flag.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if self.thread.is_some() {
            self.stop();
        }
    }
}

/// Closes a connection after a rejection whose request may not have been read completely: closes the sending direction,
/// then reads and discards data until the caller closes its direction too, within limits of size and time. Closing both
/// directions with unread or arriving data would reset the connection, and the caller could lose the response.
pub fn lingering_close(conn: &mut Conn) {
    conn.shutdown_write();
    let deadline = conn.clock().now() + DISCARD_TIMEOUT;
    let mut discarded = 0;
    while discarded < DISCARD_BYTES_MAX && conn.fill_until(deadline, None).is_ok() {
        discarded += conn.buffered().len();
        conn.consume(conn.buffered().len());
    }
}
