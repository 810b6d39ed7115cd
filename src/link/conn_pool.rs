//! Calls on kept connections, one at a time on each.

use std::{collections::HashMap, io, net::SocketAddr, sync::Mutex, time::Duration};

use http::Method;

use super::{
    call::{CallError, CallReply, CallTimeouts, call},
    http1::{Conn, conn::ConnState},
};
use crate::{clock::Clock, utils::sync::lock};

/// Idle connections kept for each address.
const IDLE_MAX: usize = 4;

/// What is sent, and how.
pub struct Call<'c> {
    /// Method.
    pub method: Method,
    /// Returns the whole request, given whether it is the first on its connection.
    pub message: &'c dyn Fn(bool) -> Vec<u8>,
    /// How long it may take.
    pub timeouts: CallTimeouts,
    /// Largest body of a reply, in bytes.
    pub reply_max: usize,
    /// Says whether a call that failed so on a kept connection is made once more, on a new one.
    pub may_retry: fn(&CallError) -> bool,
}

/// Why a call was not made or brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// There is no connection; nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The call was sent, or a part of it.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Idle connections by address.
pub struct ConnPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Conn>>>,
    clock: Clock,
    connect_time: Duration,
}

impl ConnPool {
    /// Returns an empty pool whose new connections are made within `connect_time`.
    pub fn new(clock: Clock, connect_time: Duration) -> ConnPool {
        ConnPool { idle: Mutex::default(), clock, connect_time }
    }

    /// Makes a call on a kept connection that the other side has not closed, or on a new one.
    ///
    /// # Errors
    ///
    /// See [`PoolError`].
    pub fn call(&self, to: SocketAddr, asked: &Call<'_>) -> Result<CallReply, PoolError> {
        if let Some(conn) = self.take(to) {
            match self.call_on(conn, to, asked, false) {
                Err(fault) if (asked.may_retry)(&fault) => {}
                result => return Ok(result?),
            }
        }
        let conn = self.connect(to)?;
        Ok(self.call_on(conn, to, asked, true)?)
    }

    /// Makes a new connection.
    ///
    /// # Errors
    ///
    /// It is refused or not made in time; nothing has been sent.
    pub fn connect(&self, to: SocketAddr) -> io::Result<Conn> {
        Conn::connect(to, self.connect_time, &self.clock)
    }

    fn call_on(
        &self,
        mut conn: Conn,
        to: SocketAddr,
        asked: &Call<'_>,
        first: bool,
    ) -> Result<CallReply, CallError> {
        let message = (asked.message)(first);
        let result = call(&mut conn, &asked.method, &message, &asked.timeouts, asked.reply_max);
        match &result {
            Ok(reply) if reply.keep_alive => self.put(to, conn),
            Ok(_) => {}
            // Where one connection went silent, the others may have too.
            Err(_) => drop(lock(&self.idle).remove(&to)),
        }
        result
    }

    fn take(&self, to: SocketAddr) -> Option<Conn> {
        loop {
            let conn = lock(&self.idle).get_mut(&to)?.pop()?;
            if conn.state() == ConnState::Open {
                return Some(conn);
            }
        }
    }

    fn put(&self, to: SocketAddr, mut conn: Conn) {
        conn.release_buffer();
        let mut idle = lock(&self.idle);
        let conns = idle.entry(to).or_default();
        if conns.len() < IDLE_MAX {
            conns.push(conn);
        }
    }
}
