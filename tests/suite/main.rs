//! All integration tests, as one crate.

mod answers;
mod callers;
mod framing;
mod home;
mod support;
mod whole_path;
