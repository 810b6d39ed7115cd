//! Calls to an engine about a stream that it sends: to resume or to cancel it.

use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};

use crate::{
    configs::fleet::BackendServer,
    instance::{requests::response_parts::OFFSET_HEADER, shared::Shared},
    link::backend::{Attempt, BackendResponse},
};

/// Time within which an engine must respond to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests the rest of the stream of attempt `id` from `offset`, in bytes.
pub(super) fn resume(
    shared: &Shared,
    server: &BackendServer,
    id: &str,
    offset: u64,
) -> Option<BackendResponse> {
    let target = format!("/engine/streams/{id}?from={offset}");
    let response = call(shared, server, &Method::GET, &target, id)?;
    let resumed_at: Option<u64> = response.head.header(OFFSET_HEADER)?.parse().ok();
    if response.head.status != StatusCode::OK || resumed_at != Some(offset) {
        return None;
    }
    log::info!("resumed id={id} backend_server={} offset={offset}", server.id);
    shared.metrics.stream_resumed(&server.service);
    Some(response)
}

/// Cancels the stream of attempt `id`, whose caller has disconnected.
pub(super) fn cancel(shared: &Shared, server: &BackendServer, id: &str) {
    let target = format!("/engine/streams/{id}");
    if let Some(response) = call(shared, server, &Method::DELETE, &target, id) {
        shared.backends.finish(response);
    }
}

fn call(
    shared: &Shared,
    server: &BackendServer,
    method: &Method,
    target: &str,
    id: &str,
) -> Option<BackendResponse> {
    let deadline = shared.clock.now() + CALL_TIMEOUT;
    let headers = HeaderMap::new();
    let attempt = Attempt {
        address: server.address,
        method,
        target,
        headers: &headers,
        body: &[],
        id,
        new_connection: true,
        head_deadline: deadline,
    };
    let sent = shared.backends.send(&attempt, &mut || true);
    sent.inspect_err(|error| log::info!("engine call id={id} target={target} fault={error:?}")).ok()
}
