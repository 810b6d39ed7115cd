//! The membership list: which instances and backend servers are live or leaving, with a lag.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use super::PlatformError;
use crate::names::ZoneId;

/// What a member is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberKind {
    /// A router instance.
    Instance,
    /// A backend server.
    BackendServer,
}

/// How a member is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Live.
    Live,
    /// Leaving: it takes nothing new.
    Leaving,
    /// Removed from the list.
    #[serde(rename = "gone")]
    Removed,
}

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the instance or backend server.
    pub id: String,
    /// What it is.
    pub kind: MemberKind,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// How it is.
    pub state: MemberState,
}

/// What changed in the list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MemberChanges {
    /// Version of the list after these changes; only grows.
    pub version: u64,
    /// Members that changed since the version asked for.
    pub changed: Vec<Member>,
}

type Since = dyn Fn(u64) -> Result<MemberChanges, PlatformError> + Send + Sync;

/// The membership list.
#[derive(Clone)]
pub struct Members {
    since: Arc<Since>,
}

impl Members {
    /// Returns a list made of a closure.
    pub fn new(
        since: impl Fn(u64) -> Result<MemberChanges, PlatformError> + Send + Sync + 'static,
    ) -> Members {
        Members { since: Arc::new(since) }
    }

    /// Returns what changed after `version`.
    ///
    /// # Errors
    ///
    /// The platform does not answer.
    pub fn since(&self, version: u64) -> Result<MemberChanges, PlatformError> {
        (self.since)(version)
    }
}
