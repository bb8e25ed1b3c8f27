//! [`Host`]: the state of one replicated group on one replica and the dispatch of its inputs.

use crate::interface::{HostConfig, HostError, HostInput, HostOutput, HostReply, Leadership};
use crate::machines::MachineFactory;
use crate::pending::{ActiveLeader, PendingTransfer, Proposal};
use crate::snapshots::SnapshotSchedule;
use crate::stop_phase::StopPhase;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use wingshore_consensus::{Input, Message, Output, Raft, RaftConfig, SnapshotSending};
use wingshore_types::log::RecoveredLog;
use wingshore_types::machine::{LeaderMachine, ProposalTag, ReplicatedState, RequestTag};
use wingshore_types::protocol::membership::Membership;
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// One replicated group on one replica: its log, its state and, while it leads, its leader
/// machine.
///
/// Invariant: the leader machine exists only while this replica leads and has applied an entry of
/// its own term. Each of its replies and effects passes a lease check in the step that emits it.
pub struct Host<L: LeaderMachine> {
    pub(crate) id: ReplicaId,
    pub(crate) raft: Raft,
    pub(crate) state: L::State,
    pub(crate) active_leader: Option<ActiveLeader<L>>,
    /// Uncommitted proposals of the leader machine and of operators, by log index.
    pub(crate) proposals: BTreeMap<LogIndex, Proposal>,
    /// Proposals deferred until the current leadership transfer ends, in the order they were made.
    pub(crate) deferred_proposals: VecDeque<(ProposalTag, Vec<u8>)>,
    /// Requests that the leader machine has not answered, with the value of `proposal_count` when
    /// each one arrived.
    pub(crate) requests: BTreeMap<RequestTag, u64>,
    /// Number of proposals that the leader machine has made.
    pub(crate) proposal_count: u64,
    pub(crate) transfer: Option<PendingTransfer>,
    pub(crate) stop: StopPhase,
    /// The leadership last reported by [`HostOutput::Leadership`].
    pub(crate) announced_leadership: Option<Leadership>,
    pub(crate) election_timeout: std::time::Duration,
    pub(crate) machines: MachineFactory<L>,
    pub(crate) snapshots: SnapshotSchedule,
    has_failed: bool,
}

