//! What the operator wants, as one version, and the rule that it only goes forward.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{ColdTerms, RouteTable, Teams};
use crate::names::ServiceName;

/// What a service's backend servers take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Most connections of one backend server, from all callers together.
    pub max_connections: u32,
    /// Whether its backend servers are model engines, whose load is bounded.
    pub engine: bool,
    /// What its backend servers bear while they are cold, where that is less than otherwise.
    pub cold: Option<ColdTerms>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive once it has begun.
    pub head_time: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_time: Duration,
}

/// One version of what the operator wants.
#[derive(Debug, Clone, PartialEq)]
pub struct Intent {
    /// Version; grows with each change.
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
    /// Returns the intent of version 0, by which nothing is served.
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

/// The version in force, which never goes back.
#[derive(Debug, Clone, Default)]
pub struct ActiveIntent {
    intent: Option<Arc<Intent>>,
    previous_idle_time: Duration,
}

impl ActiveIntent {
    /// Puts `intent` in force unless one as new already is; returns whether it did.
    pub fn offer(&mut self, intent: impl Into<Arc<Intent>>) -> bool {
        let intent = intent.into();
        if self.intent.as_ref().is_some_and(|known| known.version >= intent.version) {
            return false;
        }
        if let Some(known) = &self.intent {
            self.previous_idle_time = known.limits.idle_time;
        }
        self.intent = Some(intent);
        true
    }

    /// Returns the version in force.
    pub fn current(&self) -> Option<&Arc<Intent>> {
        self.intent.as_ref()
    }

    /// Returns the version number in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.intent.as_ref().map_or(0, |intent| intent.version)
    }

    /// Returns how long an idle connection stays open: callers may still go by the version before.
    pub fn idle_time(&self) -> Duration {
        let current = self.intent.as_ref().map_or(Duration::ZERO, |i| i.limits.idle_time);
        current.max(self.previous_idle_time)
    }
}
