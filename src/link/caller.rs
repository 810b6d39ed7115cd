//! The callers' listener: a thread a connection.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{clock::Clock, link::http1::Conn};

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

/// A running listener that serves each connection in a thread of its own.
pub struct Listener {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

/// Counts a connection for as long as it lives, also when its thread panics.
struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Listener {
    /// Listens on `address` and serves up to `most` connections at once.
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
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let open = Arc::new(AtomicUsize::new(0));
        let (stop, count) = (Arc::clone(&stopped), Arc::clone(&open));
        let serve = Arc::new(serve);
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
                let (guard, serve) = (OpenGuard(Arc::clone(&count)), Arc::clone(&serve));
                // A thread that cannot be made drops the connection, which the caller sees.
                let _ = thread::Builder::new().name("conn".to_owned()).stack_size(STACK).spawn(
                    move || {
                        let _guard = guard;
                        serve(conn);
                    },
                );
            }
        })?;
        Ok(Listener { address, stopped, open, thread: Some(thread) })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
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
pub fn linger(conn: &mut Conn) {
    conn.end_sending();
    let until = conn.clock().now() + DISCARD_TIME;
    let mut dropped = 0;
    while dropped < DISCARD_MAX && conn.fill_beside(until, None).is_ok() {
        dropped += conn.buffered().len();
        conn.consume(conn.buffered().len());
    }
}
