//! Planned stop: no more requests, proposals finished, leadership handed over, what is left answered.

use crate::host::Host;
use crate::interface::HostOutput;
use crate::stop_phase::StopPhase;
use wingshore_types::Instant;
use wingshore_types::machine::LeaderMachine;

impl<L> Host<L>
where
    L: LeaderMachine + Default + 'static,
    L::State: Default,
{
    /// Begins a planned stop.
    pub(crate) fn begin_stop(&mut self, now: Instant) {
        if self.stop == StopPhase::Running {
            self.stop = StopPhase::begin(now, self.election_timeout);
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
