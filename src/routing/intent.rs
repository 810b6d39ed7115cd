//! The operator's configuration as one version, the intent, and the rule that its version never decreases.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{ColdTerms, RouteTable, Teams};
use crate::{names::ServiceName, units::bounded_time};

/// Limits and kind of the backend servers of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Largest number of connections to one backend server, over all instances together.
    pub max_connections: u32,
    /// Whether its backend servers are model engines, whose load is bounded.
    pub engine: bool,
    /// Limits while its backend servers are cold, if these differ.
    pub cold: Option<ColdTerms>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub head_time: Duration,
    /// Longest time that a connection stays open without a request.
    #[serde(deserialize_with = "bounded_time::deserialize")]
    pub idle_time: Duration,
}

/// One version of the operator's configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Intent {
    /// Version, which increases with each change.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Services.
    pub services: IndexMap<ServiceName, ServiceSpec>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Teams and keys.
    pub teams: Teams,
}

impl Intent {
    /// Returns the intent of version 0, with which nothing is served.
    pub fn empty() -> Intent {
        let limits = CallerLimits {
            head_bytes: 0,
            body_bytes: 0,
            head_time: Duration::ZERO,
            idle_time: Duration::ZERO,
        };
        Intent {
            version: 0,
            routes: RouteTable::default(),
            services: IndexMap::new(),
            limits,
            teams: Teams::default(),
        }
    }
}

/// The active intent, whose version never decreases.
#[derive(Debug, Clone, Default)]
pub struct ActiveIntent {
    intent: Option<Arc<Intent>>,
    previous_idle_time: Duration,
}

impl ActiveIntent {
    /// Activates `intent` if it is newer than the active one; returns whether it is.
    pub fn offer(&mut self, intent: impl Into<Arc<Intent>>) -> bool {
        let intent = intent.into();
        if self.intent.as_ref().is_some_and(|active| active.version >= intent.version) {
            return false;
        }
        if let Some(active) = &self.intent {
            self.previous_idle_time = active.limits.idle_time;
        }
        self.intent = Some(intent);
        true
    }

    /// Returns the active intent.
    pub fn current(&self) -> Option<&Arc<Intent>> {
        self.intent.as_ref()
    }

    /// Returns the active version; 0 before the first.
    pub fn version(&self) -> u64 {
        self.intent.as_ref().map_or(0, |intent| intent.version)
    }

    /// Returns how long an idle connection stays open, the longer of the active and the previous version: callers may
    /// still rely on the previous one.
    pub fn idle_time(&self) -> Duration {
        let current = self.intent.as_ref().map_or(Duration::ZERO, |i| i.limits.idle_time);
        current.max(self.previous_idle_time)
    }
}
