//! What an entry asks of an engine beside the request itself: the rest of a stream, or its end.

use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};

use crate::{
    configs::fleet::BackendServer,
    instance::{requests::answer_parts::OFFSET_HEADER, shared::Shared},
    link::backend::{Attempt, BackendResponse},
};

/// Most time for an engine to answer a resume or a cancel.
const RESUME_TIME: Duration = Duration::from_secs(2);

/// Asks the engine for the rest of the stream of attempt `id` from `offset`, in bytes.
pub(super) fn resume(
    shared: &Shared,
    server: &BackendServer,
    id: &str,
    offset: u64,
) -> Option<BackendResponse> {
    let target = format!("/engine/streams/{id}?from={offset}");
    let answer = call(shared, server, &Method::GET, &target, id)?;
    let goes_on_at: Option<u64> = answer.head.header(OFFSET_HEADER)?.parse().ok();
    if answer.head.status != StatusCode::OK || goes_on_at != Some(offset) {
        return None;
    }
    log::info!("resumed id={id} backend_server={} offset={offset}", server.id);
    shared.metrics.stream_resumed(&server.service);
    Some(answer)
}

/// Tells the engine that nobody waits for the stream of attempt `id`.
pub(super) fn cancel(shared: &Shared, server: &BackendServer, id: &str) {
    let target = format!("/engine/streams/{id}");
    if let Some(answer) = call(shared, server, &Method::DELETE, &target, id) {
        shared.backends.finish(answer);
    }
}

fn call(
    shared: &Shared,
    server: &BackendServer,
    method: &Method,
    target: &str,
    id: &str,
) -> Option<BackendResponse> {
    let until = shared.clock.now() + RESUME_TIME;
    let headers = HeaderMap::new();
    let attempt = Attempt {
        address: server.address,
        method,
        target,
        headers: &headers,
        body: &[],
        id,
        new_connection: true,
        head_deadline: until,
    };
    let sent = shared.backends.send(&attempt, &mut || true);
    sent.inspect_err(|fault| log::info!("engine call id={id} target={target} fault={fault:?}")).ok()
}
