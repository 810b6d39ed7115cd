//! A cheap sign of which request this may be.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::RequestDigest;

/// Hash of a request's team, target and the length of its body: requests of different looks are different requests,
/// which saves reading the bodies of nearly all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u32);

impl RequestFingerprint {
    /// Returns the look of a request.
    pub fn of(team: &str, target: &str, body_bytes: usize) -> RequestFingerprint {
        let length = body_bytes.to_le_bytes();
        let hash = RequestDigest::of(&[team.as_bytes(), target.as_bytes(), &length]);
        RequestFingerprint(hash.0 as u32)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
