//! Secrets: compared in constant time, never printed.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// A credential. Its `Debug` form hides it.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Returns the credential made of `text`.
    pub fn new(text: impl Into<String>) -> Secret {
        Secret(text.into())
    }

    /// Returns the text, for sending it to who must see it.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares in a time that does not depend on where the texts differ.
    pub fn matches(&self, other: &str) -> bool {
        self.0.as_bytes().ct_eq(other.as_bytes()).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// Returns whether `given` is one of `accepted`; every one is compared.
pub fn any_matches(accepted: &[Secret], given: &str) -> bool {
    accepted.iter().fold(false, |found, secret| secret.matches(given) | found)
}

/// Returns HMAC-SHA-256 of `message` under `key`.
///
/// # Panics
///
/// Never: HMAC takes keys of any length.
pub fn keyed_hash(key: &[u8], message: &[u8]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(message);
    mac.finalize().into_bytes().into()
}

/// Returns SHA-256 of `bytes`.
pub fn digest(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}
