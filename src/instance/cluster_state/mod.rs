//! The way of knowledge: a file is checked and stored (`apply`), learned and put in force (`config`,
//! `objects`, `snapshot`), and instances learn of each other (`gossip`, `peers`).

pub mod apply;
pub mod audit_trail;
pub mod config;
pub mod gossip;
pub mod objects;
pub mod peers;
pub mod snapshot;
