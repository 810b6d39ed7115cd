//! Addresses that an instance listens on and is reached at.

use std::net::SocketAddr;

use crate::configs::reader::{Address, TableReader};

/// Addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// Where other instances reach `peers`; unset: the bound address.
    pub advertised: Option<SocketAddr>,
    /// Peers' addresses of some other instances, asked while the membership list is out.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Listen {
    /// Loopback with ports that the machine chooses; a real instance states its own.
    fn default() -> Listen {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Listen { callers: any, peers: any, operators: any, advertised: None, seeds: Vec::new() }
    }
}

impl Listen {
    /// Reads `[listen]`.
    pub fn read(root: &TableReader<'_, '_>) -> Option<Listen> {
        let Some(table) = root.table("listen") else {
            root.add_error(
                "listen",
                "is missing; state the addresses for callers, peers and operators",
            );
            return None;
        };
        let callers = table.required_address("callers");
        let peers = table.required_address("peers");
        let operators = table.required_address("operators");
        let advertised = table.address("advertised");
        if peers.is_some_and(|a| a.ip().is_unspecified()) && advertised.is_none() {
            table.add_error(
                "advertised",
                "is needed when peers listens on every address; state where others reach it",
            );
        }
        if advertised.is_some_and(|a| a.ip().is_unspecified()) {
            table.add_error(
                "advertised",
                "is no address to connect to; state one that others reach",
            );
        }
        let seeds = table.texts::<Address>("seeds").into_iter().map(|seed| seed.0).collect();
        table.finish();
        Some(Listen { callers: callers?, peers: peers?, operators: operators?, advertised, seeds })
    }
}
