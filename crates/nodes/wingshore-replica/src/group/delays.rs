//! How long it takes until a growing number is caught up with: a log entry until it is committed,
//! a revision until it is in force everywhere.

use std::collections::VecDeque;
use std::time::Duration;
use wingshore_types::Instant;

/// Most numbers that are waited for; further ones are left out of the histogram.
const MAX_PENDING: usize = 1024;

/// Numbers that were reached on one side and not yet on the other.
#[derive(Debug, Default)]
pub(crate) struct DelayTracker {
    pending: VecDeque<(u64, Instant)>,
    newest: u64,
}

impl DelayTracker {
    /// Nothing up to `newest` is measured.
    pub(crate) fn starting_at(newest: u64) -> Self {
        Self {
            pending: VecDeque::new(),
            newest,
        }
    }

    /// The first side is at `number` now.
    pub(crate) fn record_start(&mut self, number: u64, now: Instant) {
        if number > self.newest {
            self.newest = number;
            if self.pending.len() < MAX_PENDING {
                self.pending.push_back((number, now));
            }
        }
    }

    /// The other side is at `number` now: the delays of all that it has caught up with.
    pub(crate) fn record_reached(&mut self, number: u64, now: Instant) -> Vec<Duration> {
        let mut delays = Vec::new();
        while let Some((pending, began)) = self.pending.front().copied()
            && pending <= number
        {
            self.pending.pop_front();
            delays.push(now.since(began));
        }
        delays
    }
}
