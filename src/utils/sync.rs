//! Locks that outlive a panic of another holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also when another holder panicked.
///
/// Only for data that every holder leaves whole at each step: a panic in one request must not
/// end the others.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
