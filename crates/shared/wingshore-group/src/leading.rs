//! The leader machine, and the release of its outputs.
//!
//! Proposals always go to the log; replies and effects are released only if the quorum lease is held at
//! that very step, so that a leader that was cut off answers nothing and orders nothing.

use crate::host::Host;
use crate::interface::{HostError, HostOutput, HostReply, Leadership};
use crate::pending::{Leading, Proposal};
use std::time::Duration;
use wingshore_consensus::ProposeError;
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ProposalTag, RequestTag,
};
use wingshore_types::{Epoch, Instant, ReplicaId};

/// Time between ticks of the leader machine: half of what [`LeaderMachine::on_tick`] promises at most.
const MACHINE_TICK: Duration = Duration::from_millis(50);

impl<L> Host<L>
where
    L: LeaderMachine + Default + 'static,
    L::State: Default,
{
    /// Takes a client's request, if it can be answered here.
    pub(crate) fn on_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: L::Request,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let takes_requests = self.takes_requests(now);
        let Some(leading) = self.leading.as_mut().filter(|_| takes_requests) else {
            self.reply_not_leader(tag, out);
            return Ok(());
        };
        self.requests.insert(tag, self.proposal_count);
        let mut outputs = Vec::new();
        let machine = &mut leading.machine;
        machine.on_request(now, tag, request, &self.state, &mut outputs);
        self.release(now, outputs, out)
    }

    /// Whether requests can be taken at `now`.
    pub(crate) fn takes_requests(&self, now: Instant) -> bool {
        self.leading.is_some()
            && self.raft.holds_lease(now)
            && !self.raft.is_transferring()
            && !self.stop.refuses_requests()
    }

    /// Gives the leader machine an event.
    pub(crate) fn on_event(
        &mut self,
        now: Instant,
        event: L::Event,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let Some(leading) = &mut self.leading else {
            return Ok(());
        };
        let mut outputs = Vec::new();
        let machine = &mut leading.machine;
        machine.on_event(now, event, &self.state, &mut outputs);
        self.release(now, outputs, out)
    }

    /// Ticks the leader machine when it is due.
    pub(crate) fn tick_machine(
        &mut self,
        now: Instant,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let Some(leading) = self
            .leading
            .as_mut()
            .filter(|leading| now >= leading.next_tick)
        else {
            return Ok(());
        };
        leading.next_tick = now + MACHINE_TICK;
        let mut outputs = Vec::new();
        leading.machine.on_tick(now, &self.state, &mut outputs);
        self.release(now, outputs, out)
    }

    /// Starts the leader machine once an entry of the own term is applied.
    pub(crate) fn start_leading_when_ready(
        &mut self,
        now: Instant,
        applied_term: u64,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let is_ready = self.raft.is_leader() && applied_term == self.raft.term();
        if self.leading.is_some() || !is_ready {
            return Ok(());
        }
        let epoch = Epoch(applied_term);
        let mut machine = (self.machines.leader)();
        let mut outputs = Vec::new();
        machine.on_leadership(now, epoch, &self.state, &mut outputs);
        self.leading = Some(Leading {
            machine,
            epoch,
            next_tick: now + MACHINE_TICK,
        });
        self.announce(Leadership::Leading { epoch }, out);
        self.release(now, outputs, out)
    }

    /// One of the leader machine's proposals was applied.
    pub(crate) fn machine_applied(
        &mut self,
        now: Instant,
        tag: ProposalTag,
        reply: <L::State as wingshore_types::machine::ReplicatedState>::Reply,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let Some(leading) = &mut self.leading else {
            return Ok(());
        };
        let mut outputs = Vec::new();
        let machine = &mut leading.machine;
        machine.on_applied(now, tag, reply, &self.state, &mut outputs);
        self.release(now, outputs, out)
    }

    /// Leadership has changed as the log sees it.
    pub(crate) fn on_leadership(
        &mut self,
        term: u64,
        leader: Option<ReplicaId>,
        out: &mut Vec<HostOutput<L>>,
    ) {
        let still_leads = self
            .leading
            .as_ref()
            .is_some_and(|leading| leader == Some(self.id) && leading.epoch == Epoch(term));
        if still_leads {
            return;
        }
        self.leading = None;
        self.held.clear();
        self.answer_transfer(leader, out);
        self.give_up_requests(out);
        self.give_up_proposals(out);
        let leader = leader.filter(|leader| *leader != self.id);
        self.announce(Leadership::Following { leader }, out);
    }

    /// Answers everything that still waits: it will have no other outcome here.
    pub(crate) fn give_up_all(&mut self, out: &mut Vec<HostOutput<L>>) {
        self.give_up_requests(out);
        self.give_up_proposals(out);
        if let Some(transfer) = self.transfer.take() {
            let (tag, reply) = (transfer.tag, HostReply::Unknown);
            out.push(HostOutput::Reply { tag, reply });
        }
    }

    /// Answers the requests that a lost leadership leaves: those without any proposal since
    /// their arrival have had no effect.
    fn give_up_requests(&mut self, out: &mut Vec<HostOutput<L>>) {
        let requests = std::mem::take(&mut self.requests);
        for (tag, proposals_before) in requests {
            self.reply_without_lease(tag, proposals_before, out);
        }
    }

    fn give_up_proposals(&mut self, out: &mut Vec<HostOutput<L>>) {
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

    /// Releases the outputs of the leader machine: proposals always, replies and effects only under
    /// the lease of this very step.
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
        // A second reply to a request is dropped.
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
            self.held.push_back((tag, command));
            return;
        }
        match self.raft.propose(command) {
            Ok((index, _term)) => {
                self.proposals.insert(index, Proposal::Machine(tag));
            }
            // The end of this leadership follows and answers what waits.
            Err(ProposeError::NotLeader | ProposeError::Transferring) => {}
        }
    }

    /// Proposes what waited for a transfer that was given up.
    pub(crate) fn propose_held(&mut self) {
        if self.raft.is_transferring() {
            return;
        }
        while let Some((tag, command)) = self.held.pop_front() {
            self.propose(tag, command);
        }
    }

    /// Reports the status of leadership, when it has changed.
    fn announce(&mut self, leadership: Leadership, out: &mut Vec<HostOutput<L>>) {
        if self.announced != Some(leadership) {
            self.announced = Some(leadership);
            out.push(HostOutput::Leadership(leadership));
        }
    }
}
