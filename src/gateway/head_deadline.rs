//! Decides how long an attempt waits for the response head before the request is retried at another server.

use std::time::{Duration, Instant};

use super::forward::{FAILURE_RESERVE, Forwarding};
use crate::{
    routing::{Incarnation, PickRequest, RouteKind},
    utils::sync::lock,
};

/// Minimum wait for the response head of an idempotent request before a retry at another server.
const HEAD_WAIT_MIN: Duration = Duration::from_millis(250);

/// Maximum wait for the head of a resumable stream before a retry at another server, in target latencies of the route.
/// A server at capacity is late by less, and callers give up after four target latencies.
const STREAM_HEAD_WAIT_TARGETS: u32 = 2;

impl Forwarding<'_> {
    /// Returns how long to wait for the response head before a retry at another server.
    pub(super) fn head_deadline(&self, now: Instant, server: &Incarnation) -> Instant {
        let route = &self.request.route;
        if !self.could_retry_elsewhere(now, server) {
            return self.request.deadline;
        }
        let wait = match route.kind {
            RouteKind::ResumableStream => route.target_latency * STREAM_HEAD_WAIT_TARGETS,
            _ => route.target_latency.max(HEAD_WAIT_MIN),
        };
        self.request.deadline.min(now + wait)
    }

    /// Returns how much longer to wait for the response head after its first deadline; `None` to retry at another
    /// server now, or if the request is out of time.
    ///
    /// The server or the retry that was available when the wait started may have been used meanwhile.
    pub(super) fn extended_head_deadline(&self, server: &Incarnation) -> Option<Instant> {
        let now = self.gateway.clock.now();
        if now >= self.request.deadline || self.could_retry_elsewhere(now, server) {
            return None;
        }
        Some(self.request.deadline.min(now + HEAD_WAIT_MIN))
    }

    /// Returns whether a request that is slow at `server` could be retried at another one. Otherwise ending the attempt
    /// would only lose the request.
    pub fn could_retry_elsewhere(&self, now: Instant, server: &Incarnation) -> bool {
        if !self.attempts.may_retry_after_current(&self.request.route) {
            return false;
        }
        let mut tried = self.attempts.servers().to_vec();
        tried.push(server.clone());
        let pick_request = PickRequest {
            affinity: None,
            tried: &tried,
            admission: Some(self.request.admission_terms()),
            ..self.pick_request(None)
        };
        let has_other = lock(&self.gateway.picker).pick(now, &pick_request).is_ok();
        has_other && self.gateway.has_retry(now, &self.request.service, FAILURE_RESERVE)
    }
}
