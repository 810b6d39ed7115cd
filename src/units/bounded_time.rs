//! Durations that somebody else wrote.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Deserializer};

use super::{Span, UnitError};

/// A duration from outside this process, of at most 30 days.
///
/// An instant plus a duration of any length, or a multiple of one, can overflow, which ends the thread that computes it.
/// Files, entries, headers and messages can have any number, so a longer time is lowered to the maximum where it is
/// decoded: it means that there is no limit in practice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct BoundedTime(Duration);

impl BoundedTime {
    /// Longest duration: no route, order or lease lasts as long, and sums and multiples of it are far from an overflow.
    pub const MAX: Duration = Duration::from_secs(30 * 24 * 3600);

    /// Returns a duration of `secs` seconds. One below zero, or no number, is zero.
    pub fn from_secs(secs: f64) -> BoundedTime {
        BoundedTime(Duration::from_secs_f64(secs.max(0.0).min(BoundedTime::MAX.as_secs_f64())))
    }

    /// Returns a duration of `millis` milliseconds. One below zero, or no number, is zero.
    pub fn from_millis(millis: f64) -> BoundedTime {
        BoundedTime::from_secs(millis / 1000.0)
    }

    /// Returns the duration.
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl From<Duration> for BoundedTime {
    fn from(time: Duration) -> BoundedTime {
        BoundedTime(time.min(BoundedTime::MAX))
    }
}

impl fmt::Display for BoundedTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Span(self.0).fmt(f)
    }
}

impl FromStr for BoundedTime {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<BoundedTime, UnitError> {
        Ok(text.parse::<Span>()?.0.into())
    }
}

/// Deserializes a duration in a message of another instance or in a row of a table.
///
/// # Errors
///
/// There is no duration.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    Duration::deserialize(from).map(|time| BoundedTime::from(time).get())
}

/// As [`deserialize`], for a duration that may be missing.
///
/// # Errors
///
/// There is something else than a duration.
pub fn deserialize_option<'de, D: Deserializer<'de>>(
    from: D,
) -> Result<Option<Duration>, D::Error> {
    let time = Option::<Duration>::deserialize(from)?;
    Ok(time.map(|time| BoundedTime::from(time).get()))
}
