//! Heeds what backend servers say of themselves in their answers.

use super::{Gateway, request::Request, response::ResponseMetadata};
use crate::{routing::Incarnation, utils::sync::lock};

impl Gateway {
    /// Takes what a server says of itself, from the head of an answer to `request` on: the list may not say it for a long
    /// time.
    pub fn take_notices(
        &self,
        request: &Request,
        server: &Incarnation,
        metadata: &ResponseMetadata,
    ) {
        // What another server says, which has the address now, is not of this one.
        if metadata.wrong_server {
            return;
        }
        let now = self.clock.now();
        let (id, service) = (&request.metadata.id, &request.service);
        if metadata.leaving {
            self.metrics.server_notice(service, "leaving");
            if lock(&self.picker).said_leaving(now, server) {
                log::info!("event=server_says_leaving request={id} server={server}");
            }
        }
        if let Some(time) = metadata.backoff {
            self.metrics.server_notice(service, "backoff");
            if lock(&self.picker).said_backoff(now, server, time) {
                let for_ms = time.as_millis();
                log::info!(
                    "event=server_says_backoff request={id} server={server} for_ms={for_ms}"
                );
            }
        }
    }
}
