//! Planned stop of a host. Waits for the snapshots being sent, refuses new requests, completes the
//! proposals in progress, hands leadership over and answers the requests that are still pending.

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
    /// Begins a planned stop unless one has begun already.
    pub(crate) fn begin_stop(&mut self, now: Instant) {
        if self.stop == StopPhase::Running {
            self.stop = StopPhase::AwaitingSnapshots;
            self.raft.await_snapshots(now);
        }
    }

    /// Proceeds with the stop once it no longer waits for snapshots being sent.
    fn end_wait_for_snapshots(&mut self, now: Instant) {
        if self.stop == StopPhase::AwaitingSnapshots && !self.raft.is_awaiting_snapshots(now) {
            self.stop = StopPhase::begin(now, self.election_timeout);
        }
    }

    /// Advances a planned stop to its next phase when that is due.
    pub(crate) fn continue_stop(&mut self, now: Instant, out: &mut Vec<HostOutput<L>>) {
        self.end_wait_for_snapshots(now);
        let StopPhase::Stopping {
            drain_deadline,
            deadline,
        } = self.stop
        else {
            return;
        };
        if self.raft.is_leader() && now < deadline {
            let is_drained = self.proposals.is_empty() && self.deferred_proposals.is_empty();
            if !is_drained && now < drain_deadline {
                return;
            }
            if let Some(target) = self.raft.transfer_candidate() {
                // Refused while a transfer is in progress; retried after it ends.
                let _ = self.raft.transfer_leadership(now, target);
                return;
            }
        }
        self.stop = StopPhase::Stopped;
        self.fail_all_pending(out);
        out.push(HostOutput::Stopped);
    }
}
