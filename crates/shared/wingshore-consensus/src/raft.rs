//! State of a member and dispatch of its inputs.
//!
//! The behavior of followers, candidates and leaders is in modules of their own.

use crate::config::Faults;
use crate::election_events::ElectionReporter;
use crate::entry::{CodecError, HardState};
use crate::incoming::IncomingSnapshot;
use crate::interface::{Input, Output};
use crate::limits::Limits;
use crate::log::RaftLog;
use crate::members::Members;
use crate::message::{Body, Message};
use crate::persistence::Persistence;
use crate::role::Role;
use crate::timing::Timing;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::sync::{Arc, Weak};
use wingshore_types::log::StoredSnapshot;
use wingshore_types::snapshot_spool::SnapshotSpool;
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// DeferredMessage is a message that is sent once a write is durable.
#[derive(Debug)]
pub(crate) struct DeferredMessage {
    /// Token of the write.
    pub(crate) token: u64,
    /// The receiver.
    pub(crate) to: ReplicaId,
    /// The message; dropped if the term changes first.
    pub(crate) message: Message,
}

/// Raft is one member of a group.
///
/// Invariants, with the names of the paper:
///
/// - `term` never decreases; `vote` changes at most once per term;
/// - `last_applied <= commit_index <= last index of the log`;
/// - `verified_index` is the highest index up to which this log is known to equal the log of the
///   leader of `term`;
/// - entries up to `commit_index` are never truncated.
#[derive(Debug)]
pub struct Raft {
    pub(crate) id: ReplicaId,
    pub(crate) random: ChaCha8Rng,
    pub(crate) timing: Timing,
    pub(crate) limits: Limits,
    pub(crate) faults: Faults,

    pub(crate) term: u64,
    pub(crate) vote: Option<ReplicaId>,
    pub(crate) enrolled: bool,
    pub(crate) log: RaftLog,
    pub(crate) members: Members,
    /// The last entry that the snapshot on disk, or the one being written, contains; 0 without a
    /// snapshot.
    pub(crate) snapshot_index: LogIndex,
    /// The most recent snapshot, while a write or a transfer still references it.
    pub(crate) recent_snapshot: Weak<StoredSnapshot>,
    /// Members that need a snapshot while none is available.
    pub(crate) awaiting_snapshot: BTreeSet<ReplicaId>,

    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) commit_index: LogIndex,
    pub(crate) last_applied: LogIndex,
    /// Size of the entries emitted for application since the last flush, in bytes.
    pub(crate) applied_since_flush: usize,
    pub(crate) verified_index: LogIndex,
    pub(crate) acknowledgement_pending: bool,
    /// Storage for the snapshot that is being received.
    pub(crate) spool: Arc<dyn SnapshotSpool>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) last_contact: Instant,
    pub(crate) election_deadline: Instant,
    pub(crate) election_reporter: ElectionReporter,

    pub(crate) persistence: Persistence,
    pub(crate) deferred: Vec<DeferredMessage>,
}

