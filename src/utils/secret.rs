//! Credentials, which are compared in constant time and never printed, and hashes.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// A credential. Its `Debug` output hides the text.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Returns a credential with this text.
    pub fn new(text: impl Into<String>) -> Secret {
        Secret(text.into())
    }

    /// Returns the text, for sending it to the peer or the platform that expects it.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares in a time that does not depend on where the texts differ, so that timing does not reveal a prefix.
    pub fn matches(&self, other: &str) -> bool {
        self.0.as_bytes().ct_eq(other.as_bytes()).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// Returns whether `given` matches one of `accepted`. All of them are compared, so that timing does not reveal which
/// one matches.
pub fn any_matches(accepted: &[Secret], given: &str) -> bool {
    accepted.iter().fold(false, |is_match, secret| secret.matches(given) | is_match)
}

/// Returns the HMAC-SHA-256 of `message` with `key`.
///
/// # Panics
///
/// Never: HMAC accepts keys of any length.
pub fn keyed_hash(key: &[u8], message: &[u8]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(message);
    mac.finalize().into_bytes().into()
}

/// Returns the SHA-256 hash of `bytes`.
pub fn digest(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}
