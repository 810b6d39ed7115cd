//! Numbers of processor cores that another instance states.

use serde::{Deserialize, Deserializer};

/// Largest number of cores that is believed, more than one machine has.
pub const CORES_MAX: f32 = 4096.0;

/// Returns `cores`, or 0 if no instance can have that many. The strongest instance ranks first, so a number that is not
/// believed puts an instance last, and is not only lowered.
pub fn believed(cores: f32) -> f32 {
    if (0.0..=CORES_MAX).contains(&cores) { cores } else { 0.0 }
}

/// Deserializes a number of cores in a message or row as [`believed`] returns it.
///
/// # Errors
///
/// There is no number.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<f32, D::Error> {
    f32::deserialize(from).map(believed)
}
