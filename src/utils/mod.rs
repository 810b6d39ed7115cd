//! Small helpers shared by several features.

pub mod deflate;
pub mod nearest;
pub mod recent;
pub mod secret;
pub mod signal;
pub mod sync;
pub mod usage;
