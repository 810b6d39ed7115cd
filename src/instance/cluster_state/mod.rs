//! The way of knowledge: a file is checked and stored (`apply`), learned and put in force (`config`,
//! `objects`, `snapshot`), and instances learn of each other (`gossip`, `peer_server`).

pub mod apply;
pub mod audit_trail;
pub mod config;
pub mod gossip;
pub mod objects;
pub mod peer_server;
pub mod snapshot;
