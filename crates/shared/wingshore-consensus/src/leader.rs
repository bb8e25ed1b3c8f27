//! Heartbeats, appends and commits of a leader.
//!
//! An entry is committed once a quorum has it durably. Only entries of the leader's own term are
//! committed by counting replicas (section 5.4.2 of the paper).

use crate::entry::{Entry, EntryKind};
use crate::interface::Output;
use crate::lease::HeartbeatRounds;
use crate::message::{AppendRejection, AppendRequest, Body, HeartbeatRequest};
use crate::progress::Progress;
use crate::raft::Raft;
use crate::role::{LeaderState, RecentCommits, Role};
use snafu::{Snafu, ensure};
use std::sync::Arc;
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// Reason why a proposal was rejected. Nothing was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This member is not the leader.
    #[snafu(display("this member does not lead"))]
    NotLeader,
    /// Leadership is being transferred.
    #[snafu(display("leadership is being handed over"))]
    Transferring,
}

impl Raft {
    /// Appends a command and returns its index and term. The command is committed when
    /// [`Output::Apply`] emits an entry with this index and term.
    ///
    /// # Errors
    /// Returns an error if this member is not the leader or is transferring leadership.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(LogIndex, u64), ProposeError> {
        self.check_may_propose()?;
        let index = self.append_own_entry(EntryKind::Command, command.into());
        Ok((index, self.term))
    }

    /// Checks that this member is the leader and accepts proposals.
    pub(crate) fn check_may_propose(&self) -> Result<(), ProposeError> {
        ensure!(self.is_leader(), NotLeaderSnafu);
        ensure!(!self.is_transferring(), TransferringSnafu);
        Ok(())
    }

    fn append_own_entry(&mut self, kind: EntryKind, data: Arc<[u8]>) -> LogIndex {
        let index = LogIndex(self.log.last_index().0 + 1);
        self.log.append(Entry {
            index,
            term: self.term,
            kind,
            data,
        });
        index
    }

    /// Becomes the leader, and appends an empty entry, so that earlier entries can be committed.
    pub(crate) fn become_leader(&mut self, now: Instant, out: &mut Vec<Output>) {
        let next_index = LogIndex(self.log.last_index().0 + 1);
        let progress = self
            .members
            .member_ids()
            .filter(|id| *id != self.id)
            .map(|id| (id, Progress::new(next_index)))
            .collect();
        self.role = Role::Leader(Box::new(LeaderState {
            progress,
            rounds: HeartbeatRounds::new(now),
            first_index: next_index,
            transfer: None,
            snapshot_wait_deadline: None,
            next_heartbeat: now,
            recent_commits: RecentCommits::default(),
        }));
        self.awaiting_snapshot.clear();
        self.append_own_entry(EntryKind::Empty, Arc::from([]));
        self.set_leader(Some(self.id), out);
        self.send_heartbeats(now, out);
    }

    /// Sends heartbeats when they are due, and steps down if no quorum has answered for an election
    /// timeout.
    pub(crate) fn leader_tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let step_down_at = leader.rounds.quorum_sent_at() + self.timing.election_timeout;
        if now >= step_down_at && self.members.voter_ids().any(|id| id != self.id) {
            return self.become_follower(now, self.term, None, out);
        }
        if now >= leader.next_heartbeat {
            self.send_heartbeats(now, out);
        }
        self.check_transfer_deadline(now, out);
    }

    fn send_heartbeats(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.next_heartbeat = now + self.timing.heartbeat_interval;
        let round = leader.rounds.begin(now);
        leader.recent_commits.record(round, self.commit_index);
        leader
            .progress
            .values_mut()
            .for_each(Progress::on_heartbeat_round);
        let mut requests = Vec::new();
        for (id, progress) in &leader.progress {
            let commit_index = self.commit_index.min(progress.match_index);
            let Some(commit_term) = self.log.term_at(commit_index) else {
                requests.push((*id, round, LogIndex(0), 0));
                continue;
            };
            requests.push((*id, round, commit_index, commit_term));
        }
        for (to, round, commit_index, commit_term) in requests {
            let request = HeartbeatRequest {
                round,
                commit_index,
                commit_term,
            };
            self.send(to, Body::Heartbeat(request), out);
        }
        self.update_acknowledged_rounds();
    }

    /// Handles the answer to a heartbeat.
    pub(crate) fn on_heartbeat_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        round: u64,
        needs_log: bool,
    ) {
        let interval = self.timing.heartbeat_interval;
        if let Some(progress) = self.progress_mut(from) {
            progress.on_heartbeat_reply(now, interval, round, needs_log);
            self.update_acknowledged_rounds();
        }
    }

    /// Returns the latest heartbeat round, or 0 if this member is not the leader.
    pub(crate) fn current_round(&self) -> u64 {
        match &self.role {
            Role::Leader(leader) => leader.rounds.current(),
            _ => 0,
        }
    }

    /// Extends the lease to the latest round that a quorum has answered.
    fn update_acknowledged_rounds(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let current = leader.rounds.current();
        let answered = self.members.quorum_value(|id| {
            if id == self.id {
                return current;
            }
            leader
                .progress
                .get(&id)
                .map_or(0, |progress| progress.acknowledged_round)
        });
        leader.rounds.acknowledged_through(answered.unwrap_or(0));
    }

    /// Handles an acknowledgement: the follower's log durably matches the leader's up to
    /// `match_index`.
    pub(crate) fn on_append_accepted(
        &mut self,
        from: ReplicaId,
        match_index: LogIndex,
        out: &mut Vec<Output>,
    ) {
        let last_index = self.log.last_index();
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        if progress.on_accepted(match_index.min(last_index)) {
            self.record_caught_up(from);
            self.advance_commit_by_quorum(out);
        }
    }

    fn record_caught_up(&mut self, id: ReplicaId) {
        if !self.is_caught_up(id) {
            return;
        }
        if let Some(progress) = self.progress_mut(id) {
            progress.on_caught_up();
        }
    }

    /// Handles a rejection: the follower's log does not have the entry before those that were sent.
    pub(crate) fn on_append_rejected(&mut self, from: ReplicaId, rejection: AppendRejection) {
        let (agreed, _) = self
            .log
            .last_with_term_at_most(rejection.hint_index, rejection.hint_term);
        if let Some(progress) = self.progress_mut(from) {
            progress.on_rejected(rejection.rejected_index, agreed, rejection.last_index);
        }
    }

    /// Commits the entries that a quorum has durably, counting replicas only of entries of the
    /// current term (section 5.4.2 of the paper).
    pub(crate) fn advance_commit_by_quorum(&mut self, out: &mut Vec<Output>) {
        if !self.is_leader() {
            return;
        }
        let index = if self.faults.commit_without_quorum {
            self.persistence.persisted_index()
        } else {
            let reached = self.members.quorum_value(|id| self.match_index(id).0);
            LogIndex(reached.unwrap_or(0))
        };
        let is_own_term = self.log.term_at(index) == Some(self.term);
        if is_own_term || self.faults.commit_previous_term {
            self.advance_commit(index, out);
        }
    }

    /// Sends appends and snapshot chunks to each follower, up to its flow-control limits.
    pub(crate) fn replicate(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let members: Vec<ReplicaId> = leader.progress.keys().copied().collect();
        for to in members {
            while self.send_append(to, out) {}
            self.send_snapshot_chunks(to, out);
        }
    }

    /// Sends one append if the limits for `to` permit it. Returns whether one was sent.
    fn send_append(&mut self, to: ReplicaId, out: &mut Vec<Output>) -> bool {
        let last_index = self.log.last_index();
        let limits = self.limits;
        let Some(progress) = self.progress(to) else {
            return false;
        };
        if !progress.may_send(last_index, &limits) {
            return false;
        }
        let next_index = progress.next_index;
        let prev_index = LogIndex(next_index.0.saturating_sub(1));
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.start_snapshot(to);
            return false;
        };
        let entries = self.log.slice(next_index, last_index, limits.append_bytes);
        let sent_through = entries.last().map_or(prev_index, |entry| entry.index);
        let bytes = entries.iter().map(Entry::size).sum();
        let round = self.current_round();
        if let Some(progress) = self.progress_mut(to) {
            progress.on_sent(sent_through, bytes);
            progress.on_sent_in_round(round);
        }
        let request = AppendRequest {
            prev_index,
            prev_term,
            entries,
            commit_index: self.commit_index,
        };
        self.send(to, Body::Append(request), out);
        true
    }
}
