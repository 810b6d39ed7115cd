//! The transactional table, whose rows have versions. A transaction writes several rows under conditions.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::PlatformError;

/// A row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value.
    #[serde(with = "base64_text")]
    pub value: Vec<u8>,
    /// Number of writes to the row; 1 after the first.
    pub version: u64,
}

/// Condition on a row under which a transaction takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists and has this version.
    Version(u64),
}

/// Effect of a transaction on a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Write {
    /// Sets the value.
    #[serde(with = "base64_text")]
    Put(Vec<u8>),
    /// Deletes the row.
    Delete,
    /// Leaves the row unchanged.
    Keep,
}

/// Part of a transaction that concerns one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Key of the row.
    pub key: String,
    /// Condition on the row.
    pub expect: Expect,
    /// Effect on the row.
    pub write: Write,
}

impl Operation {
    /// Returns an operation that creates a row, on condition that it does not exist.
    pub fn create(key: impl Into<String>, value: Vec<u8>) -> Operation {
        Operation { key: key.into(), expect: Expect::Absent, write: Write::Put(value) }
    }

    /// Returns an operation that replaces a row's value, on condition that the row has `version`.
    pub fn replace(key: impl Into<String>, version: u64, value: Vec<u8>) -> Operation {
        Operation { key: key.into(), expect: Expect::Version(version), write: Write::Put(value) }
    }
}

/// Operations of which either all or none take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The operations, each on a different row.
    pub operations: Vec<Operation>,
}

/// The platform's reply to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransactReply {
    /// All operations took effect.
    Committed,
    /// No operation took effect because a condition was not met.
    Conflict {
        /// Key of the first row whose condition was not met.
        key: String,
        /// That row, if it exists.
        row: Option<Row>,
    },
}

type Transact = dyn Fn(&Transaction) -> Result<TransactReply, PlatformError> + Send + Sync;
type Get = dyn Fn(&str) -> Result<Option<Row>, PlatformError> + Send + Sync;
type Scan = dyn Fn(&str, &str, usize) -> Result<Vec<Row>, PlatformError> + Send + Sync;

/// The transactional table.
#[derive(Clone)]
pub struct Table {
    transact: Arc<Transact>,
    get: Arc<Get>,
    scan: Arc<Scan>,
}

impl Table {
    /// Returns a table whose operations call the closures.
    pub fn new(
        transact: impl Fn(&Transaction) -> Result<TransactReply, PlatformError> + Send + Sync + 'static,
        get: impl Fn(&str) -> Result<Option<Row>, PlatformError> + Send + Sync + 'static,
        scan: impl Fn(&str, &str, usize) -> Result<Vec<Row>, PlatformError> + Send + Sync + 'static,
    ) -> Table {
        Table { transact: Arc::new(transact), get: Arc::new(get), scan: Arc::new(scan) }
    }

    /// Performs a transaction.
    ///
    /// # Errors
    ///
    /// The transaction may have taken effect if [`PlatformError::may_have_taken_effect`] returns true.
    pub fn transact(&self, operations: Vec<Operation>) -> Result<TransactReply, PlatformError> {
        (self.transact)(&Transaction { operations })
    }

    /// Reads a row; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The platform is unavailable, or its reply is lost or invalid.
    pub fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        (self.get)(key)
    }

    /// Reads up to `most` rows whose keys start with `prefix` and follow `after`, ordered by key.
    ///
    /// # Errors
    ///
    /// The platform is unavailable, or its reply is lost or invalid.
    pub fn scan(&self, prefix: &str, after: &str, most: usize) -> Result<Vec<Row>, PlatformError> {
        (self.scan)(prefix, after, most)
    }
}

mod base64_text {
    use base64::{Engine as _, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error as _};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        STANDARD.decode(String::deserialize(from)?).map_err(D::Error::custom)
    }
}
