//! Responds to a repeated request with the response that the claim of its idempotency key stores.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::{
    contract::{claim::StoredResponse, outcome::Outcome},
    instance::{
        requests::{forward::ForwardResult, request::Request},
        shared::Shared,
    },
    link::{
        http1::Conn,
        response::{ResponseOptions, send_response},
    },
};

/// Sends the stored response to the caller.
pub(super) fn replay(
    shared: &Shared,
    conn: &mut Conn,
    request: &Request,
    options: &ResponseOptions,
    response: &StoredResponse,
) -> ForwardResult {
    let mut headers = HeaderMap::new();
    for (name, value) in &response.headers {
        match (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            (Ok(name), Ok(value)) => {
                headers.append(name, value);
            }
            _ => log::warn!("replay id={} omits the invalid stored header {name:?}", request.id),
        }
    }
    headers.insert("cartvane-replayed", HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
    let options = options.with_outcome(Outcome::Run);
    let head_only = request.method == http::Method::HEAD;
    let stall = shared.settings.timeouts.slow_reader.0;
    let sent = send_response(conn, stall, status, &headers, &options, &response.body, head_only);
    ForwardResult::Responded {
        status: response.status,
        outcome: Outcome::Run,
        reusable: sent.is_ok(),
        server: None,
    }
}
