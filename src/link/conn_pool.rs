//! Calls on pooled connections, one at a time on each.

use std::{collections::HashMap, io, net::SocketAddr, sync::Mutex, time::Duration};

use http::Method;

use super::{
    call::{CallError, CallReply, CallTimeouts, call},
    http1::{Conn, conn::ConnState},
    pool_check::take_unusable,
};
use crate::{clock::Clock, utils::sync::lock};

/// Maximum number of idle connections for each address.
const IDLE_MAX_PER_ADDRESS: usize = 4;

/// Parameters of a call.
pub struct Call<'c> {
    /// Method.
    pub method: Method,
    /// Returns the complete request, given whether it is the first one on its connection.
    pub message: &'c dyn Fn(bool) -> Vec<u8>,
    /// Timeouts.
    pub timeouts: CallTimeouts,
    /// Maximum size of a reply's body in bytes.
    pub reply_max: usize,
    /// Returns whether a call that failed with this error on a pooled connection is retried once, on a new one.
    pub may_retry: fn(&CallError) -> bool,
}

/// Error of a call, or of the connection for it.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// No connection could be established; nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The call failed after it was sent, completely or partly.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Pool of idle connections by address.
pub struct ConnPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Conn>>>,
    clock: Clock,
    connect_timeout: Duration,
}

impl ConnPool {
    /// Returns an empty pool with a timeout for new connections.
    pub fn new(clock: Clock, connect_timeout: Duration) -> ConnPool {
        ConnPool { idle: Mutex::default(), clock, connect_timeout }
    }

    /// Makes a call on a pooled connection that the peer has not closed, or on a new one.
    ///
    /// # Errors
    ///
    /// See [`PoolError`].
    pub fn call(&self, to: SocketAddr, request: &Call<'_>) -> Result<CallReply, PoolError> {
        if let Some(conn) = self.take(to) {
            match self.call_on(conn, to, request, false) {
                Err(error) if (request.may_retry)(&error) => {}
                result => return Ok(result?),
            }
        }
        let conn = self.connect(to)?;
        Ok(self.call_on(conn, to, request, true)?)
    }

    /// Establishes a new connection.
    ///
    /// # Errors
    ///
    /// The connection is refused or not established in time. Nothing has been sent then.
    pub fn connect(&self, to: SocketAddr) -> io::Result<Conn> {
        Conn::connect(to, self.connect_timeout, &self.clock)
    }

    /// Closes idle connections that the peer has closed, or on which bytes have arrived since the last call. To be called
    /// each [`POOL_CHECK_PERIOD`](super::pool_check::POOL_CHECK_PERIOD).
    pub fn close_unusable(&self) {
        let unusable = take_unusable(&mut lock(&self.idle), |_| true, |conn| conn);
        drop(unusable);
    }

    fn call_on(
        &self,
        mut conn: Conn,
        to: SocketAddr,
        request: &Call<'_>,
        is_first: bool,
    ) -> Result<CallReply, CallError> {
        let message = (request.message)(is_first);
        let result =
            call(&mut conn, &request.method, &message, &request.timeouts, request.reply_max);
        match &result {
            Ok(reply) if reply.keep_alive => self.put(to, conn),
            Ok(_) => {}
            // When one connection to an address has failed, the others may have failed too.
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
        if conns.len() < IDLE_MAX_PER_ADDRESS {
            conns.push(conn);
        }
    }
}
