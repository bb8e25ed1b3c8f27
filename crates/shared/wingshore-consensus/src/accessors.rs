//! Read-only accessors of a member's state.

use crate::outgoing::SnapshotSending;
use crate::progress::Progress;
use crate::raft::Raft;
use crate::role::{Role, TransferPhase};
use wingshore_types::protocol::membership::Membership;
use wingshore_types::{Instant, LogIndex, ReplicaId};

impl Raft {
    /// Returns the id of this member.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the size of the log entries in memory, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns whether this member believes that it is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this member is the leader and has applied an entry of its own term, and with
    /// it every entry committed before that term.
    pub fn has_applied_own_term(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => self.last_applied >= leader.first_index,
            _ => false,
        }
    }

    /// Returns whether this member is transferring leadership and rejects proposals. A transfer
    /// that still waits for outgoing snapshots accepts proposals.
    pub fn is_transferring(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => leader
                .transfer
                .is_some_and(|transfer| transfer.phase != TransferPhase::AwaitingSnapshots),
            _ => false,
        }
    }

    /// Returns the end of the leader lease, if there is one.
    fn lease_until(&self) -> Option<Instant> {
        match &self.role {
            Role::Leader(leader) => leader.rounds.lease_until(&self.timing),
            _ => None,
        }
    }

    /// Returns whether this member holds the leader lease at `now`, so that no other member can
    /// have been elected.
    pub fn holds_lease(&self, now: Instant) -> bool {
        if self.faults.skip_lease_check {
            return self.is_leader();
        }
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the index of the last entry emitted for application.
    pub fn last_applied(&self) -> LogIndex {
        self.last_applied
    }

    /// Returns the index of the last entry of the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the index of the first entry that is not compacted.
    pub fn first_index(&self) -> LogIndex {
        LogIndex(self.log.base_index().0 + 1)
    }

    /// Returns the term of the entry at `index`, or `None` if the entry is compacted or beyond the
    /// end of the log.
    pub fn term_at(&self, index: LogIndex) -> Option<u64> {
        self.log.term_at(index)
    }

    /// Returns the newest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.members.current()
    }

    /// Returns, for each member, the last entry that the leader knows to be durable there. Empty
    /// unless this member is the leader.
    pub fn match_indexes(&self) -> Vec<(ReplicaId, LogIndex)> {
        if !self.is_leader() {
            return Vec::new();
        }
        self.members
            .member_ids()
            .map(|id| (id, self.match_index(id)))
            .collect()
    }

    /// Returns the progress of the snapshots that this leader is sending. Empty unless this member
    /// is the leader.
    pub fn outgoing_snapshots(&self) -> Vec<SnapshotSending> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let members = leader.progress.iter();
        let sending = members.filter_map(|(id, progress)| progress.snapshot_sending(*id));
        sending.collect()
    }

    /// Returns the index that `id` must have durably to count as caught up: the commit index as of
    /// one heartbeat round before the newest round that `id` has answered. The current commit index
    /// would be too strict, since entries committed now are still in flight, and a member farther
    /// away than a majority would never reach it. The newest membership change is always included:
    /// a voter that does not know that it is a member cannot vote.
    pub(crate) fn caught_up_index(&self, id: ReplicaId) -> LogIndex {
        let answered_commit = match &self.role {
            Role::Leader(leader) => leader.recent_commits.before(self.answered_round(id)),
            _ => None,
        };
        let answered_commit = answered_commit.unwrap_or(self.commit_index);
        let changed = self.members.last_change().max(self.log.base_index());
        answered_commit.max(changed)
    }

    /// Returns the newest heartbeat round that `id` has answered. The leader counts as having
    /// answered every round.
    fn answered_round(&self, id: ReplicaId) -> u64 {
        if id == self.id {
            return self.current_round();
        }
        self.progress(id)
            .map_or(0, |progress| progress.acknowledged_round)
    }

    /// Returns whether this member is the leader and `id` is a member that has durably reached
    /// `caught_up_index`.
    pub fn is_caught_up(&self, id: ReplicaId) -> bool {
        let is_member = self.members.member_ids().any(|member| member == id);
        self.is_leader() && is_member && self.match_index(id) >= self.caught_up_index(id)
    }

    /// Returns the last entry that this leader knows to be durable on `id`.
    pub(crate) fn match_index(&self, id: ReplicaId) -> LogIndex {
        if id == self.id {
            return self.persistence.persisted_index();
        }
        self.progress(id)
            .map_or(LogIndex(0), |progress| progress.match_index)
    }

    /// Returns the replication progress of `id`, if this member is the leader and `id` a follower.
    pub(crate) fn progress(&self, id: ReplicaId) -> Option<&Progress> {
        match &self.role {
            Role::Leader(leader) => leader.progress.get(&id),
            _ => None,
        }
    }

    /// Returns the replication progress of `id` for modification.
    pub(crate) fn progress_mut(&mut self, id: ReplicaId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leader) => leader.progress.get_mut(&id),
            _ => None,
        }
    }
}
