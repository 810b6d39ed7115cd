//! cartvane: a fleet of request routers for services with very many long-lived chats.
//!
//! All instances run the same binary, between callers and backend servers. docs/ARCHITECTURE.md describes the modules,
//! and docs/DESIGN.md explains their design.

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
