//! Small helpers shared by several features.

pub mod cached;
pub mod deflate;
pub mod nearest;
pub mod secret;
pub mod signal;
pub mod sync;
pub mod usage;
