//! Connections to callers, backend servers and other instances: listeners, clients, HTTP/1.1 and message formats.

pub mod backend;
pub mod call;
pub mod conn_pool;
pub mod datagrams;
pub mod dialer;
pub mod http1;
pub mod idle;
pub mod listener;
pub mod peer;
pub mod pool_check;
pub mod response;
pub mod text_server;
pub mod traffic;
pub mod tunnel;
pub mod wire;
