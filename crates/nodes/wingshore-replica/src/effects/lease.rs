//! The control group's lease, as other threads than the group's own may check it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use wingshore_types::{Epoch, Instant};

/// The lease as of the group's last step.
#[derive(Debug, Default)]
pub(crate) struct SharedLease {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    epoch: Epoch,
    expires_at: Option<Instant>,
}

impl SharedLease {
    /// A leadership begins.
    pub(crate) fn set_epoch(&self, epoch: Epoch) {
        self.lock().epoch = epoch;
    }

    /// The lease lasts until then; `None` when it is not held.
    pub(crate) fn set_expiry(&self, expires_at: Option<Instant>) {
        self.lock().expires_at = expires_at;
    }

    /// Whether the leadership `epoch` may still act at `now`.
    pub(crate) fn allows(&self, epoch: Epoch, now: Instant) -> bool {
        let state = *self.lock();
        state.epoch == epoch && state.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
