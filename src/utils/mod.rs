//! Small helpers that several modules share.

pub mod cached;
pub mod deflate;
pub mod nearest;
pub mod secret;
pub mod signal;
pub mod supervisor;
pub mod sync;
pub mod usage;
