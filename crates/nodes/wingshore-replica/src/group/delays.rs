//! Measures how long a sequence number takes from its start until it is reached: a log entry until
//! it is committed, a revision until it is in force everywhere.

use std::collections::VecDeque;
use std::time::Duration;
use wingshore_types::Instant;

/// Most pending numbers; further ones are left out of the histogram.
const MAX_PENDING: usize = 1024;

/// Sequence numbers that have started and are not yet reached, with their start times.
#[derive(Debug, Default)]
pub(crate) struct DelayTracker {
    pending: VecDeque<(u64, Instant)>,
    newest_started: u64,
}

impl DelayTracker {
    /// Returns a tracker that ignores all numbers up to `newest_started`.
    pub(crate) fn starting_at(newest_started: u64) -> Self {
        Self {
            pending: VecDeque::new(),
            newest_started,
        }
    }

    /// Records that `sequence_number` starts at `now`; ignored unless it is above the newest one.
    pub(crate) fn record_start(&mut self, sequence_number: u64, now: Instant) {
        if sequence_number > self.newest_started {
            self.newest_started = sequence_number;
            if self.pending.len() < MAX_PENDING {
                self.pending.push_back((sequence_number, now));
            }
        }
    }

    /// Records that all numbers up to `sequence_number` are reached at `now`, and returns their
    /// delays.
    pub(crate) fn record_reached(&mut self, sequence_number: u64, now: Instant) -> Vec<Duration> {
        let mut delays = Vec::new();
        while let Some((pending, started_at)) = self.pending.front().copied()
            && pending <= sequence_number
        {
            self.pending.pop_front();
            delays.push(now.since(started_at));
        }
        delays
    }
}
