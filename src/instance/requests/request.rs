//! A caller's request, read and understood, before it is sent on.

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
/// Header with the placement hint of an earlier answer.
pub const PLACEMENT_HEADER: &str = "cartvane-placement";
/// Header with the caller's idempotency key (draft-ietf-httpapi-idempotency-key-header).
pub const KEY_HEADER: &str = "idempotency-key";
/// Header that tells backend servers the class of a request.
pub const PRIORITY_HEADER: &str = "cartvane-priority";

/// Longest idempotency key, in bytes.
const KEY_MAX: usize = 255;

/// Longest chat id, in bytes.
const CHAT_MAX: usize = 255;

/// Leading messages of a chat that identify it when the caller names no chat.
const CHAT_MESSAGES: usize = 2;

/// Prefix of headers that belong to the exchange between caller and router.
const OWN_HEADERS: &str = "cartvane-";

/// A request to be sent on.
#[derive(Debug)]
pub struct Request {
    /// Id told to the caller.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query towards the backend server.
    pub target: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
    /// The chat, if the request belongs to one.
    pub chat: Option<ChatKey>,
    /// Placement hint sent along by the caller.
    pub hint: Option<String>,
    /// Whether it may run twice.
    pub retry_safety: RetrySafety,
    /// Idempotency key.
    pub key: Option<String>,
    /// When it had been read.
    pub began: Instant,
    /// When the answer must be whole.
    pub deadline: Instant,
    /// Whether the caller speaks HTTP/1.0.
    pub http10: bool,
}

/// Splits a target into the service's name and the rest, which starts with `/` or `?`.
pub fn split_target(target: &str) -> (&str, &str) {
    let path = target.strip_prefix('/').unwrap_or(target);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    (&path[..end], &path[end..])
}

impl Request {
    /// Understands a request whose body has been read.
    ///
    /// # Errors
    ///
    /// A header that cannot be understood: the request is refused and not run.
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
        let key = idempotency_key(&head)?;
        let ruled =
            service.non_idempotent.iter().any(|rule| rule.covers(head.method.as_str(), path));
        let retry_safety =
            if ruled || key.is_some() { RetrySafety::AtMostOnce } else { RetrySafety::Idempotent };
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
            key,
            began: now,
            deadline,
            http10,
        })
    }
}

/// Returns the headers that go on to the backend server: end to end, without the caller's key.
fn forwarded_headers(head: &RequestHead, team: &Team) -> HeaderMap {
    let mut headers = head.headers.clone();
    drop_hop_by_hop(&mut headers);
    for name in ["authorization", "content-length", "expect", "host"] {
        headers.remove(name);
    }
    let own: Vec<_> =
        headers.keys().filter(|n| n.as_str().starts_with(OWN_HEADERS)).cloned().collect();
    for name in own {
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
    let fault = || {
        let detail =
            format!("Idempotency-Key must be one text of 1 to {KEY_MAX} printable characters");
        Refusal::not_run(400, "bad idempotency key", detail)
    };
    let mut values = head.headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(fault());
    }
    let text = value.to_str().map_err(|_| fault())?.trim();
    // The draft writes the key as a structured-field string; a bare one is taken as well.
    let key = text.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(text);
    if key.is_empty() || key.len() > KEY_MAX {
        return Err(fault());
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
        let chat = value.to_str().ok().filter(|t| !t.is_empty() && t.len() <= CHAT_MAX);
        let Some(chat) = chat else {
            let detail =
                format!("Cartvane-Chat must be a text of 1 to {CHAT_MAX} printable characters");
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

/// Returns the first messages of a chat-completions body, which stay the same as a chat grows.
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
    Some(body.messages.iter().take(CHAT_MESSAGES).map(|m| m.get()).collect::<Vec<_>>().join("\n"))
}
