//! Heeds what backend servers say of themselves in their answers.

use super::{Gateway, reply::ServerWords, request::Request};
use crate::{routing::Incarnation, utils::sync::lock};

impl Gateway {
    /// Takes what a server says of itself, from the head of an answer to `request` on: the list may not say it for a long
    /// time.
    pub fn take_notices(&self, request: &Request, server: &Incarnation, words: &ServerWords) {
        // What another server says, which has the address now, is not of this one.
        if words.wrong_server {
            return;
        }
        let now = self.clock.now();
        let (id, service) = (&request.asked.id, &request.service);
        if words.leaving {
            self.metrics.server_notice(service, "leaving");
            if lock(&self.picker).note_leaving(now, server) {
                log::info!("event=server_says_leaving request={id} server={server}");
            }
        }
        if let Some(time) = words.backoff {
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
