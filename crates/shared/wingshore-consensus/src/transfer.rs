//! Leadership transfer.
//!
//! - Inputs: the host's request, which names a voter; which members are being sent a snapshot, and
//!   when each last acknowledged progress; the target's match index.
//! - Rule: a transfer first waits for outgoing snapshots, for at most four election timeouts, and
//!   accepts proposals meanwhile. Then it rejects proposals, waits until the target durably has the
//!   whole log, releases the lease, and asks the target to campaign at once. This second part is
//!   aborted after one election timeout: if the target was not asked yet, the leader remains
//!   leader; otherwise it steps down, since its lease cannot be regained in this term.
//! - Reason: another leader's snapshot has another index, so it would be sent from the beginning,
//!   and members that lack a snapshot cannot be relied on until they have it.
//! - Missing inputs: a transfer does not wait for a member that has acknowledged nothing for an
//!   election timeout.

use crate::interface::Output;
use crate::message::Body;
use crate::progress::Progress;
use crate::raft::Raft;
use crate::role::{Role, Transfer, TransferPhase};
use snafu::{Snafu, ensure};
use wingshore_types::{Instant, ReplicaId};

/// Maximum time that a leadership transfer waits for outgoing snapshots, in election timeouts.
const SNAPSHOT_WAIT_ELECTION_TIMEOUTS: u32 = 4;

/// Reason why leadership cannot be transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum TransferError {
    /// This member is not the leader.
    #[snafu(display("this member does not lead"))]
    NotLeader,
    /// The target is not a voter.
    #[snafu(display("member {target} is not a voter; leadership can go to voters only"))]
    NotAVoter {
        /// The target.
        target: ReplicaId,
    },
    /// Another transfer is in progress.
    #[snafu(display("leadership is being handed over to member {target} already"))]
    TransferInProgress {
        /// The target of that transfer.
        target: ReplicaId,
    },
}

impl Raft {
    /// Transfers leadership to `target` once it has the whole log. [`Output::Leadership`] or
    /// [`Output::TransferAborted`] reports the result.
    ///
    /// # Errors
    /// Returns an error if this member is not the leader, `target` is not a voter, or another
    /// transfer is in progress.
    pub fn transfer_leadership(
        &mut self,
        now: Instant,
        target: ReplicaId,
    ) -> Result<(), TransferError> {
        let is_voter = self.members.is_voter(target);
        let own_id = self.id;
        let Role::Leader(leader) = &mut self.role else {
            return NotLeaderSnafu.fail();
        };
        if let Some(transfer) = leader.transfer {
            let target = transfer.target;
            return TransferInProgressSnafu { target }.fail();
        }
        ensure!(is_voter, NotAVoterSnafu { target });
        if target != own_id {
            let phase = TransferPhase::AwaitingSnapshots;
            leader.transfer = Some(Transfer { target, phase });
            self.await_snapshots(now);
            self.begin_catching_up(now);
        }
        Ok(())
    }

    /// Starts the wait for outgoing snapshots before a leadership transfer, unless it has started
    /// already.
    pub fn await_snapshots(&mut self, now: Instant) {
        let until = now + self.timing.election_timeout * SNAPSHOT_WAIT_ELECTION_TIMEOUTS;
        if let Role::Leader(leader) = &mut self.role {
            leader.snapshot_wait_deadline.get_or_insert(until);
        }
    }

    /// Returns whether a leadership transfer still has to wait for an outgoing snapshot.
    pub fn is_awaiting_snapshots(&self, now: Instant) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let is_in_time = leader
            .snapshot_wait_deadline
            .is_some_and(|until| now < until);
        let rounds = self.timing.rounds_in_election_timeout();
        let is_receiving = |progress: &Progress| progress.is_receiving_snapshot(rounds);
        is_in_time && leader.progress.values().any(is_receiving)
    }

    /// Moves the transfer to the catch-up phase once it need not wait for snapshots.
    fn begin_catching_up(&mut self, now: Instant) {
        if self.is_awaiting_snapshots(now) {
            return;
        }
        let deadline = now + self.timing.election_timeout;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(transfer) = &mut leader.transfer
            && transfer.phase == TransferPhase::AwaitingSnapshots
        {
            transfer.phase = TransferPhase::CatchingUp { deadline };
        }
    }

    /// Returns the best target for a transfer: the other voter with the highest match index.
    pub fn transfer_candidate(&self) -> Option<ReplicaId> {
        self.members
            .voter_ids()
            .filter(|id| *id != self.id)
            .max_by_key(|id| self.match_index(*id))
    }

    /// Asks the target to campaign once it has the whole log. The lease is released first, for the
    /// rest of the term: the target's campaign does not wait for the followers' election timeouts,
    /// however late the message arrives.
    pub(crate) fn continue_transfer(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.begin_catching_up(now);
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let TransferPhase::CatchingUp { deadline } = transfer.phase else {
            return;
        };
        let matched = leader
            .progress
            .get(&transfer.target)
            .is_some_and(|progress| progress.match_index == last_index);
        if !matched {
            return;
        }
        transfer.phase = TransferPhase::TimeoutNowSent { deadline };
        let target = transfer.target;
        leader.rounds.release();
        self.send(target, Body::TimeoutNow, out);
    }

    /// Aborts a transfer that takes too long. Once the target was asked to campaign, the lease
    /// cannot be regained in this term, so this member steps down.
    pub(crate) fn check_transfer_deadline(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = leader.transfer else {
            return;
        };
        match transfer.phase {
            TransferPhase::CatchingUp { deadline } if now >= deadline => {
                leader.transfer = None;
                leader.snapshot_wait_deadline = None;
                out.push(Output::TransferAborted);
            }
            TransferPhase::TimeoutNowSent { deadline } if now >= deadline => {
                self.become_follower(now, self.term, None, out);
            }
            _ => {}
        }
    }
}
