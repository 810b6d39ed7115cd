//! Numbers of requests that engines, instances and files state.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer};

/// Number of requests that one backend server of the router mode runs, of at most a million.
///
/// Servers report it themselves, and the load bound of a service follows from the sum over its servers: one with a
/// number that cannot be would lift the bound of all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RequestCount(u32);

/// The text or number is no number of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no number of requests; state a whole number of at most {max}", max = RequestCount::MAX)]
pub struct RequestCountError;

impl RequestCount {
    /// Largest number, which is also the largest capacity that an operators' file accepts.
    pub const MAX: u32 = 1_000_000;

    /// Returns `count` as a number of requests, or `None` if it is above [`RequestCount::MAX`].
    pub fn checked(count: u32) -> Option<RequestCount> {
        (count <= RequestCount::MAX).then_some(RequestCount(count))
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for RequestCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestCount {
    type Err = RequestCountError;

    fn from_str(text: &str) -> Result<RequestCount, RequestCountError> {
        let count = text.trim().parse().map_err(|_| RequestCountError)?;
        RequestCount::checked(count).ok_or(RequestCountError)
    }
}

/// Deserializes a load that an engine reports. One above the maximum is not believed, and counts as none.
///
/// # Errors
///
/// There is no number.
pub fn deserialize_load<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    let count = u32::deserialize(from)?;
    Ok(RequestCount::checked(count).unwrap_or_default().get())
}

/// Deserializes the capacity of a backend server in a stored file, from 1 to [`RequestCount::MAX`].
///
/// # Errors
///
/// There is no number.
pub fn deserialize_capacity<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    Ok(u32::deserialize(from)?.clamp(1, RequestCount::MAX))
}
