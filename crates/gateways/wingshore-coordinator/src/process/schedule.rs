//! Due times of periodic work, and progress of the planned stop.

use crate::silence::StallDetector;
use wingshore_types::Instant;

/// Due times of periodic work.
#[derive(Default)]
pub(super) struct Schedule {
    /// When the next housekeeping check is due.
    pub(super) next_housekeeping: Instant,
    /// When the next hellos are due.
    pub(super) next_hello: Instant,
    /// Decides whether the silence of a peer counts, which it does not after a stall of this
    /// process.
    pub(super) stall_detector: StallDetector,
}

impl Schedule {
    /// Returns the earliest due time.
    pub(super) fn next_due(&self) -> Instant {
        self.next_housekeeping.min(self.next_hello)
    }
}

/// Progress of this process's planned stop.
#[derive(Default)]
pub(super) struct PlannedStop {
    /// When the stop started; `None` before.
    pub(super) started_at: Option<Instant>,
    /// Whether the process can exit.
    pub(super) is_done: bool,
}
