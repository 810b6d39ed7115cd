//! Places: how chats rank engines, how engines form shards, and the home of each shard.

pub mod baseline;
pub mod engine;
pub mod hand_over;
pub mod home;
pub mod home_event;
pub mod homes;
pub mod ledger;
pub mod load_view;
pub mod memory;
pub mod recency;
pub mod rendezvous;
pub mod shard;
pub mod waiting;
