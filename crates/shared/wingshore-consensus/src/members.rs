//! The membership as of each log index, and quorums.

use std::collections::VecDeque;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::{LogIndex, ReplicaId};

/// Members holds the memberships by the index of the entry that set them. The newest one is in
/// effect, committed or not.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members {
    base: Membership,
    changes: VecDeque<(LogIndex, Membership)>,
}

impl Members {
    /// Returns a history that starts with a snapshot's membership.
    pub(crate) fn new(base: Membership) -> Self {
        Self {
            base,
            changes: VecDeque::new(),
        }
    }

    /// Returns the newest membership.
    pub(crate) fn current(&self) -> &Membership {
        self.changes
            .back()
            .map_or(&self.base, |(_, membership)| membership)
    }

    /// Returns the membership as of `index`.
    pub(crate) fn as_of(&self, index: LogIndex) -> &Membership {
        self.changes
            .iter()
            .rev()
            .find(|(changed_at, _)| *changed_at <= index)
            .map_or(&self.base, |(_, membership)| membership)
    }

    /// Returns the index of the newest change after the base, or 0 if there is none.
    pub(crate) fn last_change(&self) -> LogIndex {
        self.changes.back().map_or(LogIndex(0), |(index, _)| *index)
    }

    /// Returns the index of the newest change of voters after the base, or 0 if there is none.
    pub(crate) fn last_change_of_voters(&self) -> LogIndex {
        let before = std::iter::once(&self.base).chain(self.changes.iter().map(|(_, made)| made));
        let changes = self.changes.iter().zip(before);
        let of_voters = changes.filter(|((_, made), before)| made.voters != before.voters);
        of_voters
            .last()
            .map_or(LogIndex(0), |((index, _), _)| *index)
    }

    /// Records a change that was appended at `index`.
    pub(crate) fn append(&mut self, index: LogIndex, membership: Membership) {
        self.changes.push_back((index, membership));
    }

    /// Removes the changes from `index` on. Returns `false` if there are none.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) -> bool {
        let before = self.changes.len();
        self.changes.retain(|(changed_at, _)| *changed_at < index);
        self.changes.len() != before
    }

    /// Makes the membership as of `index` the base.
    pub(crate) fn compact_through(&mut self, index: LogIndex) {
        while let Some((changed_at, _)) = self.changes.front() {
            if *changed_at > index {
                return;
            }
            if let Some((_, membership)) = self.changes.pop_front() {
                self.base = membership;
            }
        }
    }

    /// Returns whether `id` is a voter.
    pub(crate) fn is_voter(&self, id: ReplicaId) -> bool {
        self.current().voters.iter().any(|member| member.id == id)
    }

    /// Returns the ids of the voters.
    pub(crate) fn voter_ids(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.current().voters.iter().map(|member| member.id)
    }

    /// Returns the ids of all members.
    pub(crate) fn member_ids(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        let learners = self.current().learners.iter().map(|member| member.id);
        self.voter_ids().chain(learners)
    }

    /// Returns the highest value that a majority of the voters has reached, or `None` without
    /// voters.
    pub(crate) fn quorum_value(&self, value: impl Fn(ReplicaId) -> u64) -> Option<u64> {
        let mut values: Vec<u64> = self.voter_ids().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        let majority = values.len() / 2 + 1;
        values.get(majority - 1).copied()
    }

    /// Returns whether `holds` is true for a majority of the voters.
    pub(crate) fn is_quorum(&self, holds: impl Fn(ReplicaId) -> bool) -> bool {
        self.quorum_value(|id| u64::from(holds(id))) == Some(1)
    }
}
