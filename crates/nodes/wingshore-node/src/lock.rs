//! Locking that ignores mutex poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex even if a thread panicked while it held the lock. Continuing to serve matters
/// more than any update that the panicking thread left incomplete.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
