//! Kept connections to services that answer one call at a time on each.

use std::{collections::HashMap, io, net::SocketAddr, sync::Mutex, time::Duration};

use super::http1::{Conn, conn::ConnState};
use crate::{clock::Clock, utils::sync::lock};

/// Idle connections kept for each address.
const IDLE_MAX: usize = 4;

/// Idle connections by address.
pub struct KeptConns {
    idle: Mutex<HashMap<SocketAddr, Vec<Conn>>>,
    clock: Clock,
    connect_time: Duration,
}

impl KeptConns {
    /// Returns an empty pool whose new connections are made within `connect_time`.
    pub fn new(clock: Clock, connect_time: Duration) -> KeptConns {
        KeptConns { idle: Mutex::default(), clock, connect_time }
    }

    /// Takes a kept connection that the other side has not closed.
    pub fn take(&self, to: SocketAddr) -> Option<Conn> {
        loop {
            let conn = lock(&self.idle).get_mut(&to)?.pop()?;
            if conn.state() == ConnState::Open {
                return Some(conn);
            }
        }
    }

    /// Makes a new connection.
    ///
    /// # Errors
    ///
    /// It is refused or not made in time; nothing has been sent.
    pub fn connect(&self, to: SocketAddr) -> io::Result<Conn> {
        Conn::connect(to, self.connect_time, &self.clock)
    }

    /// Keeps a connection whose reply was read to its end.
    pub fn put(&self, to: SocketAddr, mut conn: Conn) {
        conn.give_back_buffer();
        let mut idle = lock(&self.idle);
        let conns = idle.entry(to).or_default();
        if conns.len() < IDLE_MAX {
            conns.push(conn);
        }
    }

    /// Drops the kept connections to an address: where one went silent, the others may have too.
    pub fn forget(&self, to: SocketAddr) {
        lock(&self.idle).remove(&to);
    }
}
