//! When does a member take the next snapshot?
//!
//! - Inputs: bytes of log applied since the last snapshot; bytes of that snapshot, also of one that was
//!   restored; the bounds of the settings; a seed that differs between members.
//! - Rule: the next one is due after half as many bytes of log as the last snapshot has, but no fewer
//!   than the lower bound and no more than the upper one, and up to half of that again by chance.
//! - Why: what is written for snapshots stays in proportion to the log, however large the state; the
//!   upper bound limits the log that a start holds. A member that takes a snapshot acknowledges nothing
//!   meanwhile: were they all to take theirs at one entry, every commit would wait.
//! - Missing inputs: without a snapshot so far the lower bound counts.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes of snapshots that are written for each byte of log, at most: see the head.
const SNAPSHOT_BYTES_PER_LOG_BYTE: u64 = 2;
/// An interval is longer by up to this part of itself: see the head.
const SPREAD_PART: u64 = 2;

/// Counts the log applied since the last snapshot.
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
