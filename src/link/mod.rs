//! Links to callers, backend servers and other instances: transports and codecs.

pub mod answer;
pub mod backend;
pub mod call;
pub mod caller;
pub mod http1;
pub mod idle;
pub mod kept;
pub mod peer;
pub mod small;
pub mod traffic;
pub mod wire;
