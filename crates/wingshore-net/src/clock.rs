//! The process's clock, as the state machines are handed it.

use std::time::Instant as SystemInstant;
use wingshore_types::Instant;

/// A monotonic clock; all copies share one origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: SystemInstant,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: SystemInstant::now(),
        }
    }

    /// The time since the origin.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }
}
