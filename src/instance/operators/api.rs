//! The operators' HTTP interface, with JSON bodies, served by `rouille`.

use std::{io::Read as _, sync::Arc};

use rouille::{Request, Response};
use serde::{Deserialize, Serialize};

use crate::{
    audit::{AUDIT_PREFIX, AuditAction, AuditRow, RevisionRow, revision_key},
    configs::fleet::{Fleet, chunks::Digest, diff::diff},
    contract::revision::HEAD_KEY,
    instance::{
        cluster_state::{
            apply::{ApplyError, apply},
            audit_trail::append,
            config::object_key,
        },
        operators::{
            explain::{self, ChatName},
            status,
        },
        shared::Shared,
    },
    link::{traffic::Purpose, wire::DRAIN_PATH},
    names::InstanceId,
    platform::PlatformError,
    units::Revision,
    utils::{secret::any_matches, sync::lock},
};

/// Largest configuration file that is accepted.
const FILE_MAX_BYTES: u64 = 64 << 20;

/// Audit rows read from the store per call.
const AUDIT_PAGE_ROWS: usize = 500;

/// Threads that serve the operators' interface.
pub const THREADS: usize = 4;

/// What an operator's credential permits; each level includes those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Access {
    Read,
    Apply,
}

/// Body of an error response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Problem {
    /// What happened and what to do about it.
    pub detail: String,
    /// Why the file was rejected, in responses to an apply or a diff.
    pub apply: Option<ApplyError>,
}

fn problem(status: u16, detail: impl Into<String>) -> Response {
    Response::json(&Problem { detail: detail.into(), apply: None }).with_status_code(status)
}

fn store_unavailable(error: &PlatformError) -> Response {
    problem(503, error.to_string())
}

/// Responds to one request of an operator.
pub fn respond(shared: &Arc<Shared>, request: &Request) -> Response {
    let path = request.url();
    match (request.method(), path.as_str()) {
        ("GET", "/healthz") => Response::text("ok\n"),
        ("GET", "/readyz") => ready(shared),
        ("GET", "/metrics") => Response::text(shared.metrics.text()),
        (method, path) => match granted_access(shared, request) {
            None => {
                problem(401, "show an operator's credential as Authorization: Bearer CREDENTIAL")
            }
            Some(access) => respond_authorized(shared, request, method, path, access),
        },
    }
}

fn respond_authorized(
    shared: &Arc<Shared>,
    request: &Request,
    method: &str,
    path: &str,
    access: Access,
) -> Response {
    let needed = if method == "POST" { Access::Apply } else { Access::Read };
    if access < needed {
        return problem(403, "this credential may only read; use one of credentials.operators");
    }
    match (method, path) {
        ("GET", "/v1/status") => Response::json(&status::fleet_status(shared)),
        ("GET", "/v1/show") => show(shared, request),
        ("GET", "/v1/audit") => audit(shared, request),
        ("GET", "/v1/explain") => explain(shared, request),
        ("POST", "/v1/apply") => post_apply(shared, request),
        ("POST", "/v1/diff") => post_diff(shared, request),
        ("POST", "/v1/drain") => post_drain(shared, request),
        _ => problem(
            404,
            format!("{method} {path} is not known; see docs/operators for the interface"),
        ),
    }
}

fn granted_access(shared: &Shared, request: &Request) -> Option<Access> {
    let credential = request.header("authorization")?.strip_prefix("Bearer ")?;
    let credentials = &shared.settings.credentials;
    let apply = any_matches(&credentials.operators, credential);
    let read = any_matches(&credentials.readers, credential);
    match (apply, read) {
        (true, _) => Some(Access::Apply),
        (false, true) => Some(Access::Read),
        (false, false) => None,
    }
}

fn ready(shared: &Shared) -> Response {
    let Some(reason) = shared.not_ready() else { return Response::text("ready\n") };
    Response::text(format!("not ready: {reason}\n")).with_status_code(503)
}

/// Returns the operator's name as the request states it; access depends on the credential alone.
fn operator(request: &Request) -> String {
    request.header("cartvane-operator").unwrap_or("operator").to_owned()
}

