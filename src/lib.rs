//! cartvane: a router fleet for very many returning chats.
//!
//! Instances of one binary stand between callers and backend servers. docs/ARCHITECTURE.md is the
//! map of the modules, docs/DESIGN.md says why they are as they are.

#[path = "../platform/mod.rs"]
pub mod adapter;
pub mod audit;
pub mod cli;
pub mod clock;
pub mod configs;
pub mod context;
pub mod contract;
pub mod gateway;
pub mod instance;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod names;
pub mod platform;
pub mod report;
pub mod routing;
pub mod units;
pub mod utils;
pub mod zone;
