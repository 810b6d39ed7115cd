//! Identity of a request across the attempts of its caller.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of what stays the same when a caller retries a request: its team, target and body. The request id is new with
/// each attempt, and headers change with the remaining deadline or the last event received, so both are left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

/// Error for a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a request digest: expected 16 hexadecimal digits, as in a log line")]
pub struct DigestError(String);

impl RequestDigest {
    /// Returns the digest of a request that consists of `parts`. The length of each part is hashed too, so that moving
    /// bytes from one part to the next changes the digest.
    pub fn of(parts: &[&[u8]]) -> RequestDigest {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        RequestDigest(hasher.digest())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<RequestDigest, DigestError> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let value = u64::from_str_radix(text, 16).ok().filter(|_| digits);
        value.map(RequestDigest).ok_or_else(|| DigestError(text.to_owned()))
    }
}
