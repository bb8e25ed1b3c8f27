//! The signal of a planned stop.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Tells the threads of a process that a planned stop was requested. Clones share one signal.
#[derive(Clone, Default)]
pub struct StopSignal {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    stopping: Mutex<bool>,
    changed: Condvar,
}

impl StopSignal {
    /// Creates a signal for which no stop was requested.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests the stop and wakes all waiting threads.
    pub fn stop(&self) {
        let mut stopping = self.lock();
        *stopping = true;
        self.inner.changed.notify_all();
    }

    /// Returns whether a stop was requested.
    pub fn is_stopping(&self) -> bool {
        *self.lock()
    }

    /// Waits until a stop is requested, for at most `timeout`; returns whether it was requested.
    pub fn wait_timeout(&self, timeout: Duration) -> bool {
        let guard = self.lock();
        let waited = self
            .inner
            .changed
            .wait_timeout_while(guard, timeout, |stopping| !*stopping);
        match waited {
            Ok((guard, _)) => *guard,
            Err(poisoned) => *poisoned.into_inner().0,
        }
    }

    /// Waits until a stop is requested.
    pub fn wait(&self) {
        /// Any value works: the loop continues until the stop is requested.
        const WAIT_SLICE: Duration = Duration::from_secs(3600);
        while !self.wait_timeout(WAIT_SLICE) {}
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, bool> {
        self.inner
            .stopping
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
