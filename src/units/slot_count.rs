//! How many requests a backend server runs at once.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Why a number is no number of slots.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SlotCountError {
    /// A server without slots runs no request.
    #[error("0 slots; state how many requests the server runs at once")]
    None,
    /// The number is above [`SlotCount::MAX`].
    #[error("{0} slots; state at most {max} for one server", max = SlotCount::MAX)]
    TooMany(u32),
    /// The text is not a whole number.
    #[error("{0:?} is not a number of slots; write a whole number from 1 to {max}", max = SlotCount::MAX)]
    NotANumber(String),
}

/// Number of requests that a backend server runs at once, from 1 to 4,096.
///
/// Servers state it themselves, and the shares, leases and rejections of a whole service follow from the sum over its
/// servers. A number above the maximum is therefore not believed, and not only lowered to it: one server with a bounded,
/// but still much too large number would make a full service look empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "u32", into = "u32")]
pub struct SlotCount(u32);

impl SlotCount {
    /// Largest number: 64 times that of the largest servers at the users' sites.
    pub const MAX: u32 = 4096;

    /// Returns `count` as a number of slots.
    ///
    /// # Errors
    ///
    /// It is 0, or above [`SlotCount::MAX`].
    pub const fn checked(count: u32) -> Result<SlotCount, SlotCountError> {
        match count {
            0 => Err(SlotCountError::None),
            1..=SlotCount::MAX => Ok(SlotCount(count)),
            _ => Err(SlotCountError::TooMany(count)),
        }
    }

    /// Returns the number of slots nearest to `count`. Messages between instances are decoded so: an instance of a build
    /// that believes any number may send one, and the rest of its list is still of use.
    pub const fn nearest(count: u32) -> SlotCount {
        match count {
            0 => SlotCount(1),
            1..=SlotCount::MAX => SlotCount(count),
            _ => SlotCount(SlotCount::MAX),
        }
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl From<u32> for SlotCount {
    fn from(count: u32) -> SlotCount {
        SlotCount::nearest(count)
    }
}

impl From<SlotCount> for u32 {
    fn from(slots: SlotCount) -> u32 {
        slots.0
    }
}

impl From<SlotCount> for f64 {
    fn from(slots: SlotCount) -> f64 {
        f64::from(slots.0)
    }
}

impl fmt::Display for SlotCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for SlotCount {
    type Err = SlotCountError;

    fn from_str(text: &str) -> Result<SlotCount, SlotCountError> {
        let count = text.trim().parse().map_err(|_| SlotCountError::NotANumber(text.to_owned()))?;
        SlotCount::checked(count)
    }
}
