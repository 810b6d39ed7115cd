//! The platform's services as structs of closures, implemented over HTTP and in memory.
//!
//! docs/CONTRACTS.md specifies what the HTTP implementation expects of the platform.

pub mod embedded;
pub mod http;
pub mod members;
pub mod objects;
pub mod table;

pub use members::{Member, MemberChanges, MemberKind, MemberState, Members};
pub use objects::Objects;
pub use table::{Expect, Operation, Row, Table, TransactReply, Transaction, Write};

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The platform rejected the call or could not be reached: nothing took effect.
    #[error("the platform is not available ({0}); try again when it is")]
    Unavailable(String),
    /// No complete reply arrived: the call may have taken effect.
    #[error("the platform's reply was lost ({0}); read back what took effect")]
    ReplyLost(String),
    /// The reply cannot be decoded, or has an unexpected status.
    #[error("the platform's reply cannot be read ({0}); check its version and address")]
    InvalidReply(String),
}

impl PlatformError {
    /// Returns whether the call may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        !matches!(self, PlatformError::Unavailable(_))
    }
}

/// Clients of the platform's services.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table.
    pub table: Table,
    /// The object store.
    pub objects: Objects,
    /// The membership list.
    pub members: Members,
}
