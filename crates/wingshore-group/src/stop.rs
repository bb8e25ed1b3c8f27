//! Planned stop: no more requests, proposals finished, leadership handed over, what is left answered.

use crate::host::Host;
use crate::interface::HostOutput;
use wingshore_types::Instant;
use wingshore_types::machine::LeaderMachine;

/// Election timeouts that proposals under way may take to finish.
const DRAIN_TIMEOUTS: u32 = 2;
/// Election timeouts that the whole stop may take.
const STOP_TIMEOUTS: u32 = 8;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopPhase {
    /// None was asked for.
    Running,
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
    /// Whether requests are refused.
    pub(crate) fn has_begun(self) -> bool {
        self != Self::Running
    }

    /// When the next part of the stop is due at the latest.
    pub(crate) fn deadline(self) -> Option<Instant> {
        match self {
            Self::Stopping { deadline, .. } => Some(deadline),
            Self::Running | Self::Stopped => None,
        }
    }
}

impl<L> Host<L>
where
    L: LeaderMachine + Default + 'static,
    L::State: Default,
{
    /// Begins a planned stop.
    pub(crate) fn begin_stop(&mut self, now: Instant) {
        if self.stop == StopPhase::Running {
            self.stop = StopPhase::Stopping {
                drain_until: now + self.election_timeout * DRAIN_TIMEOUTS,
                deadline: now + self.election_timeout * STOP_TIMEOUTS,
            };
        }
    }

    /// Takes the next part of a planned stop, when its time has come.
    pub(crate) fn continue_stop(&mut self, now: Instant, out: &mut Vec<HostOutput<L>>) {
        let StopPhase::Stopping {
            drain_until,
            deadline,
        } = self.stop
        else {
            return;
        };
        if self.raft.is_leader() && now < deadline {
            let is_drained = self.proposals.is_empty() && self.held.is_empty();
            if !is_drained && now < drain_until {
                return;
            }
            if let Some(target) = self.raft.transfer_candidate() {
                // Refused while one is under way; tried again after that one's end.
                let _ = self.raft.transfer_leadership(now, target);
                return;
            }
        }
        self.stop = StopPhase::Stopped;
        self.give_up_all(out);
        out.push(HostOutput::Stopped);
    }
}
