//! Locks of this crate.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`. A thread that panicked while it held the lock keeps no other one out.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
