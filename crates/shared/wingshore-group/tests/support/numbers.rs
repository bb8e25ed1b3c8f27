//! A small replicated state machine: a list of numbers.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ProposalTag, ReplicatedState, RequestTag,
    RestoreError,
};
use wingshore_types::{Epoch, Instant, LogIndex};

/// All numbers ever added, in the order they were applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Numbers {
    pub applied: Vec<u64>,
}

impl ReplicatedState for Numbers {
    type Command = u64;
    type Reply = usize;

    fn apply(&mut self, _index: LogIndex, command: u64) -> usize {
        self.applied.push(command);
        self.applied.len()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap()
    }

    fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        postcard::from_bytes(bytes).map_err(|error| RestoreError {
            message: error.to_string(),
        })
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Adds a number; answered once it is applied.
    Add(u64),
    /// Returns how many numbers there are.
    Count,
    /// Never answered.
    Wait,
}

/// Reply to a request: how many numbers there are, including the added one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count(pub usize);

/// Leader machine of [`Numbers`]: answers requests and reports each addition as an effect.
#[derive(Debug, Default)]
pub struct NumbersLeader {
    next_tag: u64,
    pending_requests: BTreeMap<ProposalTag, RequestTag>,
    pub epoch: Epoch,
}

/// Effect that reports an addition: the count of numbers after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Added(pub usize);

impl LeaderMachine for NumbersLeader {
    type State = Numbers;
    type Request = Request;
    type Reply = Count;
    type Effect = Added;
    type Event = u64;

    fn on_leadership(
        &mut self,
        _now: Instant,
        epoch: Epoch,
        _state: &Numbers,
        _out: &mut LeaderOutputs<Self>,
    ) {
        self.epoch = epoch;
    }

    fn on_request(
        &mut self,
        _now: Instant,
        tag: RequestTag,
        request: Request,
        state: &Numbers,
        out: &mut LeaderOutputs<Self>,
    ) {
        match request {
            Request::Add(number) => {
                self.next_tag += 1;
                let proposal = ProposalTag(self.next_tag);
                self.pending_requests.insert(proposal, tag);
                out.push(LeaderOutput::Propose {
                    tag: proposal,
                    command: number,
                });
            }
            Request::Count => out.push(LeaderOutput::Reply {
                tag,
                reply: Count(state.applied.len()),
            }),
            Request::Wait => {}
        }
    }

    fn on_applied(
        &mut self,
        _now: Instant,
        tag: ProposalTag,
        reply: usize,
        _state: &Numbers,
        out: &mut LeaderOutputs<Self>,
    ) {
        out.push(LeaderOutput::Effect(Added(reply)));
        if let Some(tag) = self.pending_requests.remove(&tag) {
            out.push(LeaderOutput::Reply {
                tag,
                reply: Count(reply),
            });
        }
    }

    fn on_event(
        &mut self,
        _now: Instant,
        event: u64,
        _state: &Numbers,
        out: &mut LeaderOutputs<Self>,
    ) {
        self.next_tag += 1;
        out.push(LeaderOutput::Propose {
            tag: ProposalTag(self.next_tag),
            command: event,
        });
    }

    fn on_tick(&mut self, _now: Instant, _state: &Numbers, _out: &mut LeaderOutputs<Self>) {}
}
