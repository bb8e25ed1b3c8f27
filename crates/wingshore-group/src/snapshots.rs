//! When to take the next snapshot.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Snapshots cost about so many bytes of writing for each byte of log, however large the state.
const SNAPSHOT_BYTES_PER_LOG_BYTE: u64 = 2;
/// An interval is longer by up to this part of itself.
const SPREAD_PART: u64 = 2;

/// Counts the log applied since the last snapshot.
///
/// Intervals grow with the state, so that what is written for snapshots stays in proportion to the
/// log. They differ by chance: a member that takes a snapshot acknowledges nothing meanwhile, and
/// members that all took theirs at one entry would hold up every commit.
#[derive(Debug)]
pub(crate) struct SnapshotSchedule {
    shortest: u64,
    longest: u64,
    random: ChaCha8Rng,
    applied: u64,
    due_at: u64,
}

impl SnapshotSchedule {
    /// Intervals of `shortest` bytes of log or more, and `longest` or less besides their spread;
    /// `seed` differs between members.
    pub(crate) fn new(shortest: u64, longest: u64, seed: u64) -> Self {
        let mut schedule = Self {
            shortest,
            longest,
            random: ChaCha8Rng::seed_from_u64(seed),
            applied: 0,
            due_at: 0,
        };
        schedule.taken(0);
        schedule
    }

    /// An entry of `bytes` was applied.
    pub(crate) fn applied(&mut self, bytes: usize) {
        self.applied = self.applied.saturating_add(bytes as u64);
    }

    /// Whether the next snapshot is due.
    pub(crate) fn is_due(&self) -> bool {
        self.applied >= self.due_at
    }

    /// The state is that of a snapshot of `bytes` now.
    pub(crate) fn taken(&mut self, bytes: u64) {
        let share = bytes / SNAPSHOT_BYTES_PER_LOG_BYTE;
        let interval = share.min(self.longest).max(self.shortest);
        let more = self.random.random_range(0..=interval / SPREAD_PART);
        self.applied = 0;
        self.due_at = interval.saturating_add(more);
    }
}
