//! Sends the response to a request that was forwarded: a server's that was read to its end, or one of this instance.

use http::{HeaderMap, Method, StatusCode};

use super::{
    buffers::HeldBody, forward::Forwarding, in_flight::Completion, relay,
    response::CALLER_WRITE_TIMEOUT,
};
use crate::{
    contract::outcome::Outcome,
    link::{
        http1::Conn,
        response::{ResponseOptions, send_response},
    },
};

/// A response of a server that was read to its end.
pub(super) struct BufferedResponse<'g> {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: HeldBody<'g>,
}

impl Forwarding<'_> {
    /// Responds to a failed request; `None` if another attempt is allowed.
    pub(super) fn respond_failed_unless_retry(&mut self, conn: &mut Conn) -> Option<Completion> {
        if self.may_retry() { None } else { Some(self.respond_failed(conn)) }
    }

    /// Records that the first bytes of a server's response are sent to the caller now.
    pub fn note_first_byte(&mut self) {
        let took = self.gateway.clock.now().saturating_duration_since(self.request.received_at);
        self.gateway.metrics.first_byte(&self.request.service, took);
        if let Some(attempt) = &mut self.last_attempt {
            attempt.first_byte_after = Some(took);
        }
    }

    /// Sends a response that was read to its end.
    pub(super) fn send_buffered(
        &mut self,
        conn: &mut Conn,
        response: &BufferedResponse<'_>,
        reason: &'static str,
    ) -> Completion {
        self.note_first_byte();
        let keep_alive = self.keep_alive();
        let note = ResponseOptions::plain(keep_alive);
        let head_only = self.request.method == Method::HEAD;
        let (headers, body) = (&response.headers, &response.body.bytes);
        relay::prepare_caller(conn, body);
        let sent = send_response(
            conn,
            CALLER_WRITE_TIMEOUT,
            response.status,
            headers,
            &note,
            body,
            head_only,
        );
        Completion {
            status: response.status.as_u16(),
            outcome: Outcome::Run,
            keep_alive: keep_alive && sent.is_ok(),
            reason,
        }
    }

    /// Responds to a request that no server served: with the last server error, if there is one.
    pub fn respond_failed(&mut self, conn: &mut Conn) -> Completion {
        if self.attempts.caller_left() {
            return Completion {
                status: 0,
                outcome: Outcome::Unknown,
                keep_alive: false,
                reason: "caller left",
            };
        }
        if let Some(response) = self.last_failure.take() {
            return self.send_buffered(conn, &response, "server error");
        }
        let time_left = self.request.deadline.saturating_duration_since(self.gateway.clock.now());
        let response = self.attempts.local_response(self.refusal, time_left);
        let keep_alive = self.keep_alive();
        let keep_alive = response.send(conn, keep_alive, self.request.method == Method::HEAD);
        let status = response.status.as_u16();
        Completion { status, outcome: self.attempts.outcome(), keep_alive, reason: response.reason }
    }

    /// Returns whether the caller's connection may serve another request after this one.
    pub fn keep_alive(&self) -> bool {
        self.request.keep_alive && !self.gateway.drain.is_draining()
    }
}
