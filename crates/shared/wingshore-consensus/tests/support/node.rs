//! One member of a test cluster: its state machine, disk and clock.

use super::checker::{Applied, Checker};
use super::disk::Disk;
use super::timing;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use wingshore_consensus::{
    ElectionEvent, Faults, Input, Limits, Message, Output, Raft, RaftConfig,
};
use wingshore_types::log::WriteBatch;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::snapshot_data::SnapshotState;
use wingshore_types::snapshot_spool::MemorySpool;
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// A write that is not yet durable.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    pub token: u64,
    pub batch: WriteBatch,
}

/// One member.
pub struct Node {
    pub id: ReplicaId,
    pub raft: Option<Raft>,
    pub disk: Disk,
    pub pending_write: Option<PendingWrite>,
    pub incarnation: u64,
    pub bootstrap: Option<Membership>,
    pub applied: Applied,
    /// Rate by which the clock runs fast, in parts per million.
    pub drift_ppm: i64,
    /// Time until which the member is paused: it handles no input, but its clock runs on.
    pub frozen_until: Instant,
    /// Term and index of the proposals of this incarnation.
    pub proposed: Vec<(u64, LogIndex)>,
    pub writes: u64,
    pub seed: u64,
    pub faults: Faults,
    pub limits: Limits,
    /// Commands applied by this incarnation.
    pub commands: Vec<Vec<u8>>,
    /// Election events of this incarnation and the earlier ones.
    pub election_events: Vec<ElectionEvent>,
    /// State that the member provides as a snapshot instead of its applied state.
    pub provided_state: Option<SnapshotState>,
}

impl Node {
    /// Returns the time of the member's own clock.
    pub fn local_time(&self, now: Instant) -> Instant {
        let ppm = i128::from(1_000_000 + self.drift_ppm);
        let nanos = i128::from(now.0) * ppm / 1_000_000;
        Instant(u64::try_from(nanos).unwrap() + 1_000_000_000 * self.id.0)
    }

    /// Returns whether the member handles inputs now.
    pub fn is_running(&self, now: Instant) -> bool {
        self.raft.is_some() && now >= self.frozen_until
    }

    /// Starts the member from its disk.
    pub fn start(&mut self, now: Instant, checker: &mut Checker) {
        let config = RaftConfig {
            id: self.id,
            bootstrap: self.bootstrap.clone(),
            random: ChaCha8Rng::seed_from_u64(self.seed ^ (self.incarnation << 32) ^ self.id.0),
            timing: timing(),
            limits: self.limits,
            faults: self.faults,
            spool: Arc::new(MemorySpool),
        };
        self.applied = Applied::default();
        self.commands.clear();
        let mut out = Vec::new();
        let recovered = self.disk.contents.clone();
        let raft = Raft::new(self.local_time(now), config, recovered, &mut out).unwrap();
        self.raft = Some(raft);
        for output in out {
            if let Output::Restore { index, state } = output {
                self.applied = Applied::decode(&state.to_bytes().unwrap());
                checker.on_restore(index, self.applied);
            }
        }
    }

    /// Crashes the member. The first `parts` parts of a pending write reach the disk.
    pub fn crash(&mut self, parts: usize) {
        self.raft = None;
        self.incarnation += 1;
        self.proposed.clear();
        if let Some(pending_write) = self.pending_write.take() {
            self.disk.write_prefix(&pending_write.batch, parts);
        }
    }

    /// Passes inputs to the member, and executes the outputs.
    pub fn step(
        &mut self,
        now: Instant,
        inputs: Vec<Input>,
        checker: &mut Checker,
    ) -> Vec<(ReplicaId, Message)> {
        let local_time = self.local_time(now);
        let Some(raft) = &mut self.raft else {
            return Vec::new();
        };
        let mut out = Vec::new();
        for input in inputs {
            raft.step(local_time, input, &mut out);
        }
        self.finish(now, out, checker)
    }

    /// Flushes the member, and executes all outputs. Returns the messages to send.
    pub fn finish(
        &mut self,
        now: Instant,
        mut out: Vec<Output>,
        checker: &mut Checker,
    ) -> Vec<(ReplicaId, Message)> {
        let local_time = self.local_time(now);
        if let Some(raft) = &mut self.raft {
            raft.flush(local_time, &mut out).unwrap();
        }
        let mut sends = Vec::new();
        for output in out {
            self.execute(output, &mut sends, checker);
        }
        self.provide_needed_snapshot(local_time, &mut sends, checker);
        sends
    }

    /// Provides a snapshot of the applied state if members need entries that are compacted.
    fn provide_needed_snapshot(
        &mut self,
        local_time: Instant,
        sends: &mut Vec<(ReplicaId, Message)>,
        checker: &mut Checker,
    ) {
        let Some(raft) = self.raft.as_mut().filter(|raft| raft.needs_snapshot()) else {
            return;
        };
        let state = self.provided_state.clone();
        let state = state.unwrap_or_else(|| self.applied.encode().into());
        raft.provide_snapshot(state).unwrap();
        let mut out = Vec::new();
        raft.flush(local_time, &mut out).unwrap();
        for output in out {
            self.execute(output, sends, checker);
        }
    }

    fn execute(
        &mut self,
        output: Output,
        sends: &mut Vec<(ReplicaId, Message)>,
        checker: &mut Checker,
    ) {
        if std::env::var("TRACE").is_ok() && !matches!(output, Output::Send { .. }) {
            let raft = self.raft.as_ref().unwrap();
            println!(
                "n{} t{} com{:?} last{:?} {}",
                self.id,
                raft.term(),
                raft.commit_index(),
                raft.last_index(),
                format!("{output:?}").chars().take(400).collect::<String>()
            );
        }
        match output {
            Output::Send { to, message } => sends.push((to, message)),
            Output::Write { token, batch } => {
                assert!(self.pending_write.is_none(), "a write is already pending");
                self.writes += 1;
                self.pending_write = Some(PendingWrite { token, batch });
            }
            Output::Apply(entry) => {
                let term = self.raft.as_ref().map_or(0, Raft::term);
                self.applied = checker.on_apply(term, self.applied, &entry);
                if !entry.data.is_empty() {
                    self.commands.push(entry.data.to_vec());
                }
                if self.proposed.contains(&(entry.term, entry.index)) {
                    checker.on_acknowledged(entry.index);
                }
            }
            Output::Restore { index, state } => {
                self.applied = Applied::decode(&state.to_bytes().unwrap());
                checker.on_restore(index, self.applied);
            }
            Output::Leadership { leader, .. } if leader == Some(self.id) => {
                if let Some(raft) = self.raft.as_ref().filter(|raft| raft.is_leader()) {
                    checker.on_leader(raft);
                }
            }
            Output::Election(event) => self.election_events.push(event),
            Output::Leadership { .. } | Output::MembershipChanged(_) | Output::TransferAborted => {}
        }
    }
}
