//! All integration tests, as one crate.

mod answers;
mod bodies;
mod callers;
mod config;
mod drain;
mod files;
mod framing;
mod gateway;
mod herding;
mod home;
mod home_drawn;
mod knowledge;
mod large_intent;
mod machines;
mod orders;
mod overload;
mod picking;
mod platform;
mod process;
mod report;
mod routing;
mod sessions;
mod store;
mod support;
mod whole_path;
mod world;
