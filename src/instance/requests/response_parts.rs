//! Headers and error events of responses that are forwarded from backend servers to callers.

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::{contract::outcome::AttemptFault, link::http1::head::drop_hop_by_hop};

/// Header in which an engine reports its load, in requests.
pub const LOAD_HEADER: &str = "engine-load";
/// Header in which an engine announces that it is leaving.
pub const STATE_HEADER: &str = "engine-state";
/// Header in which an engine states that the stream can be resumed.
pub const RESUMABLE_HEADER: &str = "engine-resumable";
/// Header with the offset, in bytes, at which a resumed stream continues.
pub const OFFSET_HEADER: &str = "engine-offset";

/// Returns the end-to-end headers of a response, without those that are meant for the router.
pub fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    drop_hop_by_hop(&mut headers);
    let internal = [
        "content-length",
        LOAD_HEADER,
        STATE_HEADER,
        RESUMABLE_HEADER,
        OFFSET_HEADER,
        "cartvane-attempt",
        "cartvane-outcome",
    ];
    for name in internal {
        headers.remove(name);
    }
    headers
}

/// Returns the headers whose values are text, in the form that stored responses have.
pub fn text_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.to_string(), value.to_str().ok()?.to_owned()))
    };
    headers.iter().filter_map(text).collect()
}

/// Returns whether a response is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get("content-type").and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Returns the error event that ends a stream which cannot be completed.
pub fn error_event(fault: AttemptFault, id: &str) -> Vec<u8> {
    let data = serde_json::json!({
        "error": { "title": "answer cut short", "detail": fault.detail(), "outcome": "unknown", "request_id": id }
    });
    format!("\n\nevent: error\ndata: {data}\n\n").into_bytes()
}
