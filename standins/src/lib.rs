//! Small stand-ins for what cartvane meets: model engines, plain services and the platform; and
//! the fleet and load driver that run real routers against them. Development only.
//!
//! The contracts they stand for are written in docs/CONTRACTS.md.

pub mod bodies;
pub mod brittle;
pub mod cache;
pub mod caller;
pub mod endless;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod held_stream;
pub mod links;
pub mod listed;
pub mod load;
pub mod measure;
pub mod model;
pub mod mute;
pub mod plain;
pub mod platform;
pub mod proxy;
pub mod server;
pub mod store;
mod store_history;
pub mod stream_format;
