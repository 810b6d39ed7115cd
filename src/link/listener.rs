//! Listeners: a thread for each connection on which something is asked, none for those that are idle.

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
};

/// Stack of a connection's thread; touched only as deep as it is used.
const STACK: usize = 512 << 10;

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bytes of a refused request that are read and dropped, so that the caller sees the answer: as many as
/// the largest body that the users allow.
const DISCARD_MAX: usize = 4 << 20;

/// Longest time spent on reading what is dropped: a large body over a slow link, and little enough for a
/// connection that a caller leaves open.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// What has become of a connection.
pub enum ConnOutcome {
    /// It has ended.
    Closed,
    /// It waits for its next request.
    Idle(Conn),
}

/// How a listener's idle connections wait.
#[derive(Clone)]
pub struct IdlePolicy {
    /// The watch over them.
    pub monitor: IdleMonitor,
    /// Returns until when one may wait that has been idle since then.
    pub deadline: Arc<dyn Fn(Instant) -> Instant + Send + Sync>,
    /// Whether they end when callers' idle connections are to close.
    pub is_callers: bool,
}

/// A running listener.
pub struct Listener {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open_connections: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

/// Counts a connection for as long as it lives, also when its thread panics.
struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// What serves a listener's connections.
struct Service<S> {
    serve: S,
    idle: Option<IdlePolicy>,
    clock: Clock,
}

impl<S: Fn(Conn) -> ConnOutcome + Send + Sync + 'static> Service<S> {
    /// Serves a connection in a thread of its own.
    fn spawn(self: &Arc<Self>, conn: Conn, guard: OpenGuard) {
        let service = Arc::clone(self);
        let thread = thread::Builder::new().name("conn".to_owned()).stack_size(STACK);
        let spawned = thread.spawn(move || {
            if let ConnOutcome::Idle(conn) = (service.serve)(conn) {
                service.wait(conn, guard);
            }
        });
        if let Err(fault) = spawned {
            // The connection is dropped, which its caller sees.
            log::error!("event=connection_dropped reason={fault}");
        }
    }

    fn wait(self: &Arc<Self>, conn: Conn, guard: OpenGuard) {
        let Some(rules) = &self.idle else { return };
        let service = Arc::clone(self);
        rules.monitor.watch(IdleConn {
            conn,
            since: self.clock.now(),
            deadline: Arc::clone(&rules.deadline),
            is_callers: rules.is_callers,
            resume: Box::new(move |conn| service.spawn(conn, guard)),
        });
    }
}

impl Listener {
    /// Listens on `address` and serves up to `most` connections at once, each in a thread of its own until it
    /// ends.
    ///
    /// `serve` is given each connection; `refuse` those beyond `most`.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn bind(
        address: SocketAddr,
        clock: Clock,
        most: usize,
        serve: impl Fn(Conn) + Send + Sync + 'static,
        refuse: impl Fn(Conn) + Send + Sync + 'static,
    ) -> io::Result<Listener> {
        let until_ended = move |conn| {
            serve(conn);
            ConnOutcome::Closed
        };
        Listener::bind_with(address, clock, most, None, until_ended, refuse)
    }

    /// Listens on `address` and serves up to `most` connections at once; those that wait for their next request
    /// hold no thread.
    ///
    /// `serve` is given a connection that is new or on which something has come; `refuse` those beyond `most`.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn bind_with_idle(
        address: SocketAddr,
        clock: Clock,
        most: usize,
        idle: IdlePolicy,
        serve: impl Fn(Conn) -> ConnOutcome + Send + Sync + 'static,
    ) -> io::Result<Listener> {
        Listener::bind_with(address, clock, most, Some(idle), serve, drop)
    }

    fn bind_with(
        address: SocketAddr,
        clock: Clock,
        most: usize,
        idle: Option<IdlePolicy>,
        serve: impl Fn(Conn) -> ConnOutcome + Send + Sync + 'static,
        refuse: impl Fn(Conn) + Send + Sync + 'static,
    ) -> io::Result<Listener> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let open_connections = Arc::new(AtomicUsize::new(0));
        let (stop, count) = (Arc::clone(&stopped), Arc::clone(&open_connections));
        let service = Arc::new(Service { serve, idle, clock: clock.clone() });
        let thread = thread::Builder::new().name("accept".to_owned()).spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(conn) = Conn::new(stream, clock.clone()) else { continue };
                if count.load(Ordering::SeqCst) >= most {
                    refuse(conn);
                    continue;
                }
                count.fetch_add(1, Ordering::SeqCst);
                service.spawn(conn, OpenGuard(Arc::clone(&count)));
            }
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

    /// Stops taking connections; those that are open go on.
    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // The accept call returns for this connection and sees that it is to stop.
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

/// Ends a connection after a refusal whose request may still be coming in: closes the own direction, then
/// reads and drops the rest until the caller closes too, for a moment. Closing both directions with bytes
/// unread, or still to come, would reset the connection and destroy the answer on its way.
pub fn lingering_close(conn: &mut Conn) {
    conn.shutdown_write();
    let deadline = conn.clock().now() + DISCARD_TIME;
    let mut dropped = 0;
    while dropped < DISCARD_MAX && conn.fill_until(deadline, None).is_ok() {
        dropped += conn.buffered().len();
        conn.consume(conn.buffered().len());
    }
}
