//! Watches whether a caller still waits for its answer.

use std::time::{Duration, Instant};

use crate::{
    instance::{requests::request::Request, shared::Shared},
    link::http1::{Conn, conn::ConnState},
};

/// Period at which a caller that sends no more is probed for still reading.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Watches whether a caller still waits for its answer.
///
/// A caller that has closed its sending side may still read: an interim answer, which every
/// HTTP/1.1 caller passes over, shows whether it does.
pub struct CallerWatch<'w> {
    shared: &'w Shared,
    can_probe: bool,
    /// The request is to be carried through whether or not its caller waits.
    must_complete: bool,
    last_probe: Option<Instant>,
}

impl<'w> CallerWatch<'w> {
    /// Returns a watch over the caller of `request`; with `must_complete`, the request is carried through
    /// whether or not its caller waits.
    pub fn new(shared: &'w Shared, request: &Request, must_complete: bool) -> CallerWatch<'w> {
        CallerWatch { shared, can_probe: !request.http10, must_complete, last_probe: None }
    }

    /// Returns whether the caller on `conn` still waits.
    pub fn is_waiting(&mut self, conn: &mut Conn) -> bool {
        if self.must_complete {
            return true;
        }
        match conn.state() {
            ConnState::Broken => false,
            ConnState::Open | ConnState::Readable => true,
            ConnState::HalfClosed => !self.can_probe || self.probe(conn),
        }
    }

    fn probe(&mut self, conn: &mut Conn) -> bool {
        let now = self.shared.clock.now();
        if self.last_probe.is_some_and(|at| now.duration_since(at) < PROBE_INTERVAL) {
            return true;
        }
        self.last_probe = Some(now);
        conn.send(b"HTTP/1.1 100 Continue\r\n\r\n", PROBE_INTERVAL).is_ok()
    }
}
