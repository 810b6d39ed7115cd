//! Handles notices of backend servers in their responses: that they are leaving, or want no requests for a while.

use super::{Gateway, request::Request, response::ResponseMetadata};
use crate::{routing::Incarnation, utils::sync::lock};

impl Gateway {
    /// Applies the notices in the head of a response to `request` at once: the server list may not have them for a long
    /// time.
    pub fn take_notices(
        &self,
        request: &Request,
        server: &Incarnation,
        metadata: &ResponseMetadata,
    ) {
        // The response is from another server that has the address now, so its notices are not about this one.
        if metadata.wrong_server {
            return;
        }
        let now = self.clock.now();
        let (id, service) = (&request.metadata.id, &request.service);
        if metadata.leaving {
            self.metrics.server_notice(service, "leaving");
            if lock(&self.picker).note_leaving(now, server) {
                log::info!("event=server_says_leaving request={id} server={server}");
            }
        }
        if lock(&self.picker).note_brittle(now, server, metadata.brittle) {
            self.metrics.server_notice(service, "brittle");
            let limit = metadata.brittle.map_or(0, |limit| limit.0);
            log::info!("event=server_says_brittle request={id} server={server} limit={limit}");
        }
        let is_full = metadata.not_run && metadata.backoff.is_none();
        if is_full && let Some(pause) = lock(&self.picker).note_rejected(now, server) {
            let for_ms = pause.as_millis();
            log::info!("event=brittle_server_full request={id} server={server} for_ms={for_ms}");
        }
        if let Some(time) = metadata.backoff {
            self.metrics.server_notice(service, "backoff");
            if lock(&self.picker).note_backoff(now, server, time) {
                let for_ms = time.as_millis();
                log::info!(
                    "event=server_says_backoff request={id} server={server} for_ms={for_ms}"
                );
            }
        }
    }
}
