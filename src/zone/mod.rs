//! Placement of requests: how chats rank engines, how engines form shards, and which instance is the home of a shard.

pub mod baseline;
pub mod chat_locations;
pub mod context_moves;
pub mod engine;
pub mod home;
pub mod home_event;
pub mod homes;
pub mod load_view;
pub mod permit_table;
pub mod recent_chats;
pub mod rendezvous;
pub mod shard;
pub mod waiting;
