//! A link whose open connections can go silent for good, without an end, while new ones work.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Longest wait for bytes before a connection looks whether it is muted.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// A running link to one address.
pub struct MutableLink {
    address: SocketAddr,
    /// Connections of earlier generations are silent.
    generation: Arc<AtomicUsize>,
    accepted: Arc<AtomicUsize>,
}

impl MutableLink {
    /// Starts a link to `to` on a port of its own.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn spawn(to: SocketAddr) -> io::Result<MutableLink> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let (generation, accepted) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (now, count) = (Arc::clone(&generation), Arc::clone(&accepted));
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let Ok(far) = TcpStream::connect(to) else { continue };
                let own = now.load(Ordering::SeqCst);
                for (from, into) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) else {
                        continue;
                    };
                    let now = Arc::clone(&now);
                    thread::spawn(move || {
                        pass_on(from, into, || now.load(Ordering::SeqCst) != own)
                    });
                }
            }
        });
        Ok(MutableLink { address, generation, accepted })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has all open connections go silent for good.
    pub fn mute(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns how many connections have been made.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

/// Passes bytes on until an end; a muted connection stays open and drops what comes.
fn pass_on(mut from: TcpStream, mut into: TcpStream, is_muted: impl Fn() -> bool) {
    let mut buf = [0; 16 << 10];
    if from.set_read_timeout(Some(LOOK_PERIOD)).is_err() {
        return;
    }
    loop {
        match from.read(&mut buf) {
            Ok(0) => break,
            Ok(_) if is_muted() => {}
            Ok(count) if into.write_all(&buf[..count]).is_ok() => {}
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            _ => break,
        }
    }
    if !is_muted() {
        // Either end may be gone already.
        let _ = into.shutdown(Shutdown::Write);
    }
}
