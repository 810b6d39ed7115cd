//! Opens TCP connections to backend servers.

use std::{
    fmt, io,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

type Dial = dyn Fn(SocketAddr, Duration) -> io::Result<TcpStream> + Send + Sync;

/// Opens TCP connections. It is passed in like the clock, so that tests can sever the links of a single instance.
#[derive(Clone)]
pub struct Dialer(Arc<Dial>);

impl Dialer {
    /// Returns the dialer of the operating system.
    pub fn system() -> Dialer {
        Dialer::new(|address, timeout| TcpStream::connect_timeout(&address, timeout))
    }

    /// Returns a dialer that calls this closure with the address and the timeout, which is not zero.
    pub fn new(
        dial: impl Fn(SocketAddr, Duration) -> io::Result<TcpStream> + Send + Sync + 'static,
    ) -> Dialer {
        Dialer(Arc::new(dial))
    }

    /// Connects to `address` within `timeout`, which must not be zero.
    ///
    /// # Errors
    ///
    /// The connection is refused or not established in time.
    pub fn dial(&self, address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        (self.0)(address, timeout)
    }
}

impl fmt::Debug for Dialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Dialer")
    }
}
