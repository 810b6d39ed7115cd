//! The object store, which stores and returns whole objects by key.

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
    /// Returns an object store whose operations call the closures.
    pub fn new(
        put: impl Fn(&str, &[u8]) -> Result<(), PlatformError> + Send + Sync + 'static,
        get: impl Fn(&str) -> Result<Option<Vec<u8>>, PlatformError> + Send + Sync + 'static,
    ) -> Objects {
        Objects { put: Arc::new(put), get: Arc::new(get) }
    }

    /// Stores an object, replacing an earlier one with the same key.
    ///
    /// # Errors
    ///
    /// The object may have been stored if [`PlatformError::may_have_taken_effect`] returns true. It is safe to store it
    /// again.
    pub fn put(&self, key: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        (self.put)(key, bytes)
    }

    /// Reads an object; `None` if there is no object with this key.
    ///
    /// # Errors
    ///
    /// The platform is unavailable, or its reply is lost or invalid.
    pub fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        (self.get)(key)
    }
}
