//! Recent peak of live demand, for which rollouts leave slots free when they borrow.

use std::time::Duration;
use wingshore_types::Instant;

/// Largest values of the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peak {
    current: u32,
    last: u32,
    window_ends: Instant,
}

impl Peak {
    /// Records a value.
    pub(crate) fn observe(&mut self, now: Instant, value: u32, window: Duration) {
        if now >= self.window_ends {
            let is_next = now.since(self.window_ends) < window;
            self.last = if is_next { self.current } else { 0 };
            self.current = 0;
            self.window_ends = now + window;
        }
        self.current = self.current.max(value);
    }

    /// Returns the largest value of the current and the previous window.
    pub(crate) fn value(&self, now: Instant, window: Duration) -> u32 {
        let past = now.since(self.window_ends);
        if now < self.window_ends {
            self.current.max(self.last)
        } else if past < window {
            self.current
        } else {
            0
        }
    }
}
