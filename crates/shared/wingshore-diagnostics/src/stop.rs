//! The signal of a planned stop.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Signals to the threads of a process that a planned stop was asked for.
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
    /// A signal that was not given yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the signal.
    pub fn stop(&self) {
        let mut stopping = self.lock();
        *stopping = true;
        self.inner.changed.notify_all();
    }

    /// Whether the signal was given.
    pub fn is_stopping(&self) -> bool {
        *self.lock()
    }

    /// Waits until the signal is given, `timeout` at most; answers whether it was given.
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

    /// Waits until the signal is given.
    pub fn wait(&self) {
        /// Any time will do: the wait goes on until the signal.
        const SLICE: Duration = Duration::from_secs(3600);
        while !self.wait_timeout(SLICE) {}
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, bool> {
        self.inner
            .stopping
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
