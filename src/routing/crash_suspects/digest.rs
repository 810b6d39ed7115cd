//! What makes two requests the same one, sent again.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of what a caller sends again when it repeats a request: its team, the target and the body, and not the id,
/// which is new with each attempt, nor headers, which say how long the caller waits or which events it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

/// Why a text is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a digest; give the 16 hexadecimal digits that a log line shows")]
pub struct DigestError(String);

impl RequestDigest {
    /// Returns the digest of the request that `parts` make up together.
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
