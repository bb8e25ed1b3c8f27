//! What a member answers about itself, without any change.

use crate::outgoing::SnapshotSending;
use crate::progress::Progress;
use crate::raft::Raft;
use crate::role::{Role, TransferPhase};
use wingshore_types::protocol::membership::Membership;
use wingshore_types::{Instant, LogIndex, ReplicaId};

impl Raft {
    /// Who this member is.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Bytes of the log's entries that are in memory.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// The current term's leader, when known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Whether this member leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this member leads and has applied an entry of its own term, and so all that was
    /// ever committed before.
    pub fn has_applied_own_term(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => self.last_applied >= leader.first_index,
            _ => false,
        }
    }

    /// Whether this member is transferring leadership and takes no proposals. One that still waits for
    /// states that are being sent takes some.
    pub fn is_transferring(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => leader
                .transfer
                .is_some_and(|transfer| transfer.phase != TransferPhase::AwaitingSnapshots),
            _ => false,
        }
    }

    /// End of the leader lease, when there is one.
    fn lease_until(&self) -> Option<Instant> {
        match &self.role {
            Role::Leader(leader) => leader.rounds.lease_until(&self.timing),
            _ => None,
        }
    }

    /// Whether this member leads under a lease at `now`: no other can have been elected.
    pub fn holds_lease(&self, now: Instant) -> bool {
        if self.faults.skip_lease_check {
            return self.is_leader();
        }
        self.lease_until().is_some_and(|until| now < until)
    }

    /// The last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// The last entry given out to be applied.
    pub fn last_applied(&self) -> LogIndex {
        self.last_applied
    }

    /// The last entry of the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// The first entry that is not compacted away.
    pub fn first_index(&self) -> LogIndex {
        LogIndex(self.log.base_index().0 + 1)
    }

    /// The term of the entry at `index`, unless it is compacted or not written yet.
    pub fn term_at(&self, index: LogIndex) -> Option<u64> {
        self.log.term_at(index)
    }

    /// The newest membership, committed or not.
    pub fn membership(&self) -> &Membership {
        self.members.current()
    }

    /// For each member, the last entry known to this leader to be durable there; empty on
    /// others.
    pub fn match_indexes(&self) -> Vec<(ReplicaId, LogIndex)> {
        if !self.is_leader() {
            return Vec::new();
        }
        self.members
            .member_ids()
            .map(|id| (id, self.match_index(id)))
            .collect()
    }

    /// The snapshots that this leader is sending; none on others.
    pub fn snapshots_under_way(&self) -> Vec<SnapshotSending> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let members = leader.progress.iter();
        let sending = members.filter_map(|(id, progress)| progress.snapshot_sending(*id));
        sending.collect()
    }

    /// The last entry that `id` has to hold to count as caught up: what was committed a heartbeat round
    /// before the newest one that it has answered. What is committed now is on its way to each member, and
    /// to one that is further away than a majority it always is. The newest change of members counts in any
    /// case: a voter that does not know itself for a member cannot vote.
    pub(crate) fn caught_up_index(&self, id: ReplicaId) -> LogIndex {
        let settled = match &self.role {
            Role::Leader(leader) => leader.recent_commits.before(self.answered_round(id)),
            _ => None,
        };
        let settled = settled.unwrap_or(self.commit_index);
        let changed = self.members.last_change().max(self.log.base_index());
        settled.max(changed)
    }

    /// The newest heartbeat round that `id` has answered; the leader itself has answered each.
    fn answered_round(&self, id: ReplicaId) -> u64 {
        if id == self.id {
            return self.current_round();
        }
        self.progress(id)
            .map_or(0, |progress| progress.acknowledged_round)
    }

    /// Whether this member leads and knows that `id` holds durably all that counts.
    pub fn is_caught_up(&self, id: ReplicaId) -> bool {
        let is_member = self.members.member_ids().any(|member| member == id);
        self.is_leader() && is_member && self.match_index(id) >= self.caught_up_index(id)
    }

    /// The last entry known to be durable on `id`, as this leader knows it.
    pub(crate) fn match_index(&self, id: ReplicaId) -> LogIndex {
        if id == self.id {
            return self.persistence.persisted_index();
        }
        self.progress(id)
            .map_or(LogIndex(0), |progress| progress.match_index)
    }

    /// What this leader knows of `id`.
    pub(crate) fn progress(&self, id: ReplicaId) -> Option<&Progress> {
        match &self.role {
            Role::Leader(leader) => leader.progress.get(&id),
            _ => None,
        }
    }

    /// What this leader knows of `id`.
    pub(crate) fn progress_mut(&mut self, id: ReplicaId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leader) => leader.progress.get_mut(&id),
            _ => None,
        }
    }
}
