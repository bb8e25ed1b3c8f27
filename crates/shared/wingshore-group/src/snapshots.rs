//! Schedule of the snapshots that a member takes of its state.
//!
//! The next snapshot is due when the log applied since the last one, taken or restored, reaches
//! half the size of that snapshot, within the configured bounds, plus a random extra of up to half
//! of that interval. Before the first snapshot the lower bound applies.
//!
//! An interval proportional to the snapshot keeps the bytes written for snapshots proportional to
//! the log, regardless of the size of the state. The upper bound limits the log that a replica
//! holds when it starts. The random extra differs between members: a member acknowledges nothing
//! while it takes a snapshot, so every commit would wait if all members took theirs at the same
//! entry.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum bytes of snapshot written for each byte of log, within the bounds of the interval.
const SNAPSHOT_BYTES_PER_LOG_BYTE: u64 = 2;
/// The random extra is at most the interval divided by this.
const JITTER_DIVISOR: u64 = 2;

/// Counts the bytes of log applied since the last snapshot and decides when the next one is due.
#[derive(Debug)]
pub(crate) struct SnapshotSchedule {
    min_interval_bytes: u64,
    max_interval_bytes: u64,
    random: ChaCha8Rng,
    applied_bytes: u64,
    due_at_bytes: u64,
}

impl SnapshotSchedule {
    /// Creates a schedule whose intervals lie between the two bounds, not counting the random
    /// extra.
    /// `seed` differs between members.
    pub(crate) fn new(min_interval_bytes: u64, max_interval_bytes: u64, seed: u64) -> Self {
        let mut schedule = Self {
            min_interval_bytes,
            max_interval_bytes,
            random: ChaCha8Rng::seed_from_u64(seed),
            applied_bytes: 0,
            due_at_bytes: 0,
        };
        schedule.record_snapshot(0);
        schedule
    }

    /// Records that an entry of `bytes` was applied.
    pub(crate) fn record_applied(&mut self, bytes: usize) {
        self.applied_bytes = self.applied_bytes.saturating_add(bytes as u64);
    }

    /// Returns whether the next snapshot is due.
    pub(crate) fn is_due(&self) -> bool {
        self.applied_bytes >= self.due_at_bytes
    }

    /// Records that a snapshot of `bytes` was taken or restored, and schedules the next one.
    pub(crate) fn record_snapshot(&mut self, bytes: u64) {
        let proportional = bytes / SNAPSHOT_BYTES_PER_LOG_BYTE;
        let interval = proportional
            .min(self.max_interval_bytes)
            .max(self.min_interval_bytes);
        let jitter = self.random.random_range(0..=interval / JITTER_DIVISOR);
        self.applied_bytes = 0;
        self.due_at_bytes = interval.saturating_add(jitter);
    }
}
