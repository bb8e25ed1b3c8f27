//! Membership requests: changes of the members and leadership transfers.

use crate::host::Host;
use crate::interface::{HostError, HostOutput, HostReply};
use crate::pending::{PendingTransfer, Proposal};
use wingshore_consensus::{ChangeError, ChangeOutcome};
use wingshore_types::machine::{LeaderMachine, RequestTag};
use wingshore_types::protocol::membership::{MembershipReply, MembershipRequest};
use wingshore_types::{Instant, ReplicaId};

impl<L> Host<L>
where
    L: LeaderMachine + Default + 'static,
    L::State: Default,
{
    /// Handles a membership request, or answers that this replica is not the leader.
    pub(crate) fn on_membership_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: MembershipRequest,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        if !self.accepts_requests(now) {
            self.reply_not_leader(tag, out);
            return Ok(());
        }
        let mut raft_outputs = Vec::new();
        let outcome = match request {
            MembershipRequest::Show => {
                self.reply_members(tag, out);
                return Ok(());
            }
            MembershipRequest::TransferLeadership(target) => {
                self.begin_transfer(now, tag, target, out);
                return Ok(());
            }
            MembershipRequest::AddLearner(member) => {
                self.raft.add_learner(member, &mut raft_outputs)
            }
            MembershipRequest::Promote(id) => self.raft.promote(id, &mut raft_outputs),
            MembershipRequest::Remove(id) => self.raft.remove(id, &mut raft_outputs),
        };
        self.carry_out_all(now, raft_outputs, out)?;
        self.answer_change(tag, outcome, out);
        Ok(())
    }

    fn answer_change(
        &mut self,
        tag: RequestTag,
        outcome: Result<ChangeOutcome, ChangeError>,
        out: &mut Vec<HostOutput<L>>,
    ) {
        match outcome {
            Ok(ChangeOutcome::Proposed { index, .. }) => {
                self.proposals.insert(index, Proposal::Membership(tag));
            }
            Ok(ChangeOutcome::AlreadyDone) => reply(tag, MembershipReply::Done, out),
            Err(error) => reply_refused(tag, error.to_string(), out),
        }
    }

    fn reply_members(&self, tag: RequestTag, out: &mut Vec<HostOutput<L>>) {
        let synced = self.raft.match_indexes();
        let members = MembershipReply::Members {
            membership: self.raft.membership().clone(),
            leader: self.id,
            synced: synced
                .into_iter()
                .map(|(id, index)| (id, index.0))
                .collect(),
            last_index: self.raft.last_index().0,
        };
        reply(tag, members, out);
    }

    fn begin_transfer(
        &mut self,
        now: Instant,
        tag: RequestTag,
        target: ReplicaId,
        out: &mut Vec<HostOutput<L>>,
    ) {
        match self.raft.transfer_leadership(now, target) {
            Ok(()) if target == self.id => reply(tag, MembershipReply::Done, out),
            Ok(()) => self.transfer = Some(PendingTransfer { tag, target }),
            Err(error) => reply_refused(tag, error.to_string(), out),
        }
    }

    /// Answers the pending transfer request once a new leader is known. The answer states only
    /// who leads the new term, so it needs no lease.
    pub(crate) fn answer_transfer(
        &mut self,
        leader: Option<ReplicaId>,
        out: &mut Vec<HostOutput<L>>,
    ) {
        let Some(leader) = leader else {
            return;
        };
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        if leader == transfer.target {
            return reply(transfer.tag, MembershipReply::Done, out);
        }
        let message = format!("member {leader} became leader instead");
        reply_refused(transfer.tag, message, out);
    }

    /// Answers the pending transfer request after the transfer was aborted; this replica still
    /// leads.
    pub(crate) fn on_transfer_aborted(&mut self, out: &mut Vec<HostOutput<L>>) {
        if let Some(transfer) = self.transfer.take() {
            let message = format!("member {} did not catch up in time", transfer.target);
            reply_refused(transfer.tag, message, out);
        }
    }
}

fn reply<L: LeaderMachine>(tag: RequestTag, reply: MembershipReply, out: &mut Vec<HostOutput<L>>) {
    let reply = HostReply::Membership(reply);
    out.push(HostOutput::Reply { tag, reply });
}

fn reply_refused<L: LeaderMachine>(tag: RequestTag, message: String, out: &mut Vec<HostOutput<L>>) {
    reply(tag, MembershipReply::Refused { message }, out);
}
