//! All integration tests, as one crate.

mod answers;
mod callers;
mod drain;
mod framing;
mod home;
mod support;
mod whole_path;
