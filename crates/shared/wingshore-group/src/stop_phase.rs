//! How long a planned stop waits, and for what.
//!
//! Inputs: the time at which the stop was asked for, and the group's election timeout. A leader first
//! waits for states that it is sending, and takes requests meanwhile. Then it takes none, waits until what it
//! has proposed is applied, then hands leadership over, and again where that fails.
//! After a limit of its own it hands over although proposals are under way, and after a second one it
//! stops although no other member took over: who waits for it would otherwise be held up by a member
//! that is gone. Both limits are in election timeouts, since that is how long a silent member is
//! waited for.

use std::time::Duration;
use wingshore_types::Instant;

/// Election timeouts that proposals under way may take to finish: a commit waits for a silent follower
/// no longer than one of them.
const DRAIN_TIMEOUTS: u32 = 2;
/// Election timeouts that the whole stop may take: each attempt to hand over is given up after one of
/// them, so that several fit.
const STOP_TIMEOUTS: u32 = 8;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopPhase {
    /// None was asked for.
    Running,
    /// Waits for states that are being sent; requests are taken.
    AwaitingStates,
    /// Waits for proposals under way, then for another leader.
    Stopping {
        /// When leadership is handed over even if proposals are under way.
        drain_until: Instant,
        /// When the stop ends even if no other member took over.
        deadline: Instant,
    },
    /// Done.
    Stopped,
}

impl StopPhase {
    /// A stop whose wait for states is over at `now`.
    pub(crate) fn begin(now: Instant, election_timeout: Duration) -> Self {
        Self::Stopping {
            drain_until: now + election_timeout * DRAIN_TIMEOUTS,
            deadline: now + election_timeout * STOP_TIMEOUTS,
        }
    }

    /// Whether requests are refused.
    pub(crate) fn refuses_requests(self) -> bool {
        matches!(self, Self::Stopping { .. } | Self::Stopped)
    }

    /// When the next part of the stop is due at the latest.
    pub(crate) fn deadline(self) -> Option<Instant> {
        match self {
            Self::Stopping { deadline, .. } => Some(deadline),
            Self::Running | Self::AwaitingStates | Self::Stopped => None,
        }
    }
}
