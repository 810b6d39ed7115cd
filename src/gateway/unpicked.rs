//! A request for which no backend server is picked: when its caller is told to come back.

use std::time::{Duration, Instant};

use super::{forward::Forwarding, tries::Refused};
use crate::{routing::PickError, utils::sync::lock};

/// Part of a pause by which the last of the callers that were refused during it come back later than the first: together
/// they would fill the server at once that has just asked for it.
const RETURN_SPREAD: f64 = 0.05;

impl Forwarding<'_> {
    /// Notes why no server was picked, for the final answer.
    pub(super) fn note_unpicked(&mut self, now: Instant, why: PickError, draw: f64) {
        let request = self.request;
        let (admitted, wait) = match why {
            PickError::Overload { admitted, wait } => (admitted, wait),
            PickError::Backoff { left } => return self.note_backoff(left, draw),
            PickError::NoServer => return,
        };
        // Callers heed a third of the time that they have left, at most.
        let most = request.until.saturating_duration_since(now) / 3;
        let target = request.route.target_latency;
        let after = {
            let mut picker = lock(&self.gateway.picker);
            let admission = picker.admission(&request.service);
            admission.note_refusal(now, admitted, draw, target, most)
        };
        self.refused = Some(Refused::overload(after));
        self.gateway.metrics.refusal(&request.service, "overload");
        log::info!(
            "event=overload request={} service={} priority={} admitted={admitted:.2} wait_ms={} \
             retry_after_ms={}",
            request.asked.id,
            request.service,
            request.priority,
            wait.as_millis(),
            after.as_millis()
        );
    }

    /// Notes that all servers want no requests until `left` is over.
    fn note_backoff(&mut self, left: Duration, draw: f64) {
        let after = left.mul_f64(1.0 + RETURN_SPREAD * draw);
        self.refused = Some(Refused::backoff(after));
        self.gateway.metrics.refusal(&self.request.service, "backoff");
        log::info!(
            "event=all_back_off request={} service={} retry_after_ms={}",
            self.request.asked.id,
            self.request.service,
            after.as_millis()
        );
    }
}
