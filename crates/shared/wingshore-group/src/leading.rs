//! The leader machine and the release of its outputs.
//!
//! Proposals always go to the log. Replies and effects are released only if this replica holds the
//! quorum lease in the step that emits them, so that a partitioned leader neither answers requests
//! nor causes effects.

use crate::host::Host;
use crate::interface::{HostError, HostOutput, HostReply, Leadership};
use crate::pending::{ActiveLeader, Proposal};
use std::time::Duration;
use wingshore_consensus::ProposeError;
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ProposalTag, RequestTag,
};
use wingshore_types::{Epoch, Instant, ReplicaId};

/// Time between ticks of the leader machine: half of the maximum that [`LeaderMachine::on_tick`]
/// documents.
const MACHINE_TICK_INTERVAL: Duration = Duration::from_millis(50);

impl<L> Host<L>
where
    L: LeaderMachine + Default + 'static,
    L::State: Default,
{
    /// Passes a client's request to the leader machine, or answers that this replica is not the
    /// leader.
    pub(crate) fn on_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: L::Request,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let accepts_requests = self.accepts_requests(now);
        let Some(leader) = self.active_leader.as_mut().filter(|_| accepts_requests) else {
            self.reply_not_leader(tag, out);
            return Ok(());
        };
        self.requests.insert(tag, self.proposal_count);
        let mut outputs = Vec::new();
        let machine = &mut leader.machine;
        machine.on_request(now, tag, request, &self.state, &mut outputs);
        self.release(now, outputs, out)
    }

    /// Returns whether this replica accepts requests at `now`.
    pub(crate) fn accepts_requests(&self, now: Instant) -> bool {
        self.active_leader.is_some()
            && self.raft.holds_lease(now)
            && !self.raft.is_transferring()
            && !self.stop.refuses_requests()
    }

    /// Passes an event to the leader machine; drops it if none runs.
    pub(crate) fn on_event(
        &mut self,
        now: Instant,
        event: L::Event,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let Some(leader) = &mut self.active_leader else {
            return Ok(());
        };
        let mut outputs = Vec::new();
        let machine = &mut leader.machine;
        machine.on_event(now, event, &self.state, &mut outputs);
        self.release(now, outputs, out)
    }

    /// Ticks the leader machine when it is due.
    pub(crate) fn tick_machine(
        &mut self,
        now: Instant,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let Some(leader) = self
            .active_leader
            .as_mut()
            .filter(|leader| now >= leader.next_tick)
        else {
            return Ok(());
        };
        leader.next_tick = now + MACHINE_TICK_INTERVAL;
        let mut outputs = Vec::new();
        leader.machine.on_tick(now, &self.state, &mut outputs);
        self.release(now, outputs, out)
    }

    /// Starts the leader machine once an entry of the leader's own term is applied.
    pub(crate) fn start_leader_when_ready(
        &mut self,
        now: Instant,
        applied_term: u64,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let is_ready = self.raft.is_leader() && applied_term == self.raft.term();
        if self.active_leader.is_some() || !is_ready {
            return Ok(());
        }
        let epoch = Epoch(applied_term);
        let mut machine = (self.machines.leader)();
        let mut outputs = Vec::new();
        machine.on_leadership(now, epoch, &self.state, &mut outputs);
        self.active_leader = Some(ActiveLeader {
            machine,
            epoch,
            next_tick: now + MACHINE_TICK_INTERVAL,
        });
        self.announce(Leadership::Leading { epoch }, out);
        self.release(now, outputs, out)
    }

    /// Passes the result of an applied proposal to the leader machine.
    pub(crate) fn machine_applied(
        &mut self,
        now: Instant,
        tag: ProposalTag,
        reply: <L::State as wingshore_types::machine::ReplicatedState>::Reply,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let Some(leader) = &mut self.active_leader else {
            return Ok(());
        };
        let mut outputs = Vec::new();
        let machine = &mut leader.machine;
        machine.on_applied(now, tag, reply, &self.state, &mut outputs);
        self.release(now, outputs, out)
    }

    /// Handles a change of term or leader: unless this replica still leads in the same term, drops
    /// the leader machine and answers all pending requests.
    pub(crate) fn on_leadership(
        &mut self,
        term: u64,
        leader: Option<ReplicaId>,
        out: &mut Vec<HostOutput<L>>,
    ) {
        let still_leads = self
            .active_leader
            .as_ref()
            .is_some_and(|active| leader == Some(self.id) && active.epoch == Epoch(term));
        if still_leads {
            return;
        }
        self.active_leader = None;
        self.deferred_proposals.clear();
        self.answer_transfer(leader, out);
        self.fail_pending_requests(out);
        self.fail_pending_proposals(out);
        let leader = leader.filter(|leader| *leader != self.id);
        self.announce(Leadership::Following { leader }, out);
    }

    /// Answers all pending requests, proposals and transfers, none of which can complete on this
    /// replica any more.
    pub(crate) fn fail_all_pending(&mut self, out: &mut Vec<HostOutput<L>>) {
        self.fail_pending_requests(out);
        self.fail_pending_proposals(out);
        if let Some(transfer) = self.transfer.take() {
            let (tag, reply) = (transfer.tag, HostReply::Unknown);
            out.push(HostOutput::Reply { tag, reply });
        }
    }

    /// Answers the requests that are pending when leadership ends. A request after whose arrival
    /// nothing was proposed has had no effect.
    fn fail_pending_requests(&mut self, out: &mut Vec<HostOutput<L>>) {
        let requests = std::mem::take(&mut self.requests);
        for (tag, proposals_before) in requests {
            self.reply_without_lease(tag, proposals_before, out);
        }
    }

    fn fail_pending_proposals(&mut self, out: &mut Vec<HostOutput<L>>) {
        for proposal in std::mem::take(&mut self.proposals).into_values() {
            if let Proposal::Membership(tag) = proposal {
                let reply = HostReply::Unknown;
                out.push(HostOutput::Reply { tag, reply });
            }
        }
    }

    fn reply_without_lease(
        &self,
        tag: RequestTag,
        proposals_before: u64,
        out: &mut Vec<HostOutput<L>>,
    ) {
        if proposals_before == self.proposal_count {
            return self.reply_not_leader(tag, out);
        }
        let reply = HostReply::Unknown;
        out.push(HostOutput::Reply { tag, reply });
    }

    /// Releases the outputs of the leader machine: proposals always, replies and effects only if
    /// the lease is held at `now`.
    fn release(
        &mut self,
        now: Instant,
        outputs: LeaderOutputs<L>,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        for output in outputs {
            match output {
                LeaderOutput::Propose { tag, command } => {
                    self.proposal_count += 1;
                    let command = postcard::to_allocvec(&command)?;
                    self.propose(tag, command);
                }
                LeaderOutput::Reply { tag, reply } => self.release_reply(now, tag, reply, out),
                LeaderOutput::Effect(effect) if self.raft.holds_lease(now) => {
                    out.push(HostOutput::Effect(effect));
                }
                LeaderOutput::Effect(_) => {}
            }
        }
        Ok(())
    }

    fn release_reply(
        &mut self,
        now: Instant,
        tag: RequestTag,
        reply: L::Reply,
        out: &mut Vec<HostOutput<L>>,
    ) {
        // Drops a second reply to the same request.
        let Some(proposals_before) = self.requests.remove(&tag) else {
            return;
        };
        if self.raft.holds_lease(now) {
            let reply = HostReply::Reply(reply);
            out.push(HostOutput::Reply { tag, reply });
        } else {
            self.reply_without_lease(tag, proposals_before, out);
        }
    }

    fn propose(&mut self, tag: ProposalTag, command: Vec<u8>) {
        if self.raft.is_transferring() {
            self.deferred_proposals.push_back((tag, command));
            return;
        }
        match self.raft.propose(command) {
            Ok((index, _term)) => {
                self.proposals.insert(index, Proposal::Machine(tag));
            }
            // The end of this leadership follows and answers the pending requests.
            Err(ProposeError::NotLeader | ProposeError::Transferring) => {}
        }
    }

    /// Proposes the commands deferred by a transfer once that transfer is aborted.
    pub(crate) fn propose_deferred(&mut self) {
        if self.raft.is_transferring() {
            return;
        }
        while let Some((tag, command)) = self.deferred_proposals.pop_front() {
            self.propose(tag, command);
        }
    }

    /// Emits [`HostOutput::Leadership`] if the leadership has changed since the last report.
    fn announce(&mut self, leadership: Leadership, out: &mut Vec<HostOutput<L>>) {
        if self.announced_leadership != Some(leadership) {
            self.announced_leadership = Some(leadership);
            out.push(HostOutput::Leadership(leadership));
        }
    }
}
