//! All integration tests, as one crate.

mod answers;
mod home;
mod support;
mod whole_path;
