//! Locking that outlives a panic of another thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks; a thread that panicked with the lock held has left nothing half done that matters more
/// than going on.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
