//! Calls of a home to engines that carry no caller's request: status, orders and moves of contexts.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, Method, StatusCode};
use serde::Deserialize;

use crate::{
    contract::{orders::EngineOrder, outcome::AttemptFault},
    instance::shared::Shared,
    link::{backend::Attempt, traffic::Purpose},
    units::request_count,
    zone::rendezvous::ChatKey,
};

/// Path of the status endpoint.
const STATUS_PATH: &str = "/engine/status";

/// Path of the orders endpoint.
const ORDERS_PATH: &str = "/engine/orders";

/// Path on which an engine imports contexts from another engine.
const IMPORT_PATH: &str = "/engine/cache/import";

/// Time limit for an engine to import contexts.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for a status response.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response body accepted.
const RESPONSE_MAX_BYTES: usize = 64 << 10;

/// Bytes of the status line `HTTP/1.1 200 OK` and the blank line after the headers, line breaks included.
const RESPONSE_FRAMING_BYTES: usize = 19;

/// Status that an engine reports.
#[derive(Debug, Deserialize)]
pub struct EngineStatus {
    /// Requests in the engine; the figure may lag.
    #[serde(deserialize_with = "request_count::deserialize_load")]
    pub load: u32,
    /// `ready`, `loading` or `leaving`.
    pub state: String,
    /// The order that it accepted last.
    #[serde(default)]
    pub order: EngineOrder,
}

impl EngineStatus {
    /// Returns whether the engine accepts requests.
    pub fn is_ready(&self) -> bool {
        self.state == "ready"
    }
}

/// Why an engine did not accept an order.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The engine was not reached, or did not respond.
    #[error("{0}; it is given again")]
    Attempt(AttemptFault),
    /// The engine has accepted an order with a newer fencing number.
    #[error("it has a newer fencing number; the holder of the newer lease orders it")]
    Fenced,
    /// The engine rejected the order for another reason.
    #[error("status {0}; see the engine's log")]
    Refused(StatusCode),
}

impl OrderError {
    /// Returns whether another instance holds a newer lease.
    pub fn is_fenced(&self) -> bool {
        matches!(self, OrderError::Fenced)
    }
}

/// Fetches the status of an engine; `None` when it does not respond with one.
pub fn fetch_status(shared: &Shared, address: SocketAddr) -> Option<EngineStatus> {
    let (status, body) =
        call_engine(shared, address, &Method::GET, STATUS_PATH, &[], STATUS_TIMEOUT).ok()?;
    if status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

/// Sends an order to an engine.
///
/// # Errors
///
/// See [`OrderError`].
pub fn send_order(
    shared: &Shared,
    address: SocketAddr,
    order: &EngineOrder,
    timeout: Duration,
) -> Result<(), OrderError> {
    let body = serde_json::to_vec(order).unwrap_or_default();
    let response = call_engine(shared, address, &Method::POST, ORDERS_PATH, &body, timeout);
    match response.map_err(OrderError::Attempt)?.0 {
        StatusCode::OK => Ok(()),
        StatusCode::CONFLICT => Err(OrderError::Fenced),
        other => Err(OrderError::Refused(other)),
    }
}

/// Has the engine at `target` import the contexts of `chats` from the one at `source`.
///
/// Returns whether it did.
pub fn import_contexts(
    shared: &Shared,
    target: SocketAddr,
    source: SocketAddr,
    chats: &[ChatKey],
) -> bool {
    let chats: Vec<String> = chats.iter().map(ToString::to_string).collect();
    let body = serde_json::json!({ "from": source, "chats": chats }).to_string();
    let response =
        call_engine(shared, target, &Method::POST, IMPORT_PATH, body.as_bytes(), IMPORT_TIMEOUT);
    response.is_ok_and(|(status, _)| status == StatusCode::OK)
}

fn call_engine(
    shared: &Shared,
    address: SocketAddr,
    method: &Method,
    target: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<(StatusCode, Vec<u8>), AttemptFault> {
    let headers = HeaderMap::new();
    let deadline = shared.clock.now() + timeout;
    let new_connection = *method != Method::GET;
    let attempt = Attempt {
        address,
        method,
        target,
        headers: &headers,
        body,
        id: "control",
        new_connection,
        head_deadline: deadline,
    };
    shared.traffic.count_sent(Purpose::Probe, attempt.bytes().len());
    let mut response = shared.backends.send(&attempt, &mut || true)?;
    let mut bytes = Vec::new();
    while let Some(chunk) = response.next(deadline, &mut || true)? {
        bytes.extend_from_slice(&chunk);
        if bytes.len() > RESPONSE_MAX_BYTES {
            return Err(AttemptFault::Garbage);
        }
    }
    let head_bytes: usize =
        response.head.headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    shared
        .traffic
        .count_received(Purpose::Probe, RESPONSE_FRAMING_BYTES + head_bytes + bytes.len());
    let status = response.head.status;
    shared.backends.finish(response);
    Ok((status, bytes))
}