fn read_body(request: &Request) -> Result<String, Response> {
    let mut text = String::new();
    let body = request.data().ok_or_else(|| problem(400, "the body is missing"))?;
    let read = body.take(FILE_MAX_BYTES + 1).read_to_string(&mut text);
    if read.is_err() {
        return Err(problem(400, "the file is not UTF-8 text"));
    }
    if text.len() as u64 > FILE_MAX_BYTES {
        return Err(problem(413, format!("a file may have {FILE_MAX_BYTES} bytes")));
    }
    Ok(text)
}

fn post_apply(shared: &Shared, request: &Request) -> Response {
    let text = match read_body(request) {
        Ok(text) => text,
        Err(response) => return response,
    };
    let base = match request.get_param("base").map(|base| base.parse::<Revision>()).transpose() {
        Ok(base) => base,
        Err(e) => return problem(400, e.to_string()),
    };
    match apply(shared, &text, base, &operator(request)) {
        Ok(applied) => Response::json(&applied),
        Err(error) => {
            let status = match &error {
                ApplyError::Faults(_) => 422,
                ApplyError::Moved { .. } => 409,
                ApplyError::Store(_) | ApplyError::Unknown(_) => 503,
            };
            Response::json(&Problem { detail: error.to_string(), apply: Some(error) })
                .with_status_code(status)
        }
    }
}

fn post_diff(shared: &Shared, request: &Request) -> Response {
    let text = match read_body(request) {
        Ok(text) => text,
        Err(response) => return response,
    };
    let fleet = match Fleet::parse(&text) {
        Ok(fleet) => fleet,
        Err(faults) => {
            let error = ApplyError::Faults(faults);
            return Response::json(&Problem { detail: error.to_string(), apply: Some(error) })
                .with_status_code(422);
        }
    };
    let active = shared.snapshot.load_full();
    let changes = match &active {
        Some(snapshot) => diff(&snapshot.fleet, &fleet),
        None => diff(&Fleet::default(), &fleet),
    };
    Response::json(&crate::instance::cluster_state::apply::Applied {
        revision: shared.revision(),
        changes,
    })
}

/// The configuration file of a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RevisionSource {
    /// The revision.
    pub revision: Revision,
    /// Text of the file as it was applied.
    pub text: String,
}

fn show(shared: &Shared, request: &Request) -> Response {
    let revision = match request.get_param("revision").map(|r| r.parse::<Revision>()).transpose() {
        Ok(revision) => revision.unwrap_or_else(|| shared.revision()),
        Err(e) => return problem(400, e.to_string()),
    };
    if revision == Revision::default() {
        return problem(404, "no file is in force; apply one");
    }
    match load_source(shared, revision) {
        Ok(Some(text)) => Response::json(&RevisionSource { revision, text }),
        Ok(None) => problem(404, format!("there is no revision {revision}; see `cartvane audit`")),
        Err(error) => store_unavailable(&error),
    }
}

/// Returns the text of a revision's file; `None` if the store does not have it or its digest does not match.
fn load_source(shared: &Shared, revision: Revision) -> Result<Option<String>, PlatformError> {
    let Some(row) = shared.platform.table.get(&revision_key(revision))? else { return Ok(None) };
    let Ok(row) = serde_json::from_slice::<RevisionRow>(&row.value) else { return Ok(None) };
    let bytes = shared.platform.objects.get(&object_key(&row.source))?;
    let intact = bytes.filter(|bytes| Digest::of(bytes) == row.source);
    Ok(intact.and_then(|bytes| String::from_utf8(bytes).ok()))
}

