//! Refuses a request for which no backend server was picked, and computes its `Retry-After`.

use std::time::{Duration, Instant};

use super::{attempts::Refusal, forward::Forwarding};
use crate::{
    routing::{PickError, admission::team_retry_delay, max_retry_delay},
    utils::sync::lock,
};

/// `Retry-After` if no server of the software version that began a stream takes it: about the time after which a paused
/// one is tried again.
const RETRY_AFTER_NO_VERSION: Duration = Duration::from_millis(300);

/// Jitter of `Retry-After`, as a fraction of the remaining backoff. Without it all callers refused during the backoff
/// would return together and overload the server at once.
const BACKOFF_JITTER: f64 = 0.05;

impl Forwarding<'_> {
    /// Records why no server was picked, for the response to the caller.
    pub(super) fn note_pick_error(&mut self, now: Instant, error: PickError, draw: f64) {
        let request = self.request;
        let (admitted, wait) = match error {
            PickError::Overload { admitted, wait } => (admitted, wait),
            PickError::TeamShare { share } => return self.note_team_share(now, share, draw),
            PickError::Backoff { left } => return self.note_backoff(left, draw),
            PickError::NoServer => return self.note_no_server(now),
        };
        self.gateway.note_rejection(now, request);
        let max = self.retry_delay_max(now);
        let target = request.route.target_latency;
        let retry_after = {
            let mut picker = lock(&self.gateway.picker);
            let admission = picker.admission(&request.service);
            admission.note_refusal(now, admitted, draw, target, max)
        };
        self.refusal = Some(Refusal::overload(retry_after));
        self.gateway.metrics.refusal(&request.service, "overload");
        log::info!(
            "event=overload request={} service={} priority={} admitted={admitted:.2} wait_ms={} \
             retry_after_ms={}",
            request.metadata.id,
            request.service,
            request.priority,
            wait.as_millis(),
            retry_after.as_millis()
        );
    }

    /// Refuses a request that may only go to servers of one software version, of which none takes it.
    fn note_no_server(&mut self, now: Instant) {
        if !self.version.requires_version() {
            return;
        }
        let retry_after = self.retry_delay_max(now).min(RETRY_AFTER_NO_VERSION);
        self.refusal = Some(Refusal::no_server_of_version(retry_after));
        self.gateway.metrics.refusal(&self.request.service, "no_server_of_version");
    }

    /// Refuses a request that the slot broker has rejected; its caller is served if it returns after `retry_after`.
    pub(super) fn note_slot_rejected(&mut self, retry_after: Duration) {
        self.refusal = Some(Refusal::overload(retry_after));
        self.gateway.metrics.refusal(&self.request.service, "slots");
    }

    /// Returns the longest useful `Retry-After`: callers accept at most a third of their remaining time.
    fn retry_delay_max(&self, now: Instant) -> Duration {
        max_retry_delay(self.request.deadline.saturating_duration_since(now))
    }

    /// Refuses a request because its team exceeds the team's share of capacity, `share` of its requests.
    fn note_team_share(&mut self, now: Instant, share: f64, draw: f64) {
        let request = self.request;
        self.gateway.note_rejection(now, request);
        let retry_after = team_retry_delay(share, draw, self.retry_delay_max(now));
        self.refusal = Some(Refusal::team_share(retry_after));
        self.gateway.metrics.refusal(&request.service, "team_share");
        log::info!(
            "event=team_share_exceeded request={} service={} team={} share={share:.3} \
             retry_after_ms={}",
            request.metadata.id,
            request.service,
            request.team_name(),
            retry_after.as_millis()
        );
    }

    /// Refuses a request because all servers back off; the first of them accepts requests after `left`.
    fn note_backoff(&mut self, left: Duration, draw: f64) {
        let retry_after = left.mul_f64(1.0 + BACKOFF_JITTER * draw);
        self.refusal = Some(Refusal::backoff(retry_after));
        self.gateway.metrics.refusal(&self.request.service, "backoff");
        log::info!(
            "event=all_back_off request={} service={} retry_after_ms={}",
            self.request.metadata.id,
            self.request.service,
            retry_after.as_millis()
        );
    }
}
