//! `[listen]`: addresses that an instance listens on, and at which other instances reach it.

use std::net::SocketAddr;

use crate::configs::reader::{Address, TableReader};

/// Addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address at which other instances reach `peers`; the bound address if unset.
    pub advertised: Option<SocketAddr>,
    /// Peer addresses of some other instances, queried while the membership list is unavailable.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Listen {
    /// Loopback addresses with ports chosen by the operating system; deployed instances set their own.
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
                "is missing; set the addresses for callers, peers and operators",
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
                "is required if peers listens on all addresses; set one that other instances can reach",
            );
        }
        if advertised.is_some_and(|a| a.ip().is_unspecified()) {
            table.add_error(
                "advertised",
                "is not an address to connect to; set one that other instances can reach",
            );
        }
        let seeds = table.texts::<Address>("seeds").into_iter().map(|seed| seed.0).collect();
        table.finish();
        Some(Listen { callers: callers?, peers: peers?, operators: operators?, advertised, seeds })
    }
}
