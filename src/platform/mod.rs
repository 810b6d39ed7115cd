//! The platform's services as plain structs of closures, with an HTTP and an embedded form.
//!
//! What the HTTP form expects of the platform is written in docs/CONTRACTS.md.

pub mod embedded;
pub mod http;
pub mod members;
pub mod objects;
pub mod table;

pub use members::{Member, MemberChanges, MemberKind, MemberState, Members};
pub use objects::Objects;
pub use table::{Expect, Operation, Row, Table, TransactReply, Transaction, Write};

/// Why the platform did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The platform said no, or was not reached: nothing took effect.
    #[error("the platform is not available ({0}); try again when it is")]
    Unavailable(String),
    /// No reply came: it may have taken effect.
    #[error("the platform's reply was lost ({0}); read back what took effect")]
    ReplyLost(String),
    /// The reply cannot be read.
    #[error("the platform's reply cannot be read ({0}); check its version and address")]
    InvalidReply(String),
}

impl PlatformError {
    /// Returns whether what was asked may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        !matches!(self, PlatformError::Unavailable(_))
    }
}

/// The platform's three services.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table.
    pub table: Table,
    /// The object store.
    pub objects: Objects,
    /// The membership list.
    pub members: Members,
}