fn audit(shared: &Shared, request: &Request) -> Response {
    let since: u64 = request.get_param("since").and_then(|since| since.parse().ok()).unwrap_or(0);
    let (entity, by) = (request.get_param("entity"), request.get_param("by"));
    let mut after = format!("{AUDIT_PREFIX}{since:015}");
    let mut rows: Vec<AuditRow> = Vec::new();
    loop {
        let page = match shared.platform.table.scan(AUDIT_PREFIX, &after, AUDIT_PAGE_ROWS) {
            Ok(page) => page,
            Err(error) => return store_unavailable(&error),
        };
        let Some(last) = page.last() else { break };
        after.clone_from(&last.key);
        rows.extend(
            page.iter().filter_map(|row| serde_json::from_slice::<AuditRow>(&row.value).ok()),
        );
        if page.len() < AUDIT_PAGE_ROWS {
            break;
        }
    }
    rows.retain(|row| entity.as_deref().is_none_or(|entity| row.concerns(entity)));
    rows.retain(|row| by.as_deref().is_none_or(|by| row.by == by));
    Response::json(&rows)
}

fn explain(shared: &Shared, request: &Request) -> Response {
    let (Some(service), Some(team), Some(chat)) =
        (request.get_param("service"), request.get_param("team"), request.get_param("chat"))
    else {
        return problem(400, "state service, team and chat");
    };
    match explain::explain(shared, &ChatName { service, team, chat }) {
        Ok(explanation) => Response::json(&explanation),
        Err(error) => problem(error.status(), error.to_string()),
    }
}

/// Result of a drain.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DrainResult {
    /// The instance or backend server that drains.
    pub target: String,
    /// Revision that marks the backend server as leaving; `None` for an instance.
    pub revision: Option<Revision>,
}

fn post_drain(shared: &Shared, request: &Request) -> Response {
    let Some(target) = request.get_param("target") else { return problem(400, "state the target") };
    let by = operator(request);
    let snapshot = shared.snapshot.load_full();
    let is_server =
        snapshot.is_some_and(|s| s.fleet.backend_servers.keys().any(|id| id.as_str() == target));
    if is_server {
        return drain_server(shared, &target, &by);
    }
    let Ok(id) = target.parse::<InstanceId>() else { return problem(404, unknown_target(&target)) };
    if id == shared.settings.id {
        shared.drain.start(shared.clock.now());
    } else {
        let Some(address) = lock(&shared.membership).peer(id.tag()).map(|p| p.address) else {
            return problem(404, unknown_target(&target));
        };
        if let Err(error) = shared.peers.call::<()>(Purpose::Operators, address, DRAIN_PATH, &()) {
            return problem(503, error.to_string());
        }
    }
    let action = AuditAction::Drain { instance: target.clone() };
    append(shared, &AuditRow { at: shared.clock.wall_millis(), by, action });
    Response::json(&DrainResult { target, revision: None })
}

fn unknown_target(target: &str) -> String {
    format!("{target:?} is neither an instance nor a backend server; see `cartvane status`")
}

/// Drains a backend server by applying the active configuration with the server marked as leaving.
fn drain_server(shared: &Shared, id: &str, by: &str) -> Response {
    let head = match shared.platform.table.get(HEAD_KEY) {
        Ok(_) => shared.revision(),
        Err(error) => return store_unavailable(&error),
    };
    let text = match load_source(shared, head) {
        Ok(Some(text)) => text,
        Ok(None) => {
            return problem(
                503,
                "the file in force is not in the store; apply it again with the server marked as leaving",
            );
        }
        Err(error) => return store_unavailable(&error),
    };
    let Some(text) = mark_leaving(&text, id) else {
        return problem(404, unknown_target(id));
    };
    match apply(shared, &text, Some(head), by) {
        Ok(applied) => {
            Response::json(&DrainResult { target: id.to_owned(), revision: Some(applied.revision) })
        }
        Err(error) => Response::json(&Problem { detail: error.to_string(), apply: Some(error) })
            .with_status_code(409),
    }
}

/// Marks a backend server as leaving in the text of a configuration file; the rest of the text stays as it is.
pub fn mark_leaving(text: &str, id: &str) -> Option<String> {
    let mut document: toml_edit::DocumentMut = text.parse().ok()?;
    let servers = document.get_mut("backend_server")?.as_array_of_tables_mut()?;
    let server = servers.iter_mut().find(|t| t.get("id").and_then(|v| v.as_str()) == Some(id))?;
    server["leaving"] = toml_edit::value(true);
    Some(document.to_string())
}
