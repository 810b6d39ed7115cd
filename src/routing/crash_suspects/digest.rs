//! Identity of what may crash servers: a request across the attempts of its caller, or a part of prompts.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::PromptPartId;
use crate::names::ServiceName;

/// Hash that identifies a suspect.
///
/// Of a request, it covers what stays the same when its caller retries it: team, target and body. The request id is new
/// with each attempt, and headers change with the remaining deadline or the last event received, so both are left out.
/// Of a part of prompts, it covers the part and the service, whichever team or route a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SuspectDigest(pub u64);

/// Error for a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is not the digest of a request or a prompt part: expected 16 hexadecimal digits, as in a log line"
)]
pub struct DigestError(String);

impl SuspectDigest {
    /// Returns the digest of a request that consists of `parts`. The length of each part is hashed too, so that moving
    /// bytes from one part to the next changes the digest.
    pub fn of(parts: &[&[u8]]) -> SuspectDigest {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        SuspectDigest(hasher.digest())
    }

    /// Returns the digest of a part of prompts that requests to `service` have.
    pub fn of_part(service: &ServiceName, part: PromptPartId) -> SuspectDigest {
        SuspectDigest::of(&[b"part", service.as_str().as_bytes(), &part.0.to_le_bytes()])
    }
}

impl fmt::Display for SuspectDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for SuspectDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<SuspectDigest, DigestError> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let value = u64::from_str_radix(text, 16).ok().filter(|_| digits);
        value.map(SuspectDigest).ok_or_else(|| DigestError(text.to_owned()))
    }
}
