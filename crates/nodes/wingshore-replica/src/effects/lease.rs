//! The control group's lease, shared with threads other than the group's own.

use std::sync::{Mutex, MutexGuard, PoisonError};
use wingshore_types::{Epoch, Instant};

/// The leader's lease as of the group's last step.
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
    /// Sets the epoch of a leadership that begins.
    pub(crate) fn set_epoch(&self, epoch: Epoch) {
        self.lock().epoch = epoch;
    }

    /// Sets the time when the lease expires; `None` if no lease is held.
    pub(crate) fn set_expiry(&self, expires_at: Option<Instant>) {
        self.lock().expires_at = expires_at;
    }

    /// Returns whether the leader of `epoch` holds the lease at `now`.
    pub(crate) fn allows(&self, epoch: Epoch, now: Instant) -> bool {
        let state = *self.lock();
        state.epoch == epoch && state.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
