//! A group without a network: a replicated state and the leader state machine on top of it.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wingshore_ledger::samples::{Faults, LedgerLeader, LedgerState};
use wingshore_types::configuration::Permille;
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ProposalTag, ReplicatedState, RequestTag,
};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest, PullRequest, SampleLease};
use wingshore_types::{
    Epoch, Generation, Instant, LeaseId, LogIndex, NodeId, PoolId, Prompt, Revision, SampleNumber,
    StepId, TrainerId, WeightVersion,
};

type Command<L> = <<L as LeaderMachine>::State as ReplicatedState>::Command;

/// Interval between ticks of the leader.
const TICK: Duration = Duration::from_millis(100);

/// A group whose commits are controlled by the test.
pub struct Group<L: LeaderMachine> {
    pub now: Instant,
    pub state: L::State,
    pub leader: L,
    pub proposals: VecDeque<(ProposalTag, Command<L>)>,
    pub log: Vec<Command<L>>,
    pub replies: BTreeMap<RequestTag, L::Reply>,
    epoch: u64,
    next_request: u64,
}

impl<L: LeaderMachine> Group<L> {
    pub fn new(state: L::State, leader: L) -> Self {
        let mut group = Self {
            now: Instant::from_millis(1_000),
            state,
            leader,
            proposals: VecDeque::new(),
            log: Vec::new(),
            replies: BTreeMap::new(),
            epoch: 0,
            next_request: 0,
        };
        group.begin_leadership();
        group
    }

    /// Sends a request to the leader without committing any proposal.
    pub fn request(&mut self, request: L::Request) -> RequestTag {
        let tag = RequestTag(self.next_request);
        self.next_request += 1;
        let mut out = Vec::new();
        self.leader
            .on_request(self.now, tag, request, &self.state, &mut out);
        self.handle_outputs(out);
        tag
    }

    /// Sends a request to the leader, commits all proposals and returns the reply, if there is one.
    pub fn call(&mut self, request: L::Request) -> Option<L::Reply> {
        let tag = self.request(request);
        self.commit_all();
        self.replies.remove(&tag)
    }

    pub fn commit_all(&mut self) {
        while self.commit_one() {}
    }

    /// Commits and applies the oldest proposal; returns `false` if there is none.
    pub fn commit_one(&mut self) -> bool {
        let Some((tag, command)) = self.proposals.pop_front() else {
            return false;
        };
        self.log.push(command.clone());
        let index = LogIndex(self.log.len() as u64);
        let reply = self.state.apply(index, command);
        let mut out = Vec::new();
        self.leader
            .on_applied(self.now, tag, reply, &self.state, &mut out);
        self.handle_outputs(out);
        true
    }

    /// Advances the clock in ticks and commits all proposals after each.
    pub fn advance_time(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            let mut out = Vec::new();
            self.leader.on_tick(self.now, &self.state, &mut out);
            self.handle_outputs(out);
            self.commit_all();
        }
    }

    /// Replaces the leader by one whose clock shows `now`. Uncommitted proposals and replies that
    /// were not read are lost.
    pub fn change_leader(&mut self, leader: L, now: Instant) {
        self.proposals.clear();
        self.replies.clear();
        self.leader = leader;
        self.now = now;
        self.begin_leadership();
    }

    /// Restores the state from its own snapshot.
    pub fn restore(&mut self) {
        let snapshot = self.state.snapshot();
        self.state = L::State::restore(&snapshot).expect("own snapshot is valid");
        assert_eq!(self.state.snapshot(), snapshot);
    }

    fn begin_leadership(&mut self) {
        self.epoch += 1;
        let mut out = Vec::new();
        self.leader
            .on_leadership(self.now, Epoch(self.epoch), &self.state, &mut out);
        self.handle_outputs(out);
    }

    fn handle_outputs(&mut self, out: LeaderOutputs<L>) {
        for output in out {
            match output {
                LeaderOutput::Propose { tag, command } => self.proposals.push_back((tag, command)),
                LeaderOutput::Reply { tag, reply } => {
                    self.replies.insert(tag, reply);
                }
                LeaderOutput::Effect(_) => {}
            }
        }
    }
}

pub type Ledger = Group<LedgerLeader>;

