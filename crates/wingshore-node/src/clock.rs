//! The process's clock as the decision crates want it.

use std::time::{Duration, Instant as StandardInstant};
use wingshore_types::Instant;

/// Time since this process began, on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: StandardInstant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self {
            origin: StandardInstant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Instant {
        self.at(StandardInstant::now())
    }

    /// The time at `instant`; the origin for times before it.
    pub fn at(&self, instant: StandardInstant) -> Instant {
        Instant::ZERO + instant.saturating_duration_since(self.origin)
    }

    /// Time left until `deadline`; zero when it has passed.
    pub fn time_left(&self, deadline: Instant) -> Duration {
        deadline.since(self.now())
    }
}
