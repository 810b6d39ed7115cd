//! All integration tests, as one crate.

mod support;
mod whole_path;
