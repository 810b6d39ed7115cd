//! Detects callers that no longer wait for their response.

use std::time::{Duration, Instant};

use crate::{
    instance::{requests::request::Request, shared::Shared},
    link::http1::{Conn, conn::ConnState},
};

/// Interval between probes of a caller that has closed its sending side; also the time-out of a probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Detects whether a caller still waits for its response.
///
/// A caller that has closed its sending side may still read: an interim response, which every HTTP/1.1 client
/// ignores, shows whether it does. HTTP/1.0 has no interim responses; such callers count as waiting until the
/// connection breaks.
pub struct CallerWatch<'w> {
    shared: &'w Shared,
    can_probe: bool,
    /// The request runs to its end even if its caller disconnects.
    must_complete: bool,
    last_probe: Option<Instant>,
}

impl<'w> CallerWatch<'w> {
    /// Returns a watch over the caller of `request`; with `must_complete`, the caller always counts as waiting.
    pub fn new(shared: &'w Shared, request: &Request, must_complete: bool) -> CallerWatch<'w> {
        CallerWatch { shared, can_probe: !request.http10, must_complete, last_probe: None }
    }

    /// Returns whether the caller on `conn` counts as waiting.
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
