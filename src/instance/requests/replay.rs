//! Answers a repeat of a request from what its first run left in the claim.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::{
    contract::{claim::StoredResponse, outcome::Outcome},
    instance::{
        requests::{forward::Ended, request::Request},
        shared::Shared,
    },
    link::{
        http1::Conn,
        response::{ResponseOptions, send_response},
    },
};

/// Writes the stored answer to the caller.
pub(super) fn replay(
    shared: &Shared,
    conn: &mut Conn,
    request: &Request,
    note: &ResponseOptions,
    answer: &StoredResponse,
) -> Ended {
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        match (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            (Ok(name), Ok(value)) => {
                headers.append(name, value);
            }
            _ => log::warn!("replay id={} leaves out the stored header {name:?}", request.id),
        }
    }
    headers.insert("cartvane-replayed", HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let note = note.with_outcome(Outcome::Run);
    let head_only = request.method == http::Method::HEAD;
    let stall = shared.settings.timeouts.slow_reader.0;
    let sent = send_response(conn, stall, status, &headers, &note, &answer.body, head_only);
    Ended::Answered {
        status: answer.status,
        outcome: Outcome::Run,
        reusable: sent.is_ok(),
        server: None,
    }
}
