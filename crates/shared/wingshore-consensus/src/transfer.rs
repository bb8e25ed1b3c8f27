//! When does a leader transfer its leadership?
//!
//! When the host asks for it, to a voter. It takes no proposals meanwhile, waits until the receiver has
//! durably the whole log, releases its lease, and asks the receiver to campaign at once. After one
//! election timeout the transfer is given up: before the receiver was asked, the leader goes on leading;
//! after that it steps down, since its lease cannot return in this term.

use crate::interface::Output;
use crate::message::Body;
use crate::raft::Raft;
use crate::role::{Role, Transfer};
use snafu::{Snafu, ensure};
use wingshore_types::{Instant, ReplicaId};

/// Why leadership is not handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum TransferError {
    /// This member does not lead.
    #[snafu(display("this member does not lead"))]
    NotLeading,
    /// The receiver does not vote.
    #[snafu(display("member {target} is not a voter; leadership can go to voters only"))]
    NotAVoter {
        /// The receiver.
        target: ReplicaId,
    },
    /// Another transfer is under way.
    #[snafu(display("leadership is being handed over to member {target} already"))]
    Underway {
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
        let deadline = now + self.timing.election_timeout;
        let own_id = self.id;
        let Role::Leader(leader) = &mut self.role else {
            return NotLeadingSnafu.fail();
        };
        if let Some(transfer) = leader.transfer {
            let target = transfer.target;
            return UnderwaySnafu { target }.fail();
        }
        ensure!(is_voter, NotAVoterSnafu { target });
        if target != own_id {
            leader.transfer = Some(Transfer {
                target,
                deadline,
                sent: false,
            });
        }
        Ok(())
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
    pub(crate) fn continue_transfer(&mut self, _now: Instant, out: &mut Vec<Output>) {
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = leader.transfer.as_mut().filter(|transfer| !transfer.sent) else {
            return;
        };
        let matched = leader
            .progress
            .get(&transfer.target)
            .is_some_and(|progress| progress.match_index == last_index);
        if !matched {
            return;
        }
        transfer.sent = true;
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
        let Some(transfer) = leader.transfer.filter(|transfer| now >= transfer.deadline) else {
            return;
        };
        if transfer.sent {
            return self.become_follower(now, self.term, None, out);
        }
        leader.transfer = None;
        out.push(Output::TransferAborted);
    }
}
