//! Mutex locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, even if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