impl<L> Host<L>
where
    L: LeaderMachine + Default + 'static,
    L::State: Default,
{
    /// Starts from the log that storage recovered.
    ///
    /// # Errors
    /// If a setting is invalid or the recovered log cannot be used.
    pub fn new(
        now: Instant,
        config: HostConfig,
        recovered: RecoveredLog,
    ) -> Result<Self, HostError> {
        Self::with_machines(now, config, recovered, MachineFactory::default())
    }

    /// Like [`Host::new`], with machines created by `machines`.
    ///
    /// # Errors
    /// Like [`Host::new`].
    pub fn with_machines(
        now: Instant,
        config: HostConfig,
        recovered: RecoveredLog,
        machines: MachineFactory<L>,
    ) -> Result<Self, HostError> {
        let mut state = L::State::default();
        (machines.prepare)(&mut state);
        let raft_config = RaftConfig {
            id: config.id,
            bootstrap: config.bootstrap,
            random: ChaCha8Rng::seed_from_u64(config.seed),
            timing: config.timing,
            limits: config.limits,
            faults: config.faults,
            spool: config.spool,
        };
        let mut outputs = Vec::new();
        let raft = Raft::new(now, raft_config, recovered, &mut outputs)
            .map_err(|source| HostError::Recovery { source })?;
        let mut host = Self {
            id: config.id,
            raft,
            state,
            active_leader: None,
            proposals: BTreeMap::new(),
            deferred_proposals: VecDeque::new(),
            requests: BTreeMap::new(),
            proposal_count: 0,
            transfer: None,
            stop: StopPhase::Running,
            announced_leadership: None,
            election_timeout: config.timing.election_timeout,
            machines,
            snapshots: SnapshotSchedule::new(
                config.snapshot_every_bytes,
                config.max_log_bytes,
                config.seed,
            ),
            has_failed: false,
        };
        for output in outputs {
            host.carry_out(now, output, &mut Vec::new())?;
        }
        Ok(host)
    }

    /// Handles one input at time `now` and appends the resulting outputs to `out`.
    pub fn step(&mut self, now: Instant, input: HostInput<L>, out: &mut Vec<HostOutput<L>>) {
        self.step_all(now, [input], out);
    }

    /// Handles several inputs at time `now`. All their writes form one batch, and all their
    /// proposals form one append message to each member.
    pub fn step_all(
        &mut self,
        now: Instant,
        inputs: impl IntoIterator<Item = HostInput<L>>,
        out: &mut Vec<HostOutput<L>>,
    ) {
        for input in inputs {
            if self.has_failed {
                return;
            }
            let result = self.handle(now, input, out);
            self.stop_on_error(result, out);
        }
        if !self.has_failed {
            let result = self.finish_step(now, out);
            self.stop_on_error(result, out);
        }
    }

    fn handle(
        &mut self,
        now: Instant,
        input: HostInput<L>,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        match input {
            HostInput::Tick => {
                self.step_raft(now, Input::Tick, out)?;
                self.tick_machine(now, out)
            }
            HostInput::Consensus { from, message } => {
                // A message that cannot be decoded is treated as lost.
                let Ok(message) = postcard::from_bytes::<Message>(&message) else {
                    return Ok(());
                };
                self.step_raft(now, Input::Message { from, message }, out)
            }
            HostInput::Persisted { token } => self.step_raft(now, Input::Persisted { token }, out),
            HostInput::Request { tag, request } => self.on_request(now, tag, request, out),
            HostInput::Membership { tag, request } => {
                self.on_membership_request(now, tag, request, out)
            }
            HostInput::Event(event) => self.on_event(now, event, out),
            HostInput::Stop => {
                self.begin_stop(now);
                Ok(())
            }
        }
    }

    fn finish_step(&mut self, now: Instant, out: &mut Vec<HostOutput<L>>) -> Result<(), HostError> {
        self.propose_deferred();
        self.continue_stop(now, out);
        self.take_snapshot_when_due()?;
        if self.raft.needs_snapshot() {
            self.raft.provide_snapshot(self.state.freeze())?;
        }
        let mut outputs = Vec::new();
        self.raft.flush(now, &mut outputs)?;
        self.carry_out_all(now, outputs, out)
    }

    fn step_raft(
        &mut self,
        now: Instant,
        input: Input,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        let mut outputs = Vec::new();
        self.raft.step(now, input, &mut outputs);
        self.carry_out_all(now, outputs, out)
    }

    /// Carries out the outputs of the replicated log in order.
    pub(crate) fn carry_out_all(
        &mut self,
        now: Instant,
        outputs: Vec<Output>,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        for output in outputs {
            self.carry_out(now, output, out)?;
        }
        Ok(())
    }

    fn carry_out(
        &mut self,
        now: Instant,
        output: Output,
        out: &mut Vec<HostOutput<L>>,
    ) -> Result<(), HostError> {
        match output {
            Output::Send { to, message } => {
                let message = postcard::to_allocvec(&message)?;
                out.push(HostOutput::Send { to, message });
            }
            Output::Write { token, batch } => out.push(HostOutput::Write { token, batch }),
            Output::Apply(entry) => self.apply(now, &entry, out)?,
            Output::Restore { index, state } => self.restore(index, &state)?,
            Output::Leadership { term, leader } => self.on_leadership(term, leader, out),
            Output::Election(event) => out.push(HostOutput::Election(event)),
            Output::MembershipChanged(membership) => {
                out.push(HostOutput::MembershipChanged(membership));
            }
            Output::TransferAborted => self.on_transfer_aborted(out),
        }
        Ok(())
    }

    fn take_snapshot_when_due(&mut self) -> Result<(), HostError> {
        if self.snapshots.is_due() && self.raft.can_compact() {
            let snapshot = self.state.freeze();
            self.snapshots.record_snapshot(snapshot.length());
            self.raft.compact(snapshot)?;
        }
        Ok(())
    }

    fn stop_on_error(&mut self, result: Result<(), HostError>, out: &mut Vec<HostOutput<L>>) {
        if let Err(error) = result {
            self.has_failed = true;
            out.push(HostOutput::Failed(error));
        }
    }

    /// Replies that this replica is not the leader; the reply states nothing about the replicated
    /// state.
    pub(crate) fn reply_not_leader(&self, tag: RequestTag, out: &mut Vec<HostOutput<L>>) {
        let leader = self.other_leader();
        let reply = HostReply::NotLeader { leader };
        out.push(HostOutput::Reply { tag, reply });
    }

    /// Returns the leader if it is another replica.
    pub(crate) fn other_leader(&self) -> Option<ReplicaId> {
        self.raft.leader().filter(|leader| *leader != self.id)
    }

    /// Returns the latest time at which the next [`HostInput::Tick`] must be fed.
    pub fn next_tick(&self) -> Instant {
        let mut next = self.raft.next_deadline();
        if let Some(leader) = &self.active_leader {
            next = next.min(leader.next_tick);
        }
        if let Some(deadline) = self.stop.deadline() {
            next = next.min(deadline);
        }
        next
    }

    /// Returns the replicated state as of the last entry applied on this replica.
    pub fn state(&self) -> &L::State {
        &self.state
    }

    /// Returns whether this replica leads and its leader machine runs.
    pub fn is_leader(&self) -> bool {
        self.active_leader.is_some()
    }

    /// Returns the leader machine while it runs.
    pub fn leader_machine(&self) -> Option<&L> {
        self.active_leader.as_ref().map(|leader| &leader.machine)
    }

    /// Returns whether this replica holds the quorum lease at `now`.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.raft.holds_lease(now)
    }

    /// Returns the leader if one is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.raft.leader()
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.raft.term()
    }

    /// Returns the index of the last entry applied on this replica.
    pub fn applied_index(&self) -> LogIndex {
        self.raft.last_applied()
    }

    /// Returns the highest index that this replica knows to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.raft.commit_index()
    }

    /// Returns the bytes of log entries held in memory.
    pub fn log_bytes(&self) -> usize {
        self.raft.log_bytes()
    }

    /// Returns whether this replica leads and knows that member `id` has durably stored all entries
    /// that were committed one heartbeat round ago.
    pub fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.raft.is_caught_up(id)
    }

    /// Returns the snapshots that this replica, as leader, is sending to members; empty on other
    /// replicas.
    pub fn outgoing_snapshots(&self) -> Vec<SnapshotSending> {
        self.raft.outgoing_snapshots()
    }

    /// Returns the membership as of the newest entry that changes it.
    pub fn membership(&self) -> &Membership {
        self.raft.membership()
    }
}
