//! A loopback TCP proxy that can delay, block (in one or both directions) or reset its connections.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use cartvane::utils::sync::lock;

/// Interval at which a blocked connection checks the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the proxy treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards bytes.
    Open,
    /// Forwards bytes after this delay.
    Delayed(Duration),
    /// Forwards no bytes to the client; they wait, as in a network partition.
    OneWay,
    /// Forwards nothing; bytes wait.
    Blocked,
    /// Closes all connections, new ones as well.
    Reset,
}

struct Shared {
    mode: Mutex<LinkMode>,
    target: Mutex<SocketAddr>,
    /// Sockets from which bytes are forwarded, to shut them down.
    open: Mutex<HashMap<u64, TcpStream>>,
    /// Number of sockets so far.
    opened: AtomicU64,
    closed: AtomicBool,
}

/// A running proxy.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Listens on a free port and forwards connections to `target`.
    pub fn spawn(target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            mode: Mutex::new(LinkMode::Open),
            target: Mutex::new(target),
            open: Mutex::default(),
            opened: AtomicU64::new(0),
            closed: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        thread::Builder::new().name("proxy".to_owned()).spawn(move || {
            for client in listener.incoming() {
                if accepting.closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(client) = client else { continue };
                connect(&accepting, client);
            }
        })?;
        Ok(Proxy { address, shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode, for open connections as well.
    pub fn set_mode(&self, mode: LinkMode) {
        *lock(&self.shared.mode) = mode;
        if mode == LinkMode::Reset {
            self.reset_all();
        }
    }

    /// Forwards new connections to another target and closes the open ones.
    pub fn retarget(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
        self.reset_all();
    }

    fn reset_all(&self) {
        for (_, stream) in lock(&self.shared.open).drain() {
            reset(&stream);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        self.reset_all();
        // Unblocks the accept call, which then sees that the proxy is closed.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
    }
}

fn connect(shared: &Arc<Shared>, client: TcpStream) {
    if *lock(&shared.mode) == LinkMode::Reset {
        return;
    }
    let target = *lock(&shared.target);
    let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
    let pair = [(&client, &server, false), (&server, &client, true)];
    for (from, to, is_response) in pair {
        let (Ok(from), Ok(to), Ok(kept)) = (from.try_clone(), to.try_clone(), from.try_clone())
        else {
            return;
        };
        // Nagle's algorithm would delay small packets and hide the order of events.
        let _ = to.set_nodelay(true);
        let number = shared.opened.fetch_add(1, Ordering::SeqCst);
        lock(&shared.open).insert(number, kept);
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            forward(&shared, from, to, is_response);
            lock(&shared.open).remove(&number);
        });
    }
}

fn forward(shared: &Shared, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let count = match from.read(&mut buf) {
            Ok(0) => break,
            // A reset is passed on, so that it does not look like the end of a message.
            Err(_) => return reset_both(&from, &to),
            Ok(count) => count,
        };
        loop {
            let mode = *lock(&shared.mode);
            match mode {
                LinkMode::Open => break,
                LinkMode::Delayed(time) => {
                    thread::sleep(time);
                    break;
                }
                LinkMode::OneWay if !is_response => break,
                LinkMode::Reset => return reset_both(&from, &to),
                LinkMode::OneWay | LinkMode::Blocked => thread::sleep(POLL_INTERVAL),
            }
            if shared.closed.load(Ordering::SeqCst) {
                return reset_both(&from, &to);
            }
        }
        if to.write_all(&buf[..count]).is_err() {
            return reset_both(&from, &to);
        }
    }
    // Half-close: the other direction stays open.
    let _ = to.shutdown(Shutdown::Write);
}

fn reset_both(from: &TcpStream, to: &TcpStream) {
    reset(from);
    reset(to);
}

/// Resets a connection, whatever other handles of it there are.
fn reset(stream: &TcpStream) {
    if rustix::net::connect_unspec(stream).is_err() {
        // Fails if the connection is closed already.
        let _ = stream.shutdown(Shutdown::Both);
    }
}
