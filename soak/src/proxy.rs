//! A loopback proxy whose links can be delayed, cut one way, silenced or reset.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use cartvane::utils::sync::lock;

/// Pause between two looks at a link that lets nothing through.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the link behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// It passes bytes on.
    Open,
    /// It passes them on this late.
    Delayed(Duration),
    /// It passes nothing back; bytes wait, as behind a partition.
    OneWay,
    /// It passes nothing; bytes wait.
    Blocked,
    /// Connections are closed, new ones too.
    Reset,
}

struct Shared {
    mode: Mutex<LinkMode>,
    target: Mutex<SocketAddr>,
    /// Both ends of each connection, to reset them.
    open: Mutex<Vec<TcpStream>>,
    closed: AtomicBool,
}

/// A running proxy.
pub(crate) struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Listens on a port of its own before `target`.
    pub(crate) fn spawn(target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            mode: Mutex::new(LinkMode::Open),
            target: Mutex::new(target),
            open: Mutex::default(),
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

    /// Returns the address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the link behaves.
    pub(crate) fn set_mode(&self, mode: LinkMode) {
        *lock(&self.shared.mode) = mode;
        if mode == LinkMode::Reset {
            self.reset_all();
        }
    }

    /// Leads to another target from now on; what was open is reset.
    pub(crate) fn retarget(&self, target: SocketAddr) {
        *lock(&self.shared.target) = target;
        self.reset_all();
    }

    fn reset_all(&self) {
        for stream in lock(&self.shared.open).drain(..) {
            // A connection that has ended needs no reset.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        self.reset_all();
        // The accept call returns for this connection and sees the end.
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
        // Delays of small packets would hide the order of events.
        let _ = to.set_nodelay(true);
        lock(&shared.open).push(kept);
        let shared = Arc::clone(shared);
        thread::spawn(move || forward(&shared, from, to, is_response));
    }
}

fn forward(shared: &Shared, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let count = match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
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
                LinkMode::Reset => return shut_down(&from, &to),
                LinkMode::OneWay | LinkMode::Blocked => thread::sleep(POLL_INTERVAL),
            }
            if shared.closed.load(Ordering::SeqCst) {
                return shut_down(&from, &to);
            }
        }
        if to.write_all(&buf[..count]).is_err() {
            return shut_down(&from, &to);
        }
    }
    // The other direction goes on, as after a half close.
    let _ = to.shutdown(Shutdown::Write);
}

fn shut_down(from: &TcpStream, to: &TcpStream) {
    // Ends that are gone need no cutting.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
