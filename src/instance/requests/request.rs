//! A caller's request, parsed and checked before it is forwarded.

use std::time::{Duration, Instant};

use http::{HeaderMap, Method};

use crate::{
    configs::fleet::{Priority, Service, ServiceKind, Team},
    contract::outcome::{Refusal, RetrySafety},
    link::http1::{RequestHead, head::drop_hop_by_hop},
    zone::rendezvous::ChatKey,
};

/// Header with the caller's id of the chat.
pub const CHAT_HEADER: &str = "cartvane-chat";
/// Header with the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "cartvane-deadline-ms";
/// Header with the placement hint of an earlier response.
pub const PLACEMENT_HEADER: &str = "cartvane-placement";
/// Header with the caller's idempotency key (draft-ietf-httpapi-idempotency-key-header).
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the priority class of a request, for backend servers.
pub const PRIORITY_HEADER: &str = "cartvane-priority";

/// Longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX: usize = 255;

/// Longest chat id, in bytes.
const CHAT_ID_MAX: usize = 255;

/// Leading messages of a chat that identify it if the caller sends no chat id.
const CHAT_KEY_MESSAGES: usize = 2;

/// Prefix of the headers between caller and router; those of the caller are not forwarded.
const OWN_HEADER_PREFIX: &str = "cartvane-";

/// A request to be forwarded.
#[derive(Debug)]
pub struct Request {
    /// Id of the request, which the response states.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query for the backend server.
    pub target: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
    /// The chat, if the request belongs to one.
    pub chat: Option<ChatKey>,
    /// Placement hint sent by the caller.
    pub hint: Option<String>,
    /// Whether it may run more than once.
    pub retry_safety: RetrySafety,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// When it had been read completely.
    pub received_at: Instant,
    /// When the response must be complete.
    pub deadline: Instant,
    /// Whether the caller uses HTTP/1.0.
    pub http10: bool,
}

/// Splits a target into the service's name and the rest, which starts with `/` or `?`.
pub fn split_target(target: &str) -> (&str, &str) {
    let path = target.strip_prefix('/').unwrap_or(target);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    (&path[..end], &path[end..])
}

impl Request {
    /// Parses a request whose body has been read.
    ///
    /// # Errors
    ///
    /// A header is invalid: the request is rejected and not run.
    pub fn new(
        id: String,
        head: RequestHead,
        body: Vec<u8>,
        service: &Service,
        team: &Team,
        now: Instant,
    ) -> Result<Request, Refusal> {
        let (_, rest) = split_target(&head.target);
        let target = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
        let path = target.split('?').next().unwrap_or("/");
        let idempotency_key = idempotency_key(&head)?;
        let is_non_idempotent =
            service.non_idempotent.iter().any(|rule| rule.covers(head.method.as_str(), path));
        let retry_safety = if is_non_idempotent || idempotency_key.is_some() {
            RetrySafety::AtMostOnce
        } else {
            RetrySafety::Idempotent
        };
        let deadline = now + deadline(&head, service)?;
        let chat = chat_key(&head, &body, service, team)?;
        let hint = head.header(PLACEMENT_HEADER).map(str::to_owned);
        let headers = forwarded_headers(&head, team);
        let RequestHead { method, http10, .. } = head;
        Ok(Request {
            id,
            method,
            target,
            headers,
            body,
            chat,
            hint,
            retry_safety,
            idempotency_key,
            received_at: now,
            deadline,
            http10,
        })
    }
}

/// Returns the headers to forward: the end-to-end headers, without the team's key.
fn forwarded_headers(head: &RequestHead, team: &Team) -> HeaderMap {
    let mut headers = head.headers.clone();
    drop_hop_by_hop(&mut headers);
    for name in ["authorization", "content-length", "expect", "host"] {
        headers.remove(name);
    }
    let own_headers: Vec<_> =
        headers.keys().filter(|n| n.as_str().starts_with(OWN_HEADER_PREFIX)).cloned().collect();
    for name in own_headers {
        headers.remove(name);
    }
    if team.priority == Priority::Reserved {
        headers.insert(PRIORITY_HEADER, http::HeaderValue::from_static("reserved"));
    }
    headers
}

fn deadline(head: &RequestHead, service: &Service) -> Result<Duration, Refusal> {
    let Some(text) = head.headers.get(DEADLINE_HEADER) else { return Ok(service.deadline.0) };
    let millis: Option<u64> = text.to_str().ok().and_then(|t| t.parse().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(service.max_deadline.0)),
        _ => Err(Refusal::not_run(
            400,
            "bad deadline",
            "Cartvane-Deadline-Ms must be a whole number of milliseconds above zero",
        )),
    }
}

fn idempotency_key(head: &RequestHead) -> Result<Option<String>, Refusal> {
    let invalid_key = || {
        let detail = format!(
            "Idempotency-Key must be one text of 1 to {IDEMPOTENCY_KEY_MAX} printable characters"
        );
        Refusal::not_run(400, "bad idempotency key", detail)
    };
    let mut values = head.headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(invalid_key());
    }
    let text = value.to_str().map_err(|_| invalid_key())?.trim();
    // The draft defines the key as a structured-field string; a bare one is accepted as well.
    let key = text.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(text);
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX {
        return Err(invalid_key());
    }
    Ok(Some(key.to_owned()))
}

fn chat_key(
    head: &RequestHead,
    body: &[u8],
    service: &Service,
    team: &Team,
) -> Result<Option<ChatKey>, Refusal> {
    if let Some(value) = head.headers.get(CHAT_HEADER) {
        let chat = value.to_str().ok().filter(|t| !t.is_empty() && t.len() <= CHAT_ID_MAX);
        let Some(chat) = chat else {
            let detail =
                format!("Cartvane-Chat must be a text of 1 to {CHAT_ID_MAX} printable characters");
            return Err(Refusal::not_run(400, "bad chat id", detail));
        };
        return Ok(Some(ChatKey::of(&[service.id.as_str(), team.id.as_str(), chat])));
    }
    if service.kind == ServiceKind::Plain {
        return Ok(None);
    }
    let Some(opening) = opening_messages(body) else { return Ok(None) };
    Ok(Some(ChatKey::of(&[service.id.as_str(), team.id.as_str(), &opening])))
}

/// Returns the first messages of a chat-completions body, which stay the same as the chat grows.
fn opening_messages(body: &[u8]) -> Option<String> {
    #[derive(serde::Deserialize)]
    struct Body<'b> {
        #[serde(borrow)]
        messages: Vec<&'b serde_json::value::RawValue>,
    }
    let body: Body<'_> = serde_json::from_slice(body).ok()?;
    if body.messages.is_empty() {
        return None;
    }
    Some(
        body.messages
            .iter()
            .take(CHAT_KEY_MESSAGES)
            .map(|m| m.get())
            .collect::<Vec<_>>()
            .join("\n"),
    )
}
