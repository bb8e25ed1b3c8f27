//! Leader of a claims group: batches requests and advances committed time.

use super::command::{ClaimsCommand, estimated_bytes};
use super::state::{ClaimsState, FULL_RETRY_AFTER_MS};
use crate::batching::{Proposal, ProposalQueue};
use crate::{NoEffect, NoEvent};
use std::time::Duration;
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ProposalTag, RequestTag,
};
use wingshore_types::protocol::claims::{ClaimsReply, ClaimsRequest};
use wingshore_types::{Epoch, Instant};

/// Interval at which committed time advances when nothing else is proposed: at most 8,640 log
/// entries a day.
const TIME_STEP: Duration = Duration::from_secs(10);

type Outputs = LeaderOutputs<ClaimsLeader>;

/// Leader state machine of a claims group.
#[derive(Debug, Default)]
pub struct ClaimsLeader {
    queue: ProposalQueue<ClaimsRequest, RequestTag>,
    /// End of the time that is contained in the commands proposed so far.
    accounted_until: Instant,
}

impl ClaimsLeader {
    fn propose(&mut self, now: Instant, out: &mut Outputs) {
        while let Some(proposal) = self.queue.next_proposal() {
            self.push_proposal(now, proposal, out);
        }
    }

    fn propose_time(&mut self, now: Instant, state: &ClaimsState, out: &mut Outputs) {
        let is_due = now.since(self.accounted_until) >= TIME_STEP;
        if state.is_empty() || !is_due {
            return;
        }
        if let Some(proposal) = self.queue.next_proposal_even_if_empty() {
            self.push_proposal(now, proposal, out);
        }
    }

    fn push_proposal(
        &mut self,
        now: Instant,
        proposal: Proposal<ClaimsRequest>,
        out: &mut Outputs,
    ) {
        let command = ClaimsCommand {
            elapsed_ms: self.take_elapsed_ms(now),
            requests: proposal.operations,
        };
        out.push(LeaderOutput::Propose {
            tag: proposal.tag,
            command,
        });
    }

    /// Returns the whole milliseconds that no command contains yet. A remaining fraction is left
    /// for the next command.
    fn take_elapsed_ms(&mut self, now: Instant) -> u64 {
        let elapsed_ms =
            u64::try_from(now.since(self.accounted_until).as_millis()).unwrap_or(u64::MAX);
        self.accounted_until = self.accounted_until + Duration::from_millis(elapsed_ms);
        elapsed_ms
    }
}

impl LeaderMachine for ClaimsLeader {
    type State = ClaimsState;
    type Request = ClaimsRequest;
    type Reply = ClaimsReply;
    type Effect = NoEffect;
    type Event = NoEvent;

    fn on_leadership(
        &mut self,
        now: Instant,
        _epoch: Epoch,
        _state: &ClaimsState,
        _out: &mut Outputs,
    ) {
        *self = Self {
            accounted_until: now,
            ..Self::default()
        };
    }

    fn on_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: ClaimsRequest,
        state: &ClaimsState,
        out: &mut Outputs,
    ) {
        if let Some(reply) = state.reply_without_change(&request) {
            return out.push(LeaderOutput::Reply { tag, reply });
        }
        let bytes = estimated_bytes(&request);
        if let Err(tag) = self.queue.push(request, bytes, tag) {
            let reply = ClaimsReply::Full {
                retry_after_ms: FULL_RETRY_AFTER_MS,
            };
            return out.push(LeaderOutput::Reply { tag, reply });
        }
        self.propose(now, out);
    }

    fn on_applied(
        &mut self,
        now: Instant,
        tag: ProposalTag,
        replies: Vec<ClaimsReply>,
        _state: &ClaimsState,
        out: &mut Outputs,
    ) {
        let waiters = self.queue.take_waiters(tag);
        for (tag, reply) in waiters.into_iter().zip(replies) {
            out.push(LeaderOutput::Reply { tag, reply });
        }
        self.propose(now, out);
    }

    fn on_event(
        &mut self,
        _now: Instant,
        event: NoEvent,
        _state: &ClaimsState,
        _out: &mut Outputs,
    ) {
        match event {}
    }

    fn on_tick(&mut self, now: Instant, state: &ClaimsState, out: &mut Outputs) {
        self.propose_time(now, state, out);
        self.propose(now, out);
    }
}
