//! When the duties that go by time are due, and how far the planned stop is.

use crate::silence::StallDetector;
use wingshore_types::Instant;

/// When the duties that go by time are due.
#[derive(Default)]
pub(super) struct Schedule {
    /// When housekeeping is due.
    pub(super) next_housekeeping: Instant,
    /// When introductions are due.
    pub(super) next_hello: Instant,
    /// Whether silence of others counts.
    pub(super) stall_detector: StallDetector,
}

impl Schedule {
    /// When the next of them is due.
    pub(super) fn next(&self) -> Instant {
        self.next_housekeeping.min(self.next_hello)
    }
}

/// How far the planned stop of this process is.
#[derive(Default)]
pub(super) struct PlannedStop {
    /// Since when it has been under way.
    pub(super) since: Option<Instant>,
    /// Whether nothing is left to do.
    pub(super) is_over: bool,
}
