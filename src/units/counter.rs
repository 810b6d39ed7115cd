//! Numbers in rows that each writer increases.

use serde::{Deserialize, Deserializer, de::Error as _};

/// Largest such number, 2^53: far above what any number of writes reaches, and far from an overflow.
pub const COUNTER_MAX: u64 = 1 << 53;

/// Deserializes a number that is increased from row to row.
///
/// # Errors
///
/// There is no number, or it is above [`COUNTER_MAX`]. It is not lowered, since two writers would then use the same one.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let number = u64::deserialize(from)?;
    if number > COUNTER_MAX {
        return Err(D::Error::custom(format!("{number} is above {COUNTER_MAX}")));
    }
    Ok(number)
}
