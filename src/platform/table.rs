//! The transactional table: rows with versions, conditional writes of several rows at once.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::PlatformError;

/// A row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Content.
    #[serde(with = "base64_text")]
    pub value: Vec<u8>,
    /// Number of writes the row has seen; 1 after the first.
    pub version: u64,
}

/// What a row must be for a transaction to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// Anything.
    Any,
    /// Not there.
    Absent,
    /// There, with this version.
    Version(u64),
}

/// What becomes of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Write {
    /// Gets this content.
    #[serde(with = "base64_text")]
    Put(Vec<u8>),
    /// Goes away.
    Delete,
    /// Stays.
    Keep,
}

/// One row's part of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Key of the row.
    pub key: String,
    /// Condition.
    pub expect: Expect,
    /// Effect.
    pub write: Write,
}

impl Operation {
    /// Returns the operation that creates a row which must not be there.
    pub fn create(key: impl Into<String>, value: Vec<u8>) -> Operation {
        Operation { key: key.into(), expect: Expect::Absent, write: Write::Put(value) }
    }

    /// Returns the operation that replaces a row of a known version.
    pub fn replace(key: impl Into<String>, version: u64, value: Vec<u8>) -> Operation {
        Operation { key: key.into(), expect: Expect::Version(version), write: Write::Put(value) }
    }
}

/// Operations that take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The operations, each on a row of its own.
    pub operations: Vec<Operation>,
}

/// The platform's reply to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransactReply {
    /// All took effect.
    Committed,
    /// None took effect: a condition did not hold.
    Conflict {
        /// Key of the first row whose condition did not hold.
        key: String,
        /// That row, if it is there.
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
    /// Returns a table made of three closures.
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
    /// [`PlatformFault::ReplyLost`] when it may have taken effect, else nothing did.
    pub fn transact(&self, operations: Vec<Operation>) -> Result<TransactReply, PlatformError> {
        (self.transact)(&Transaction { operations })
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// The platform does not answer.
    pub fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        (self.get)(key)
    }

    /// Reads up to `most` rows whose keys start with `prefix` and follow `after`, by key.
    ///
    /// # Errors
    ///
    /// The platform does not answer.
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
