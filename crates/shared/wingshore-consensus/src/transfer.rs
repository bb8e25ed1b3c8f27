//! When does a leader transfer its leadership?
//!
//! - Inputs: the request of the host, for a voter; which members are being sent a state, and when each last
//!   acknowledged some of it; how far the receiver's log is.
//! - Rule: a hand-over waits for states that are being sent, four election timeouts at most, and takes
//!   proposals meanwhile. Then it takes none, waits until the receiver has durably the whole log, releases the
//!   lease, and asks the receiver to campaign at once. After one election timeout of that the transfer is
//!   given up: before the receiver was asked, the leader goes on leading; after that it steps down, since its
//!   lease cannot return in this term.
//! - Why: another leader's state has another index, so that it sends all of it anew, and members that lack a
//!   state cannot be counted on until they have it.
//! - Old or missing inputs: a member that has acknowledged nothing for an election timeout is not waited for.

use crate::interface::Output;
use crate::message::Body;
use crate::progress::Progress;
use crate::raft::Raft;
use crate::role::{Role, Transfer, TransferPhase};
use snafu::{Snafu, ensure};
use wingshore_types::{Instant, ReplicaId};

/// Election timeouts that a hand-over waits at most for states that are being sent.
const SNAPSHOT_WAIT_ELECTION_TIMEOUTS: u32 = 4;

/// Why leadership is not handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum TransferError {
    /// This member does not lead.
    #[snafu(display("this member does not lead"))]
    NotLeader,
    /// The receiver does not vote.
    #[snafu(display("member {target} is not a voter; leadership can go to voters only"))]
    NotAVoter {
        /// The receiver.
        target: ReplicaId,
    },
    /// Another transfer is under way.
    #[snafu(display("leadership is being handed over to member {target} already"))]
    TransferInProgress {
        /// Its receiver.
        target: ReplicaId,
    },
}

impl Raft {
    /// Transfers leadership to `target`, once it has the whole log. [`Output::Leadership`] or
    /// [`Output::TransferAborted`] reports the end.
    ///
    /// # Errors
    /// When this member does not lead, or `target` does not vote.
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
            self.await_states(now);
            self.begin_catching_up(now);
        }
        Ok(())
    }

    /// Begins the wait for states that are being sent, ahead of a hand-over, unless it has begun.
    pub fn await_states(&mut self, now: Instant) {
        let until = now + self.timing.election_timeout * SNAPSHOT_WAIT_ELECTION_TIMEOUTS;
        if let Role::Leader(leader) = &mut self.role {
            leader.snapshot_wait_deadline.get_or_insert(until);
        }
    }

    /// Whether a hand-over still waits for a state that is being sent.
    pub fn is_awaiting_states(&self, now: Instant) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let is_in_time = leader
            .snapshot_wait_deadline
            .is_some_and(|until| now < until);
        let rounds = self.timing.rounds_in_election_timeout();
        let receives = |progress: &Progress| progress.is_receiving_snapshot(rounds);
        is_in_time && leader.progress.values().any(receives)
    }

    /// Once no state is waited for any more, the receiver is to have the whole log.
    fn begin_catching_up(&mut self, now: Instant) {
        if self.is_awaiting_states(now) {
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

    /// The voter that has most of the log, apart from this member: the best receiver.
    pub fn transfer_candidate(&self) -> Option<ReplicaId> {
        self.members
            .voter_ids()
            .filter(|id| *id != self.id)
            .max_by_key(|id| self.match_index(*id))
    }

    /// Asks the receiver to campaign, once it has the whole log. The lease is released first, for
    /// the rest of the term: the receiver's campaign does not wait for followers to miss this
    /// leader, however late the message arrives.
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

    /// Gives up a transfer that takes too long. Once the receiver was asked to campaign, the
    /// lease cannot come back in this term, so this member steps down.
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
