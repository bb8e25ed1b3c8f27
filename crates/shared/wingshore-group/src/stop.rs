//! Planned stop: states sent, no more requests, proposals finished, leadership handed over, what is left
//! answered.

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
            self.stop = StopPhase::AwaitingStates;
            self.raft.await_snapshots(now);
        }
    }

    /// A stop goes on once no state that is being sent is waited for any more.
    fn end_wait_for_states(&mut self, now: Instant) {
        if self.stop == StopPhase::AwaitingStates && !self.raft.is_awaiting_snapshots(now) {
            self.stop = StopPhase::begin(now, self.election_timeout);
        }
    }

    /// Takes the next part of a planned stop, when its time has come.
    pub(crate) fn continue_stop(&mut self, now: Instant, out: &mut Vec<HostOutput<L>>) {
        self.end_wait_for_states(now);
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
