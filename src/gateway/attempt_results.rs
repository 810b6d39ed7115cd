//! Records the result of an attempt at a backend server: for the choice of servers, for the evaluation of their software
//! version, for the search for requests that crash servers, and in metrics and logs.

use std::time::{Duration, Instant};

use http::StatusCode;

use super::{crash_suspects::LostRequest, forward::Forwarding};
use crate::{
    contract::outcome::AttemptFault,
    routing::{Incarnation, Picked, PromptPartId, ResponseObservation, ResponseTimes},
    utils::sync::lock,
};

/// Time since the first event after which the request is taken not to crash the server: servers crashed by a request
/// did so 40 to 104 ms after they began to run it.
const SURVIVED_AFTER: Duration = Duration::from_millis(500);

/// As [`SURVIVED_AFTER`], for the parts of its prompt. Where servers crash again and again, few responses last longer,
/// and a part that has crashed none by then is distinguished from those that do.
pub(super) const PART_SURVIVED_AFTER: Duration = Duration::from_millis(250);

/// Maximum number of prompt parts in a log line.
const LOGGED_PARTS_MAX: usize = 32;

impl Forwarding<'_> {
    /// Records that an attempt at a server failed.
    pub fn note_fault(&mut self, picked: &Picked, fault: AttemptFault) {
        let now = self.gateway.clock.now();
        let server = &picked.server.id;
        let is_of_path = self.is_of_path(picked, fault);
        if !is_of_path {
            self.note_server_fault(now, server, fault);
            self.note_version_fault(picked, fault);
        }
        self.attempts.note_failure(server, fault);
        if fault.is_disconnect() {
            self.note_connection_lost(picked, is_of_path);
        }
        self.gateway.metrics.attempt(&self.request.service, Some(fault));
        if fault != AttemptFault::CallerGone {
            let suspect = if fault.is_disconnect() {
                let parts = parts_text(&self.request.shared_parts());
                let digest = self.request.digest();
                format!(" digest={digest} ran_on={} parts={parts}", self.has_survived())
            } else {
                String::new()
            };
            log::info!(
                "event=attempt_failed request={} server={} rank={} load={:.1} fault={fault:?} \
                 outcome={} arrivals={} sent_ms_ago={} received_ms_ago={} path={}{suspect}",
                self.request.metadata.id,
                server,
                picked.rank,
                picked.load,
                fault.outcome(),
                self.attempts.arrivals(),
                millis_since(now, self.sent_at),
                millis_since(now, Some(self.request.received_at)),
                self.path,
            );
        }
    }

    /// Returns whether the current attempt failed on a connection of this instance, which does not reach the server:
    /// that says nothing about the server.
    fn is_of_path(&self, picked: &Picked, fault: AttemptFault) -> bool {
        let is_of_connection = !matches!(fault, AttemptFault::Connect | AttemptFault::NoPath);
        is_of_connection && self.has_lost_path(&picked.server.id)
    }

    fn note_server_fault(&self, now: Instant, server: &Incarnation, fault: AttemptFault) {
        let mut picker = lock(&self.gateway.picker);
        match fault {
            AttemptFault::Connect | AttemptFault::NoPath => picker.note_unreachable(now, server),
            AttemptFault::CallerGone | AttemptFault::Withheld | AttemptFault::BeforeSend => {}
            // A refusal counts too: each further request to the server would spend a retry.
            _ => picker.note_failure(now, server),
        }
    }

    /// Records a fault as evidence on the server's software version. Failed connections are no evidence, as the machine
    /// or the network can cause them too.
    fn note_version_fault(&self, picked: &Picked, fault: AttemptFault) {
        let now = self.gateway.clock.now();
        let waited = self.sent_at.map(|at| now.saturating_duration_since(at));
        let observation = match (fault, waited) {
            (AttemptFault::Garbage, _) => ResponseObservation::Failed,
            (AttemptFault::HeadTimeout, Some(waited)) => ResponseObservation::Took(waited),
            _ => return,
        };
        self.note_version(picked, observation);
    }

    /// Records a response as evidence on the server's software version.
    pub fn note_version(&self, picked: &Picked, observation: ResponseObservation) {
        self.gateway.rollouts.note_response(&self.request.route.name, &picked.server, observation);
    }

    /// Records that the connection ended while the server may have been running the request, which may have crashed it.
    /// If the path to the server is lost, that counts only where the server has ended, or is being checked.
    fn note_connection_lost(&mut self, picked: &Picked, is_of_path: bool) {
        let crash_suspects = &self.gateway.crash_suspects;
        let lost = LostRequest { request: self.request, picked, long_running: self.has_survived() };
        if is_of_path {
            crash_suspects.note_later_disconnect(self.gateway, &lost);
        } else {
            crash_suspects.note_disconnect(self.gateway, &lost);
        }
        if crash_suspects.forbids_retry(self.request) {
            self.attempts.hold();
        }
    }

    /// Returns whether the last server has run the request for long enough that the request is unlikely to crash it.
    fn has_survived(&self) -> bool {
        let running = self.last_attempt.as_ref().and_then(|attempt| attempt.running_since);
        let time = running.map(|since| self.gateway.clock.now().saturating_duration_since(since));
        time.is_some_and(|time| time >= SURVIVED_AFTER)
    }

    /// Records a response with a status of a server error.
    pub(super) fn note_server_error(&mut self, picked: &Picked, status: StatusCode) {
        lock(&self.gateway.picker).note_failure(self.gateway.clock.now(), &picked.server.id);
        self.note_version(picked, ResponseObservation::Failed);
        self.attempts.note_server_error(&picked.server.id);
        log::info!(
            "event=server_error request={} server={} status={}",
            self.request.metadata.id,
            picked.server.id,
            status.as_u16()
        );
    }

    /// Records a successful response that was read to its end, to a request sent at `sent_at`.
    pub(super) fn note_answered(&self, picked: &Picked, sent_at: Instant, head_at: Instant) {
        self.note_success(picked, sent_at, head_at);
        let took = head_at.saturating_duration_since(sent_at);
        self.note_version(picked, ResponseObservation::Took(took));
    }

    /// Records a response that is complete now and was begun by its server at `began`: where it answers the prompt, the
    /// prompt's parts did not crash the server.
    pub(super) fn note_prompt_answered(&self, status: StatusCode, began: Instant) {
        if status.is_success() {
            let now = self.gateway.clock.now();
            self.gateway.crash_suspects.note_answered(now, self.request, began);
        }
    }

    /// Records a successful response that ends now, to a request sent at `sent_at`, whose head arrived at `head_at`.
    pub fn note_success(&self, picked: &Picked, sent_at: Instant, head_at: Instant) {
        let now = self.gateway.clock.now();
        let times = ResponseTimes {
            head: head_at.saturating_duration_since(sent_at),
            body: now.saturating_duration_since(head_at),
        };
        let mut picker = lock(&self.gateway.picker);
        picker.note_success(now, &picked.server.id);
        if self.path.is_direct() {
            picker.note_heard(now, &picked.server.id);
        }
        picker.admission(&self.request.service).note_response(times, !picked.wait.is_zero());
        drop(picker);
        self.gateway.crash_suspects.note_success(now, self.request);
        self.gateway.metrics.attempt(&self.request.service, None);
    }
}

/// Returns the ids of prompt parts for log lines: as many of the first ones as a line has room for.
fn parts_text(parts: &[PromptPartId]) -> String {
    let shown: Vec<String> = parts.iter().take(LOGGED_PARTS_MAX).map(ToString::to_string).collect();
    shown.join(",")
}

/// Returns the milliseconds since `at`, or -1 without a time, for log lines.
fn millis_since(now: Instant, at: Option<Instant>) -> i64 {
    at.map_or(-1, |at| now.saturating_duration_since(at).as_millis() as i64)
}
