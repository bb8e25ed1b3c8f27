//! Membership changes: when a leader may make one, and how.
//!
//! Voters change one at a time, only after the previous voter change is committed, and only under a
//! leader that has applied an entry of its own term. Each quorum before the change then shares a
//! member with each quorum after it. A learner belongs to no quorum, so learners are added and
//! removed without waiting for another change, and a learner that lacks the state is sent a
//! snapshot at once. A learner may be promoted once it durably holds the entries that were
//! committed before a heartbeat that it has answered, and the newest membership change: it then
//! lacks little of the log and knows that it is a voter. The leader cannot remove itself; it must
//! transfer leadership first. A rejected change appends nothing.

use crate::entry::{CodecError, Entry};
use crate::interface::Output;
use crate::leader::ProposeError;
use crate::progress::Progress;
use crate::raft::Raft;
use crate::role::Role;
use snafu::{ResultExt, Snafu, ensure};
use wingshore_types::protocol::membership::{Member, Membership};
use wingshore_types::{LogIndex, ReplicaId};

/// Reason why a membership change was rejected. Nothing was appended.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// This member cannot append entries.
    #[snafu(display("{source}"))]
    Propose {
        /// The reason.
        source: ProposeError,
    },
    /// The leader has not committed an entry of its term yet.
    #[snafu(display("the leader has not committed an entry of its term yet; try again"))]
    LeaderNotReady,
    /// An earlier change is not committed yet: either a voter change, or this same change.
    #[snafu(display("the change at index {index} is not committed yet; one change at a time"))]
    ChangeInProgress {
        /// Index of the earlier change.
        index: LogIndex,
    },
    /// Another member has the same id or the same address.
    #[snafu(display(
        "member {} at {} has the same identity or address; remove it first",
        existing.id,
        existing.address
    ))]
    MemberConflict {
        /// The other member.
        existing: Member,
    },
    /// The member to promote is not a learner.
    #[snafu(display("{id} is not a learner; only learners can be promoted"))]
    NotALearner {
        /// Id of that member.
        id: ReplicaId,
    },
    /// The learner has not caught up.
    #[snafu(display(
        "learner {id} has synced the log through {synced}; it can be promoted from {needed} on"
    ))]
    NotCaughtUp {
        /// The learner.
        id: ReplicaId,
        /// Last entry that is durable on the learner.
        synced: LogIndex,
        /// Last entry that must be durable on the learner.
        needed: LogIndex,
    },
    /// The leader cannot remove itself.
    #[snafu(display("{id} leads; transfer leadership first, then remove it"))]
    RemovesLeader {
        /// The leader.
        id: ReplicaId,
    },
    /// The membership cannot be encoded.
    #[snafu(display("{source}"))]
    Codec {
        /// The encoding error.
        source: CodecError,
    },
}

/// Result of an accepted membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was appended. It is committed when the entry at this index is applied with this
    /// term.
    Proposed {
        /// Index of the entry.
        index: LogIndex,
        /// Term of the entry.
        term: u64,
    },
    /// The committed membership already includes the change.
    AlreadyDone,
}

impl Raft {
    /// Adds a new member as a learner.
    ///
    /// # Errors
    /// See [`ChangeError`].
    pub fn add_learner(
        &mut self,
        member: Member,
        out: &mut Vec<Output>,
    ) -> Result<ChangeOutcome, ChangeError> {
        let mut membership = self.membership_to_change()?;
        if membership.learners.contains(&member) || membership.voters.contains(&member) {
            return self.already_done();
        }
        let conflict = membership
            .voters
            .iter()
            .chain(&membership.learners)
            .find(|other| other.id == member.id || other.address == member.address);
        if let Some(existing) = conflict {
            let existing = existing.clone();
            return MemberConflictSnafu { existing }.fail();
        }
        membership.learners.push(member);
        self.propose_membership(membership, out)
    }

    /// Promotes a learner to a voter, if it has caught up.
    ///
    /// # Errors
    /// See [`ChangeError`].
    pub fn promote(
        &mut self,
        id: ReplicaId,
        out: &mut Vec<Output>,
    ) -> Result<ChangeOutcome, ChangeError> {
        let mut membership = self.membership_to_change()?;
        if membership.voters.iter().any(|voter| voter.id == id) {
            return self.already_done();
        }
        let position = membership
            .learners
            .iter()
            .position(|member| member.id == id);
        let Some(position) = position else {
            return NotALearnerSnafu { id }.fail();
        };
        let synced = self.match_index(id);
        let needed = self.caught_up_index(id);
        ensure!(synced >= needed, NotCaughtUpSnafu { id, synced, needed });
        let member = membership.learners.remove(position);
        membership.voters.push(member);
        self.propose_membership(membership, out)
    }

    /// Removes a voter or learner.
    ///
    /// # Errors
    /// See [`ChangeError`].
    pub fn remove(
        &mut self,
        id: ReplicaId,
        out: &mut Vec<Output>,
    ) -> Result<ChangeOutcome, ChangeError> {
        let mut membership = self.membership_to_change()?;
        ensure!(id != self.id, RemovesLeaderSnafu { id });
        let is_member = self.members.member_ids().any(|member| member == id);
        if !is_member {
            return self.already_done();
        }
        membership.voters.retain(|member| member.id != id);
        membership.learners.retain(|member| member.id != id);
        self.propose_membership(membership, out)
    }

    /// Returns the newest membership, which a change starts from, if this leader has applied an
    /// entry of its own term.
    fn membership_to_change(&self) -> Result<Membership, ChangeError> {
        self.check_may_propose().context(ProposeSnafu)?;
        ensure!(self.has_applied_own_term(), LeaderNotReadySnafu);
        Ok(self.members.current().clone())
    }

    /// Returns `AlreadyDone` if the newest membership, which already includes the change, is
    /// committed.
    fn already_done(&self) -> Result<ChangeOutcome, ChangeError> {
        self.check_committed(self.members.last_change())?;
        Ok(ChangeOutcome::AlreadyDone)
    }

    /// Checks that the change at `index` is committed.
    fn check_committed(&self, index: LogIndex) -> Result<(), ChangeError> {
        ensure!(index <= self.commit_index, ChangeInProgressSnafu { index });
        Ok(())
    }

    /// Checks that a change of the voters starts from a committed set of voters, so that quorums
    /// before and after the change overlap.
    fn check_voters(&self, membership: &Membership) -> Result<(), ChangeError> {
        if membership.voters == self.members.current().voters {
            return Ok(());
        }
        self.check_committed(self.members.last_change_of_voters())
    }

    fn propose_membership(
        &mut self,
        membership: Membership,
        out: &mut Vec<Output>,
    ) -> Result<ChangeOutcome, ChangeError> {
        self.check_voters(&membership)?;
        let index = LogIndex(self.log.last_index().0 + 1);
        let term = self.term;
        let entry = Entry::membership(index, term, &membership).context(CodecSnafu)?;
        self.log.append(entry);
        self.membership_appended(index, membership, out);
        self.update_progress();
        Ok(ChangeOutcome::Proposed { index, term })
    }

    /// Starts tracking new members, which are sent the log from its beginning, and stops tracking
    /// removed members.
    fn update_progress(&mut self) {
        let others: Vec<ReplicaId> = self
            .members
            .member_ids()
            .filter(|id| *id != self.id)
            .collect();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.progress.retain(|id, _| others.contains(id));
        for id in others {
            leader
                .progress
                .entry(id)
                .or_insert_with(|| Progress::new(LogIndex(1)));
        }
    }
}