impl Raft {
    /// Handles one input at `now`. Call [`Raft::flush`] after one or several inputs.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.on_tick(now, out),
            Input::Message { from, message } => self.on_message(now, from, message, out),
            Input::Persisted { token } => self.on_persisted(now, token, out),
        }
    }

    /// Emits the collected results of the steps since the last call: appends to followers, the
    /// acknowledgement to the leader, and one write.
    ///
    /// # Errors
    /// Returns an error if the hard state cannot be encoded; the member must then stop.
    pub fn flush(&mut self, now: Instant, out: &mut Vec<Output>) -> Result<(), CodecError> {
        self.applied_since_flush = 0;
        self.apply_committed(out);
        self.replicate(out);
        self.continue_transfer(now, out);
        self.acknowledge_when_complete(out);
        let hard_state = self.hard_state();
        if let Some((token, batch)) = self.persistence.next_write(&self.log, &hard_state)? {
            out.push(Output::Write { token, batch });
        }
        self.trim_log();
        Ok(())
    }

    /// Removes applied and durable entries from memory, except for those that followers that are
    /// slightly behind may need. Entries after a snapshot that is being sent are retained until the
    /// receiver has them, since it would otherwise need another snapshot. The retention is limited,
    /// so that a receiver that makes no progress cannot exhaust the memory.
    fn trim_log(&mut self) {
        /// Limit for the entries after a snapshot that was sent, in multiples of the usual limit.
        const SNAPSHOT_RETENTION_FACTOR: usize = 4;
        let max_cached_bytes = self.limits.cached_log_bytes;
        let through = self.last_applied.min(self.persistence.persisted_index());
        let held = self.min_catching_up_index();
        let trimmed_through = held.map_or(through, |held| held.min(through));
        self.log.trim_through(trimmed_through, max_cached_bytes);
        self.log
            .trim_through(through, max_cached_bytes * SNAPSHOT_RETENTION_FACTOR);
        self.members.compact_through(self.log.base_index());
    }

    /// Returns the latest time at which [`Input::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        if self.last_applied < self.commit_index {
            return Instant::ZERO;
        }
        match &self.role {
            Role::Leader(leader) => leader.next_deadline(),
            Role::PreCandidate(ballot) | Role::Candidate(ballot) => {
                ballot.next_retry.min(self.election_deadline)
            }
            Role::Follower if self.may_campaign() => self.election_deadline,
            Role::Follower => Instant(u64::MAX),
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        match &self.role {
            Role::Leader(_) => self.leader_tick(now, out),
            Role::PreCandidate(_) | Role::Candidate(_) | Role::Follower => {
                self.election_tick(now, out);
            }
        }
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: ReplicaId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let Message { term, body } = message;
        match body {
            Body::PreVote(request) => return self.on_pre_vote(now, from, term, request, out),
            Body::Vote(request) => return self.on_vote(now, from, term, request, out),
            // Granted by a member of an older term, which a pre-vote does not raise.
            Body::PreVoteReply {
                campaign_term,
                granted,
            } if term <= self.term => {
                return self.on_pre_vote_reply(now, from, campaign_term, granted, out);
            }
            _ => {}
        }
        if term < self.term {
            if body.is_from_leader() {
                self.send_newer_term(from, out);
            }
            return;
        }
        if term > self.term {
            self.become_follower(now, term, None, out);
        }
        if body.is_from_leader() && !self.accept_leader(now, from, out) {
            return;
        }
        match body {
            Body::PreVote(_) | Body::Vote(_) | Body::PreVoteReply { .. } => {}
            Body::VoteReply { granted } => self.on_vote_reply(now, from, granted, out),
            Body::Append(request) => self.on_append(from, request, out),
            Body::AppendAccepted { match_index } => {
                self.on_append_accepted(from, match_index, out);
            }
            Body::AppendRejected(rejection) => self.on_append_rejected(from, rejection),
            Body::Heartbeat(request) => self.on_heartbeat(from, request, out),
            Body::HeartbeatReply { round, needs_log } => {
                self.on_heartbeat_reply(now, from, round, needs_log);
            }
            Body::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, chunk, out),
            Body::SnapshotReceived { index, received } => {
                self.on_snapshot_received(from, index, received);
            }
            Body::TimeoutNow => self.on_timeout_now(now, out),
        }
    }

    fn on_persisted(&mut self, now: Instant, token: u64, out: &mut Vec<Output>) {
        if !self.persistence.on_persisted(token) {
            return;
        }
        self.release_deferred(out);
        self.count_own_vote(now, out);
        self.acknowledge_partly(out);
        self.advance_commit_by_quorum(out);
    }

    /// Becomes a follower in `term`, which is not below the current one.
    pub(crate) fn become_follower(
        &mut self,
        now: Instant,
        term: u64,
        leader: Option<ReplicaId>,
        out: &mut Vec<Output>,
    ) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.persistence.hard_state_changed();
            self.deferred.clear();
            // The partial snapshot came from the leader of the old term. Within a term the same
            // leader resumes it where it was.
            self.incoming = None;
        }
        self.role = Role::Follower;
        self.verified_index = LogIndex(0);
        self.acknowledgement_pending = false;
        self.reset_election_deadline(now);
        self.set_leader(leader, out);
    }

    /// Sets the leader of the current term, and emits the change.
    pub(crate) fn set_leader(&mut self, leader: Option<ReplicaId>, out: &mut Vec<Output>) {
        self.leader = leader;
        if leader.is_some() {
            self.election_reporter.leader_known();
        }
        out.push(Output::Leadership {
            term: self.term,
            leader,
        });
    }

    /// Handles the sender of a message from the current term's leader. Returns `false` if the
    /// message must be ignored.
    fn accept_leader(&mut self, now: Instant, from: ReplicaId, out: &mut Vec<Output>) -> bool {
        if self.is_leader() {
            return false;
        }
        if !matches!(self.role, Role::Follower) || self.leader != Some(from) {
            self.become_follower(now, self.term, Some(from), out);
        }
        self.last_contact = now;
        self.reset_election_deadline(now);
        true
    }

    /// Draws a random election timeout and sets the next election deadline.
    pub(crate) fn reset_election_deadline(&mut self, now: Instant) {
        let spread = self.timing.election_spread.as_nanos();
        let extra = self
            .random
            .random_range(0..=u64::try_from(spread).unwrap_or(u64::MAX));
        let timeout = self.timing.election_timeout;
        self.election_deadline = now + timeout + std::time::Duration::from_nanos(extra);
    }

    /// Sends a message in the current term.
    pub(crate) fn send(&self, to: ReplicaId, body: Body, out: &mut Vec<Output>) {
        let message = Message {
            term: self.term,
            body,
        };
        out.push(Output::Send { to, message });
    }

    /// Sends a message once the current hard state is durable.
    pub(crate) fn send_when_durable(&mut self, to: ReplicaId, body: Body, out: &mut Vec<Output>) {
        if self.persistence.hard_state_is_durable() {
            return self.send(to, body, out);
        }
        let message = Message {
            term: self.term,
            body,
        };
        self.deferred.push(DeferredMessage {
            token: self.persistence.hard_state_token(),
            to,
            message,
        });
    }

    fn release_deferred(&mut self, out: &mut Vec<Output>) {
        let waiting = std::mem::take(&mut self.deferred);
        for deferred in waiting {
            if !self.persistence.is_durable(deferred.token) {
                self.deferred.push(deferred);
            } else if deferred.message.term == self.term {
                out.push(Output::Send {
                    to: deferred.to,
                    message: deferred.message,
                });
            }
        }
    }

    /// Informs the leader of an older term of the current term.
    fn send_newer_term(&self, to: ReplicaId, out: &mut Vec<Output>) {
        let body = Body::HeartbeatReply {
            round: 0,
            needs_log: false,
        };
        self.send(to, body, out);
    }

    /// Returns the hard state to write.
    pub(crate) fn hard_state(&self) -> HardState {
        let vote = if self.faults.vote_without_persist {
            None
        } else {
            self.vote
        };
        HardState {
            term: self.term,
            vote,
            enrolled: self.enrolled,
        }
    }

    /// Commits entries up to `index`, and emits them for application.
    pub(crate) fn advance_commit(&mut self, index: LogIndex, out: &mut Vec<Output>) {
        let index = index.min(self.log.last_index());
        if index <= self.commit_index {
            return;
        }
        self.commit_index = index;
        self.apply_committed(out);
    }

    /// Emits committed entries for application, up to the limit between two flushes. The limit does
    /// not apply to a leader that has applied an entry of its own term, since its reads must
    /// include every committed entry.
    fn apply_committed(&mut self, out: &mut Vec<Output>) {
        while self.last_applied < self.commit_index {
            let next = LogIndex(self.last_applied.0 + 1);
            let Some(entry) = self.log.entry(next) else {
                return;
            };
            let bytes = self.applied_since_flush + entry.size();
            let is_full = self.applied_since_flush > 0 && bytes > self.limits.apply_bytes;
            if is_full && !self.has_applied_own_term() {
                return;
            }
            self.applied_since_flush = bytes;
            out.push(Output::Apply(entry.clone()));
            self.last_applied = next;
        }
    }
}
