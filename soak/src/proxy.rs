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
pub(crate) enum Link {
    /// It passes bytes on.
    Open,
    /// It passes them on this late.
    Delayed(Duration),
    /// It passes nothing back; bytes wait, as behind a partition.
    OneWay,
    /// It passes nothing; bytes wait.
    Silent,
    /// Connections are closed, new ones too.
    Reset,
}

struct Shared {
    link: Mutex<Link>,
    target: Mutex<SocketAddr>,
    /// Both ends of each connection, to reset them.
    open: Mutex<Vec<TcpStream>>,
    ended: AtomicBool,
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
            link: Mutex::new(Link::Open),
            target: Mutex::new(target),
            open: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        thread::Builder::new().name("proxy".to_owned()).spawn(move || {
            for near in listener.incoming() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(near) = near else { continue };
                connect(&accepting, near);
            }
        })?;
        Ok(Proxy { address, shared })
    }

    /// Returns the address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the link behaves.
    pub(crate) fn set(&self, link: Link) {
        *lock(&self.shared.link) = link;
        if link == Link::Reset {
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
        self.shared.ended.store(true, Ordering::SeqCst);
        self.reset_all();
        // The accept call returns for this connection and sees the end.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
    }
}

fn connect(shared: &Arc<Shared>, near: TcpStream) {
    if *lock(&shared.link) == Link::Reset {
        return;
    }
    let target = *lock(&shared.target);
    let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
    let pair = [(&near, &far, false), (&far, &near, true)];
    for (from, to, back) in pair {
        let (Ok(from), Ok(to), Ok(kept)) = (from.try_clone(), to.try_clone(), from.try_clone())
        else {
            return;
        };
        // Delays of small packets would hide the order of events.
        let _ = to.set_nodelay(true);
        lock(&shared.open).push(kept);
        let shared = Arc::clone(shared);
        thread::spawn(move || pump(&shared, from, to, back));
    }
}

fn pump(shared: &Shared, mut from: TcpStream, mut to: TcpStream, back: bool) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let count = match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        loop {
            let link = *lock(&shared.link);
            match link {
                Link::Open => break,
                Link::Delayed(time) => {
                    thread::sleep(time);
                    break;
                }
                Link::OneWay if !back => break,
                Link::Reset => return cut(&from, &to),
                Link::OneWay | Link::Silent => thread::sleep(POLL_INTERVAL),
            }
            if shared.ended.load(Ordering::SeqCst) {
                return cut(&from, &to);
            }
        }
        if to.write_all(&buf[..count]).is_err() {
            return cut(&from, &to);
        }
    }
    // The other direction goes on, as after a half close.
    let _ = to.shutdown(Shutdown::Write);
}

fn cut(from: &TcpStream, to: &TcpStream) {
    // Ends that are gone need no cutting.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
