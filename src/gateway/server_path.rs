//! How a request reaches its backend server.

use std::fmt;

use crate::names::NodeName;

/// The path of an attempt to its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum ServerPath {
    /// A connection of this instance.
    #[default]
    Direct,
    /// A tunnel through this other instance.
    Through(NodeName),
}

impl ServerPath {
    /// Returns whether the attempt uses a connection of this instance.
    pub fn is_direct(&self) -> bool {
        *self == ServerPath::Direct
    }
}

impl fmt::Display for ServerPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServerPath::Direct => f.write_str("direct"),
            ServerPath::Through(node) => write!(f, "{node}"),
        }
    }
}
