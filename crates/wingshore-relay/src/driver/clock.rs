//! The process's clock as the relay's state wants it.

use std::time::Instant as StandardInstant;
use wingshore_types::Instant;

/// Time since this process began, on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    origin: StandardInstant,
}

impl Clock {
    /// A clock that begins now.
    pub(super) fn start() -> Self {
        Self {
            origin: StandardInstant::now(),
        }
    }

    /// The time now.
    pub(super) fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }
}
