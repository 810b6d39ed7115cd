//! The links of one instance to all backend servers, which can be severed while other instances keep theirs.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use cartvane::{link::dialer::Dialer, utils::sync::lock};

use crate::proxy::{LinkMode, Proxy};

/// How an instance is cut off from backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// New connections are not established in time, and open ones carry nothing.
    Hang,
    /// New connections are refused, and open ones are reset.
    Reset,
    /// New connections are refused, and open ones live on.
    RefuseNew,
}

/// Links of one instance.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    proxies: HashMap<SocketAddr, Proxy>,
    cut: Option<Cut>,
    /// Servers whose links stay whole in a cut.
    spared: Vec<SocketAddr>,
    dialled: usize,
}

impl Links {
    /// Returns the dialer of the instance.
    pub fn dialer(&self) -> Dialer {
        let links = self.clone();
        Dialer::new(move |address, timeout| links.dial(address, timeout))
    }

    /// Severs the links to all servers.
    pub fn sever(&self, cut: Cut) {
        self.sever_except(cut, &[]);
    }

    /// Severs the links to all servers but `spared`.
    pub fn sever_except(&self, cut: Cut, spared: &[SocketAddr]) {
        let mut state = lock(&self.0);
        state.cut = Some(cut);
        state.spared = spared.to_vec();
        state.set_modes();
    }

    /// Restores all links. Connections on which bytes were held up carry them now.
    pub fn restore(&self) {
        let mut state = lock(&self.0);
        state.cut = None;
        state.set_modes();
    }

    /// Closes all connections for good.
    pub fn close(&self) {
        self.sever(Cut::Reset);
        lock(&self.0).proxies.clear();
    }

    /// Returns how many connections the instance has tried to open.
    pub fn dialled(&self) -> usize {
        lock(&self.0).dialled
    }

    fn dial(&self, address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        let through = {
            let mut state = lock(&self.0);
            state.dialled += 1;
            state.through(address)?
        };
        match through {
            Ok(proxy) => TcpStream::connect_timeout(&proxy, timeout),
            Err(Cut::Hang) => {
                thread::sleep(timeout);
                Err(io::ErrorKind::TimedOut.into())
            }
            Err(Cut::Reset | Cut::RefuseNew) => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }
}

impl State {
    /// Returns the proxy by which a server is reached now, or why it is not.
    fn through(&mut self, address: SocketAddr) -> io::Result<Result<SocketAddr, Cut>> {
        if let Some(cut) = self.cut_to(address) {
            return Ok(Err(cut));
        }
        if let Some(proxy) = self.proxies.get(&address) {
            return Ok(Ok(proxy.address()));
        }
        let proxy = Proxy::spawn(address)?;
        let through = proxy.address();
        self.proxies.insert(address, proxy);
        Ok(Ok(through))
    }

    fn cut_to(&self, address: SocketAddr) -> Option<Cut> {
        self.cut.filter(|_| !self.spared.contains(&address))
    }

    fn set_modes(&self) {
        for (&address, proxy) in &self.proxies {
            proxy.set_mode(match self.cut_to(address) {
                Some(Cut::Hang) => LinkMode::Blocked,
                Some(Cut::Reset) => LinkMode::Reset,
                Some(Cut::RefuseNew) | None => LinkMode::Open,
            });
        }
    }
}
