//! The object store: whole objects by key.

use std::sync::Arc;

use super::PlatformError;

type Put = dyn Fn(&str, &[u8]) -> Result<(), PlatformError> + Send + Sync;
type Get = dyn Fn(&str) -> Result<Option<Vec<u8>>, PlatformError> + Send + Sync;

/// The object store.
#[derive(Clone)]
pub struct Objects {
    put: Arc<Put>,
    get: Arc<Get>,
}

impl Objects {
    /// Returns a store made of two closures.
    pub fn new(
        put: impl Fn(&str, &[u8]) -> Result<(), PlatformError> + Send + Sync + 'static,
        get: impl Fn(&str) -> Result<Option<Vec<u8>>, PlatformError> + Send + Sync + 'static,
    ) -> Objects {
        Objects { put: Arc::new(put), get: Arc::new(get) }
    }

    /// Stores an object, replacing what was there.
    ///
    /// # Errors
    ///
    /// [`PlatformFault::ReplyLost`] when it may be stored; storing it again does no harm.
    pub fn put(&self, key: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        (self.put)(key, bytes)
    }

    /// Reads an object; `None` when it is not there.
    ///
    /// # Errors
    ///
    /// The platform does not answer.
    pub fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        (self.get)(key)
    }
}
