//! Phases of a planned stop and their time limits.
//!
//! A leader first waits for the snapshots that it is sending and accepts requests meanwhile. It
//! then refuses requests, waits until its proposals are applied and hands leadership over, retrying
//! if the transfer fails. After the drain limit it hands over even if proposals are in progress.
//! After the stop limit it stops even if no other member took over, because a caller that waits for
//! the stop would otherwise be held up by a member that is gone. Both limits start when the wait
//! for snapshots ends and are multiples of the group's election timeout, which is how long the
//! group waits for a silent member.

use std::time::Duration;
use wingshore_types::Instant;

/// Drain limit, in election timeouts. A commit waits for a silent follower no longer than one
/// election timeout.
const DRAIN_ELECTION_TIMEOUTS: u32 = 2;
/// Limit of the whole stop after the wait for snapshots, in election timeouts. Each transfer
/// attempt is aborted after one election timeout, so several attempts fit.
const STOP_ELECTION_TIMEOUTS: u32 = 8;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    Running,
    /// Waits for snapshots being sent; requests are still accepted.
    AwaitingSnapshots,
    /// Waits for proposals in progress, then for another leader.
    Stopping {
        /// Time at which leadership is handed over even if proposals are in progress.
        drain_deadline: Instant,
        /// Time at which the stop ends even if no other member took over.
        deadline: Instant,
    },
    /// The stop is complete.
    Stopped,
}

impl StopPhase {
    /// Returns the phase of a stop whose wait for snapshots ends at `now`.
    pub(crate) fn begin(now: Instant, election_timeout: Duration) -> Self {
        Self::Stopping {
            drain_deadline: now + election_timeout * DRAIN_ELECTION_TIMEOUTS,
            deadline: now + election_timeout * STOP_ELECTION_TIMEOUTS,
        }
    }

    /// Returns whether requests are refused in this phase.
    pub(crate) fn refuses_requests(self) -> bool {
        matches!(self, Self::Stopping { .. } | Self::Stopped)
    }

    /// Returns the time at which the stop ends at the latest, if the phase has such a limit.
    pub(crate) fn deadline(self) -> Option<Instant> {
        match self {
            Self::Stopping { deadline, .. } => Some(deadline),
            Self::Running | Self::AwaitingSnapshots | Self::Stopped => None,
        }
    }
}
