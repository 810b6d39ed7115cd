//! Locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, even if a thread panicked while it held the lock, so that a panic in one request does not fail the
/// others.
///
/// Only for data that is consistent after each statement of every holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