pub const BOUND: u64 = 2;
pub const LEASE_MS: u64 = 10_000;
pub const MAX_OPEN: u32 = 64;
pub const MAX_TOKENS: u32 = 8;

pub fn pool() -> PoolId {
    PoolId::new("disputes")
}

pub fn trainer() -> TrainerId {
    TrainerId::new("trainer")
}

/// Creates a ledger group with one configured pool.
pub fn ledger(faults: Faults) -> Ledger {
    let state = LedgerState::with_faults(faults);
    let mut group = Group::new(state, LedgerLeader::with_faults(faults));
    group.call(configure(1, BOUND, MAX_OPEN));
    group
}

pub fn configure(revision: u64, staleness_bound: u64, max_open_samples: u32) -> LedgerRequest {
    configure_weight(revision, staleness_bound, max_open_samples, Permille::WHOLE)
}

pub fn configure_weight(
    revision: u64,
    staleness_bound: u64,
    max_open_samples: u32,
    idle_weight: Permille,
) -> LedgerRequest {
    LedgerRequest::Configure {
        pool: pool(),
        revision: Revision(revision),
        staleness_bound,
        max_open_samples,
        sample_lease_ms: LEASE_MS,
        idle_weight,
        trainer: trainer(),
    }
}

pub fn prompt(number: u64) -> Prompt {
    Prompt {
        number: SampleNumber(number),
        tokens: vec![7, number as u32],
        max_tokens: MAX_TOKENS,
        seed: number,
    }
}

pub fn submit(numbers: impl IntoIterator<Item = u64>) -> LedgerRequest {
    LedgerRequest::Submit {
        pool: pool(),
        prompts: numbers.into_iter().map(prompt).collect(),
    }
}

pub fn lease(node: &str, boot_id: u64, most: u32) -> LedgerRequest {
    LedgerRequest::Lease {
        pool: pool(),
        node: NodeId::new(node),
        boot_id,
        most,
    }
}

/// Returns a generation with one token per version in `versions`.
pub fn generation(versions: &[u64]) -> Generation {
    let mut generation = Generation::default();
    for (position, version) in versions.iter().enumerate() {
        generation.append(WeightVersion(*version), &[position as u32]);
    }
    generation
}

pub fn finish(sample: u64, lease: LeaseId, versions: &[u64]) -> LedgerRequest {
    LedgerRequest::Finish {
        pool: pool(),
        sample: SampleNumber(sample),
        lease,
        generation: generation(versions),
    }
}

pub fn score(sample: u64, lease: LeaseId) -> LedgerRequest {
    LedgerRequest::Score {
        pool: pool(),
        sample: SampleNumber(sample),
        lease,
        score: 0.5,
    }
}

pub fn pull_request(step: u64, weight_version: u64, count: u32, wait_ms: u64) -> PullRequest {
    PullRequest {
        trainer: trainer(),
        step: StepId(step),
        weight_version: WeightVersion(weight_version),
        count,
        wait_ms,
    }
}

pub fn pull(step: u64, weight_version: u64, count: u32, wait_ms: u64) -> LedgerRequest {
    LedgerRequest::Pull {
        pool: pool(),
        pull: pull_request(step, weight_version, count, wait_ms),
    }
}

pub fn acknowledge(step: u64) -> LedgerRequest {
    LedgerRequest::Acknowledge {
        pool: pool(),
        trainer: trainer(),
        step: StepId(step),
    }
}

/// Leases up to `most` samples for a node and returns the leases.
pub fn lease_samples(group: &mut Ledger, node: &str, boot_id: u64, most: u32) -> Vec<SampleLease> {
    match group.call(lease(node, boot_id, most)) {
        Some(LedgerReply::Leases(leases)) => leases,
        other => panic!("expected leases, got {other:?}"),
    }
}

/// Submits samples, then leases all pending ones, finishes them with `version` and scores them.
pub fn submit_and_score(group: &mut Ledger, numbers: impl IntoIterator<Item = u64>, version: u64) {
    group.call(submit(numbers));
    loop {
        let leases = lease_samples(group, "node", 1, 16);
        if leases.is_empty() {
            return;
        }
        for granted in leases {
            let number = granted.prompt.number.0;
            group.call(finish(number, granted.lease, &[version]));
            group.call(score(number, granted.lease));
        }
    }
}
