//! A service: what its backend servers are, how loaded they may be, what may be repeated.

use std::{fmt, str::FromStr};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    configs::reader::TableReader,
    names::{ModelId, ServiceId},
    units::Span,
};

/// What the backend servers of a service are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Model engines with a prompt cache.
    Model,
    /// Plain servers.
    Plain,
}

/// How a place is chosen. Every way but `Permit` is a baseline for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// The shard's home grants a permit and holds the bound.
    Permit,
    /// Baseline: each entry takes the engines in turn.
    RoundRobin,
    /// Baseline: each entry takes the engine with the least reported load.
    LeastReported,
    /// Baseline: rendezvous hashing of the chat alone.
    Rendezvous,
    /// Baseline: rendezvous hashing bounded by what this entry knows.
    BoundedAlone,
}

/// A request pattern: a method and a path with an optional `*` at its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRule {
    /// Method in capitals, or `*`.
    pub method: String,
    /// Path after the service's name; a trailing `*` matches any rest.
    pub path: String,
}

/// Why a text is not a rule.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is not a rule; write a method and a path, such as \"POST /bookings/*\"")]
pub struct RuleError(String);

impl RequestRule {
    /// Returns whether the rule covers the request.
    pub fn covers(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method == "*" || self.method == method;
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        method_matches && path_matches
    }
}

impl FromStr for RequestRule {
    type Err = RuleError;

    fn from_str(text: &str) -> Result<RequestRule, RuleError> {
        let invalid = || RuleError(text.to_owned());
        let (method, path) = text.split_once(' ').ok_or_else(invalid)?;
        let method_is_valid =
            method == "*" || (!method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase()));
        if !method_is_valid || !path.starts_with('/') || path.contains(char::is_whitespace) {
            return Err(invalid());
        }
        Ok(RequestRule { method: method.to_owned(), path: path.to_owned() })
    }
}

impl fmt::Display for RequestRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.path)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Id; callers reach it under `/{id}/`.
    pub id: ServiceId,
    /// What its backend servers are.
    pub kind: ServiceKind,
    /// Most load of one backend server, as a multiple of the mean.
    pub load_bound: f64,
    /// Time a request has when its caller states none.
    pub deadline: Span,
    /// Most time a caller may state.
    pub max_deadline: Span,
    /// Requests that must run at most once.
    pub non_idempotent: Vec<RequestRule>,
    /// Most attempts for one request.
    pub attempts: u32,
    /// Retries allowed, as a share of requests.
    pub retry_budget: f64,
    /// Most requests waiting at a home.
    pub queue: u32,
    /// Longest wait of a returning chat for the engine that holds its context.
    pub affinity_wait: Span,
    /// Models its engines hold.
    pub models: Vec<ModelId>,
    /// Most engines of a shard that load models at once, for the weight store's sake.
    pub loads_at_once: u32,
    /// Least share of a shard's engines that go on serving while models are loaded.
    pub min_serving: f64,
    /// How a place is chosen.
    pub placement: Placement,
}

/// Default patience of model services; the figures behind it are in docs/MEASUREMENTS.md.
const AFFINITY_WAIT: Span = Span::millis(700);

const KINDS: [(&str, ServiceKind); 2] =
    [("model", ServiceKind::Model), ("plain", ServiceKind::Plain)];

const PLACEMENTS: [(&str, Placement); 5] = [
    ("permit", Placement::Permit),
    ("round-robin", Placement::RoundRobin),
    ("least-reported", Placement::LeastReported),
    ("rendezvous", Placement::Rendezvous),
    ("bounded-alone", Placement::BoundedAlone),
];

impl Service {
    /// Reads one `[[service]]`; its models must be among `models`.
    pub fn read(
        table: &TableReader<'_, '_>,
        models: &IndexMap<ModelId, super::Model>,
    ) -> Option<Service> {
        let id = table.required("id");
        let kind = table.required_choice("kind", &KINDS);
        let load_bound = table.number("load_bound", 1.0, 10.0).unwrap_or(1.25);
        let deadline = table.text("deadline").unwrap_or(Span::secs(30));
        let max_deadline = table.text("max_deadline").unwrap_or(Span::secs(300));
        if deadline > max_deadline {
            table.add_error(
                "deadline",
                format!("is over max_deadline ({max_deadline}); lower it or raise that"),
            );
        }
        let service =
            Service {
                id: id?,
                kind: kind?,
                load_bound,
                deadline,
                max_deadline,
                non_idempotent: table.texts("non_idempotent"),
                attempts: table.integer("attempts", 1, 10).unwrap_or(3) as u32,
                retry_budget: table.number("retry_budget", 0.0, 1.0).unwrap_or(0.1),
                queue: table.integer("queue", 0, 100_000).unwrap_or(1000) as u32,
                affinity_wait: table.text("patience").unwrap_or(
                    if kind == Some(ServiceKind::Model) { AFFINITY_WAIT } else { Span::secs(0) },
                ),
                models: table.texts("models"),
                loads_at_once: table.integer("loads_at_once", 1, 1000).unwrap_or(2) as u32,
                min_serving: table.number("min_serving", 0.0, 1.0).unwrap_or(0.75),
                placement: table.choice("placement", &PLACEMENTS).unwrap_or(Placement::Permit),
            };
        for model in service.models.iter().filter(|model| !models.contains_key(*model)) {
            table.add_error(
                "models",
                format!("{model} is no model of this file; add a [[model]] or remove it here"),
            );
        }
        Some(service)
    }
}
