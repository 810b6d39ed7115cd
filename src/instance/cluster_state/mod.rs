//! Configuration and membership of the cluster: a file is checked and stored (`apply`), fetched and activated
//! (`config`, `objects`, `snapshot`), and instances discover each other (`gossip`, `peer_server`).

pub mod apply;
pub mod audit_trail;
pub mod config;
pub mod gossip;
pub mod objects;
pub mod peer_server;
pub mod snapshot;
