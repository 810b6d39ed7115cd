//! A cheap hash that rules out most requests before their bodies are hashed.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::SuspectDigest;

/// Hash of a request's team, target and body length. Requests with different fingerprints are different requests, so
/// nearly all bodies need not be hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u32);

impl RequestFingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(team: &str, target: &str, body_bytes: usize) -> RequestFingerprint {
        let length = body_bytes.to_le_bytes();
        let hash = SuspectDigest::of(&[team.as_bytes(), target.as_bytes(), &length]);
        RequestFingerprint(hash.0 as u32)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
