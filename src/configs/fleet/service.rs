//! `[[service]]`: kind, load bound, deadlines, retry rules and placement of one service.

use std::{fmt, str::FromStr};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    configs::reader::TableReader,
    names::{ModelId, ServiceId},
    units::Span,
};

/// Kind of a service's backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Model engines, which have a prompt cache.
    Model,
    /// Servers without a prompt cache.
    Plain,
}

/// How the engine for a request is chosen. All but `Permit` are baselines for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// The home of the shard grants a permit and enforces the load bound.
    Permit,
    /// Baseline: each entry uses the engines in rotation.
    RoundRobin,
    /// Baseline: each entry uses the engine with the least reported load.
    LeastReported,
    /// Baseline: rendezvous hashing of the chat, without a load bound.
    Rendezvous,
    /// Baseline: rendezvous hashing with a load bound that each entry computes from its own observations.
    BoundedAlone,
}

/// Pattern of requests: a method, and a path that may end in `*`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRule {
    /// Method in upper case, or `*` for all methods.
    pub method: String,
    /// Path without the service prefix; a trailing `*` matches any suffix.
    pub path: String,
}

/// Error for a string that is not a request rule.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is not a rule; write a method and a path, such as \"POST /bookings/*\"")]
pub struct RuleError(String);

impl RequestRule {
    /// Returns whether the rule applies to a request.
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

/// A service and its settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Id of the service; its URL paths start with `/{id}/`.
    pub id: ServiceId,
    /// Kind of its backend servers.
    pub kind: ServiceKind,
    /// Maximum load of one backend server, as a multiple of the mean load.
    pub load_bound: f64,
    /// Time limit of requests whose caller sets none.
    pub deadline: Span,
    /// Maximum time limit that a caller may set.
    pub max_deadline: Span,
    /// Requests that must not run more than once.
    pub non_idempotent: Vec<RequestRule>,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Maximum number of retries, as a fraction of the requests.
    pub retry_budget: f64,
    /// Maximum number of requests queued at a home.
    pub queue: u32,
    /// Maximum wait of a returning chat for the engine that has its context.
    pub affinity_wait: Span,
    /// Models that its engines load.
    pub models: Vec<ModelId>,
    /// Maximum number of engines of a shard that load models at the same time; it limits the load of the store from
    /// which engines fetch weights.
    pub loads_at_once: u32,
    /// Minimum fraction of a shard's engines that keep serving requests while others load models.
    pub min_serving: f64,
    /// How the engine for a request is chosen.
    pub placement: Placement,
}

/// Default `patience` of model services; docs/MEASUREMENTS.md has the measurements behind it.
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
    /// Reads a `[[service]]` table, whose models must be among `models`.
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
