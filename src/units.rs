//! Newtypes for sizes, rates, durations and revisions, with `Display` and `FromStr`.

pub mod bounded_time;
pub mod cores;
pub mod counter;
pub mod request_count;
mod slot_count;

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

pub use self::bounded_time::BoundedTime;
pub use self::request_count::{RequestCount, RequestCountError};
pub use self::slot_count::{SlotCount, SlotCountError};

/// Why a text is no valid quantity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UnitError {
    /// The text is not a size.
    #[error("{0:?} is not a size; write a whole number with B, KiB, MiB or GiB, such as \"64KiB\"")]
    Size(String),
    /// The text is not a rate.
    #[error("{0:?} is not a rate; write a number per second, such as \"50/s\"")]
    Rate(String),
    /// The text is not a duration.
    #[error("{0:?} is not a duration; write such as \"250ms\", \"3s\" or \"2min\"")]
    Span(String),
    /// The duration is longer than [`BoundedTime::MAX`].
    #[error("{0:?} is too long; write a duration of at most {max}", max = Span(BoundedTime::MAX))]
    SpanTooLong(String),
    /// The text is not a revision.
    #[error("{0:?} is not a revision; write a whole number, as `cartvane show` prints it")]
    Revision(String),
}

/// A number of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Size(pub u64);

/// Units of sizes with their number of bytes, the largest first.
const SIZE_UNITS: [(&str, u64); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl Size {
    /// Returns the number of bytes as a `usize`, saturating on platforms where it does not fit.
    pub fn bytes(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = |&&(_, unit): &&(&str, u64)| self.0 >= unit && self.0.is_multiple_of(unit);
        let (name, unit) = SIZE_UNITS.iter().find(whole).unwrap_or(&SIZE_UNITS[3]);
        write!(f, "{}{name}", self.0 / unit)
    }
}

impl FromStr for Size {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Size, UnitError> {
        let error = || UnitError::Size(text.to_owned());
        let (name, unit) =
            SIZE_UNITS.iter().find(|(name, _)| text.ends_with(name)).ok_or_else(error)?;
        let count: u64 = text[..text.len() - name.len()].trim().parse().map_err(|_| error())?;
        count.checked_mul(*unit).map(Size).ok_or_else(error)
    }
}

/// A number of events per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Rate, UnitError> {
        let error = || UnitError::Rate(text.to_owned());
        let number = text.strip_suffix("/s").ok_or_else(error)?;
        let rate: f64 = number.trim().parse().map_err(|_| error())?;
        if rate.is_finite() && rate > 0.0 { Ok(Rate(rate)) } else { Err(error()) }
    }
}

/// A duration in settings and files: a [`Duration`] with a text form such as `250ms`. One that is read from a text is at
/// most [`BoundedTime::MAX`], and a longer one in a stored file is lowered to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span(#[serde(deserialize_with = "bounded_time::deserialize")] pub Duration);

impl Span {
    /// Returns a duration of `millis` milliseconds.
    pub const fn millis(millis: u64) -> Span {
        Span(Duration::from_millis(millis))
    }

    /// Returns a duration of `secs` seconds.
    pub const fn secs(secs: u64) -> Span {
        Span(Duration::from_secs(secs))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(self.0).to_string().replace(' ', ""))
    }
}

impl FromStr for Span {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Span, UnitError> {
        let span = humantime::parse_duration(text).map_err(|_| UnitError::Span(text.to_owned()))?;
        if span > BoundedTime::MAX {
            return Err(UnitError::SpanTooLong(text.to_owned()));
        }
        Ok(Span(span))
    }
}

/// The number of an accepted configuration file, which only increases; zero if none has been accepted yet.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(#[serde(deserialize_with = "counter::deserialize")] pub u64);

impl Revision {
    /// Returns the next revision.
    pub fn next(self) -> Revision {
        Revision(self.0.saturating_add(1))
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Revision, UnitError> {
        text.parse().map(Revision).map_err(|_| UnitError::Revision(text.to_owned()))
    }
}
