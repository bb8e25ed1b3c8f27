//! When may a leader change the membership, and how?
//!
//! One voter at a time, and only once the change of voters before is committed, under a leader that has
//! applied an entry of its own term: then each quorum before the change shares a member with each quorum
//! after it. A learner belongs to no quorum, so that it is taken in, or removed, without waiting for another
//! change: one that lacks the state is sent it at once. A learner becomes a voter once it holds durably
//! what was committed before a heartbeat that it has answered, and the newest change of members, so that
//! it lacks little of the log and knows itself for a voter. The leader cannot remove itself; it transfers
//! leadership first. A refused change appends nothing.

use crate::entry::{CodecError, Entry};
use crate::interface::Output;
use crate::leader::ProposeError;
use crate::progress::Progress;
use crate::raft::Raft;
use crate::role::Role;
use snafu::{ResultExt, Snafu, ensure};
use wingshore_types::protocol::membership::{Member, Membership};
use wingshore_types::{LogIndex, ReplicaId};

/// Why a membership change is refused. Nothing was appended.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// This member cannot propose.
    #[snafu(display("{source}"))]
    Propose {
        /// Why.
        source: ProposeError,
    },
    /// The leader has not committed an entry of its term yet.
    #[snafu(display("the leader has not committed an entry of its term yet; try again"))]
    LeaderNotReady,
    /// An earlier change is not committed yet: one of voters, or this very one.
    #[snafu(display("the change at index {index} is not committed yet; one change at a time"))]
    ChangeInProgress {
        /// Index of the earlier change.
        index: LogIndex,
    },
    /// The identity or the address is taken.
    #[snafu(display(
        "member {} at {} has the same identity or address; remove it first",
        existing.id,
        existing.address
    ))]
    MemberConflict {
        /// The member that has it.
        existing: Member,
    },
    /// Not a learner.
    #[snafu(display("{id} is not a learner; only learners can be promoted"))]
    NotALearner {
        /// The identity.
        id: ReplicaId,
    },
    /// The learner has not caught up.
    #[snafu(display(
        "learner {id} has synced the log through {synced}; it can be promoted from {needed} on"
    ))]
    NotCaughtUp {
        /// The learner.
        id: ReplicaId,
        /// How far it has come.
        synced: LogIndex,
        /// How far it must have come.
        needed: LogIndex,
    },
    /// The leader cannot remove itself.
    #[snafu(display("{id} leads; transfer leadership first, then remove it"))]
    RemovesLeader {
        /// The leader.
        id: ReplicaId,
    },
    /// The membership does not encode.
    #[snafu(display("{source}"))]
    Codec {
        /// Why.
        source: CodecError,
    },
}

/// What came of an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Appended here; done when this index is applied in this term.
    Proposed {
        /// Index of the entry.
        index: LogIndex,
        /// Its term.
        term: u64,
    },
    /// The committed membership is as asked already.
    AlreadyDone,
}

impl Raft {
    /// Takes a new member in as a learner.
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
        let clash = membership
            .voters
            .iter()
            .chain(&membership.learners)
            .find(|other| other.id == member.id || other.address == member.address);
        if let Some(existing) = clash {
            let existing = existing.clone();
            return MemberConflictSnafu { existing }.fail();
        }
        membership.learners.push(member);
        self.propose_membership(membership, out)
    }

    /// Makes a learner a voter, if it has caught up.
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

    /// Removes a member.
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

    /// The membership a change may start from: the newest, under a leader that has committed an entry
    /// of its own term.
    fn membership_to_change(&self) -> Result<Membership, ChangeError> {
        self.check_may_propose().context(ProposeSnafu)?;
        ensure!(self.has_applied_own_term(), LeaderNotReadySnafu);
        Ok(self.members.current().clone())
    }

    /// The newest membership is as asked: done if it is committed.
    fn already_done(&self) -> Result<ChangeOutcome, ChangeError> {
        self.check_committed(self.members.last_change())?;
        Ok(ChangeOutcome::AlreadyDone)
    }

    /// The change at `index` is committed.
    fn check_committed(&self, index: LogIndex) -> Result<(), ChangeError> {
        ensure!(index <= self.commit_index, ChangeInProgressSnafu { index });
        Ok(())
    }

    /// Voters may be changed from a committed set only, so that quorums before and after overlap.
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

    /// Begins to follow new members, from the beginning of the log, and forgets removed ones.
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
