//! A replicated group without consensus: its leader machine on top of its state; proposals are
//! applied after a fixed commit time.

use std::collections::VecDeque;
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ProposalTag, ReplicatedState, RequestTag,
};
use wingshore_types::{Epoch, Instant, LogIndex};

type Command<L> = <<L as LeaderMachine>::State as ReplicatedState>::Command;

/// What leaves a group.
#[derive(Debug)]
pub struct GroupNews<L: LeaderMachine> {
    /// Answers.
    pub replies: Vec<(RequestTag, L::Reply)>,
    /// Things to do outside.
    pub effects: Vec<L::Effect>,
    /// How many proposals were made: each is to be applied by [`Group::commit`] later.
    pub proposals: usize,
}

/// The group.
pub struct Group<L: LeaderMachine> {
    /// What is replicated.
    pub state: L::State,
    leader: L,
    proposals: VecDeque<(ProposalTag, Command<L>)>,
    applied: u64,
    next_request: u64,
}

impl<L: LeaderMachine> Group<L> {
    /// A group whose leader has not begun yet.
    pub fn new(state: L::State, leader: L) -> Self {
        Self {
            state,
            leader,
            proposals: VecDeque::new(),
            applied: 0,
            next_request: 0,
        }
    }

    /// Begins the leadership.
    pub fn begin(&mut self, now: Instant) -> GroupNews<L> {
        self.run(|leader, state, out| leader.on_leadership(now, Epoch(1), state, out))
    }

    /// Names a request.
    pub fn next_tag(&mut self) -> RequestTag {
        self.next_request += 1;
        RequestTag(self.next_request)
    }

    /// Takes a request.
    pub fn request(&mut self, now: Instant, tag: RequestTag, request: L::Request) -> GroupNews<L> {
        self.run(|leader, state, out| leader.on_request(now, tag, request, state, out))
    }

    /// Takes news from outside.
    pub fn event(&mut self, now: Instant, event: L::Event) -> GroupNews<L> {
        self.run(|leader, state, out| leader.on_event(now, event, state, out))
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) -> GroupNews<L> {
        self.run(|leader, state, out| leader.on_tick(now, state, out))
    }

    /// Applies the oldest proposal.
    pub fn commit(&mut self, now: Instant) -> GroupNews<L> {
        let Some((tag, command)) = self.proposals.pop_front() else {
            return self.run(|_, _, _| {});
        };
        self.applied += 1;
        let reply = self.state.apply(LogIndex(self.applied), command);
        self.run(|leader, state, out| leader.on_applied(now, tag, reply, state, out))
    }

    fn run(&mut self, step: impl FnOnce(&mut L, &L::State, &mut LeaderOutputs<L>)) -> GroupNews<L> {
        let mut out = Vec::new();
        step(&mut self.leader, &self.state, &mut out);
        let mut news = GroupNews {
            replies: Vec::new(),
            effects: Vec::new(),
            proposals: 0,
        };
        for output in out {
            match output {
                LeaderOutput::Propose { tag, command } => {
                    self.proposals.push_back((tag, command));
                    news.proposals += 1;
                }
                LeaderOutput::Reply { tag, reply } => news.replies.push((tag, reply)),
                LeaderOutput::Effect(effect) => news.effects.push(effect),
            }
        }
        news
    }
}
