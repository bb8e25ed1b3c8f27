//! How long it takes until a growing number is caught up with: a log entry until it is committed,
//! a revision until it is in force everywhere.

use std::collections::VecDeque;
use std::time::Duration;
use wingshore_types::Instant;

/// Most numbers that are waited for; further ones are left out of the histogram.
const MAX_OPEN: usize = 1024;

/// Numbers that were reached on one side and not yet on the other.
#[derive(Debug, Default)]
pub(crate) struct Delays {
    open: VecDeque<(u64, Instant)>,
    newest: u64,
}

impl Delays {
    /// Nothing up to `newest` is measured.
    pub(crate) fn after(newest: u64) -> Self {
        Self {
            open: VecDeque::new(),
            newest,
        }
    }

    /// The first side is at `number` now.
    pub(crate) fn begin(&mut self, number: u64, now: Instant) {
        if number > self.newest {
            self.newest = number;
            if self.open.len() < MAX_OPEN {
                self.open.push_back((number, now));
            }
        }
    }

    /// The other side is at `number` now: the delays of all that it has caught up with.
    pub(crate) fn end(&mut self, number: u64, now: Instant) -> Vec<Duration> {
        let mut delays = Vec::new();
        while let Some((open, began)) = self.open.front().copied()
            && open <= number
        {
            self.open.pop_front();
            delays.push(now.since(began));
        }
        delays
    }
}
