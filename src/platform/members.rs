//! The membership list of instances and backend servers, live or leaving. It lags behind their actual state.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use super::PlatformError;
use crate::names::ZoneId;

/// Kind of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberKind {
    /// A router instance.
    Instance,
    /// A backend server.
    BackendServer,
}

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Running.
    Live,
    /// Shutting down: accepts no new requests.
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
    /// Kind of the member.
    pub kind: MemberKind,
    /// Address at which other instances reach the member.
    pub address: SocketAddr,
    /// Zone of the member.
    pub zone: ZoneId,
    /// State of the member.
    pub state: MemberState,
}

/// Changes of the membership list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MemberChanges {
    /// Version of the list after these changes; versions only grow.
    pub version: u64,
    /// Members that changed since the requested version.
    pub changed: Vec<Member>,
}

type Since = dyn Fn(u64) -> Result<MemberChanges, PlatformError> + Send + Sync;

/// The membership list.
#[derive(Clone)]
pub struct Members {
    since: Arc<Since>,
}

impl Members {
    /// Returns a list whose changes come from the closure.
    pub fn new(
        since: impl Fn(u64) -> Result<MemberChanges, PlatformError> + Send + Sync + 'static,
    ) -> Members {
        Members { since: Arc::new(since) }
    }

    /// Returns the changes after `version`.
    ///
    /// # Errors
    ///
    /// The platform is unavailable, or its reply is lost or invalid.
    pub fn since(&self, version: u64) -> Result<MemberChanges, PlatformError> {
        (self.since)(version)
    }
}
