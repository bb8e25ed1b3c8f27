//! Roles of a member, and the state of each role.

use crate::lease::HeartbeatRounds;
use crate::progress::Progress;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// Role is the role of a member in its current term.
#[derive(Debug)]
pub(crate) enum Role {
    /// Follows the leader, or waits for an election.
    Follower,
    /// Asks whether it would be elected, without raising the term of other members.
    PreCandidate(Ballot),
    /// Requests votes.
    Candidate(Ballot),
    /// Is the leader.
    Leader(Box<LeaderState>),
}

/// Ballot collects the votes or pre-votes of one campaign.
#[derive(Debug)]
pub(crate) struct Ballot {
    /// Members that granted a vote.
    pub(crate) granted: BTreeSet<ReplicaId>,
    /// Whether the leader requested this campaign.
    pub(crate) transfer: bool,
    /// When to repeat the requests to the members that have not granted a vote.
    pub(crate) next_retry: Instant,
}

/// LeaderState is the state of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Replication progress of the other members.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Heartbeat rounds and the lease.
    pub(crate) rounds: HeartbeatRounds,
    /// Index of the first entry of this leader's term.
    pub(crate) first_index: LogIndex,
    /// The leadership transfer in progress.
    pub(crate) transfer: Option<Transfer>,
    /// Time until which a requested leadership transfer waits for outgoing snapshots.
    pub(crate) snapshot_wait_deadline: Option<Instant>,
    /// When the next heartbeat round is due.
    pub(crate) next_heartbeat: Instant,
    /// Commit indexes at the most recent heartbeat rounds.
    pub(crate) recent_commits: RecentCommits,
}

/// RecentCommits records the commit indexes at the start of the most recent heartbeat rounds.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentCommits {
    /// Rounds with the commit index at the start of each, oldest first.
    rounds: VecDeque<(u64, LogIndex)>,
}

impl RecentCommits {
    /// Number of rounds recorded. A member that has answered none of them is compared with the
    /// oldest.
    const MAX_ROUNDS: usize = 16;

    /// Records the commit index at the start of a heartbeat round.
    pub(crate) fn record(&mut self, round: u64, commit_index: LogIndex) {
        if self.rounds.len() == Self::MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back((round, commit_index));
    }

    /// Returns the commit index at the start of the round before `answered`, or `None` before the
    /// second round.
    pub(crate) fn before(&self, answered: u64) -> Option<LogIndex> {
        if self.rounds.len() < 2 {
            return None;
        }
        let mut newest_first = self.rounds.iter().rev();
        let earlier = newest_first.find(|(round, _)| *round < answered);
        earlier.or(self.rounds.front()).map(|(_, index)| *index)
    }
}

impl LeaderState {
    /// Returns the earliest deadline of the leader.
    pub(crate) fn next_deadline(&self) -> Instant {
        let deadline = self.transfer.and_then(|transfer| transfer.phase.deadline());
        deadline.map_or(self.next_heartbeat, |deadline| {
            self.next_heartbeat.min(deadline)
        })
    }
}

/// Transfer is a leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    /// The member that is to become leader.
    pub(crate) target: ReplicaId,
    /// The current phase.
    pub(crate) phase: TransferPhase,
}

/// TransferPhase is the phase of a leadership transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransferPhase {
    /// Waits for outgoing snapshots, which another leader would send again from the beginning.
    /// Proposals are accepted.
    AwaitingSnapshots,
    /// Waits until the target has the whole log. Proposals are rejected.
    CatchingUp {
        /// When the transfer is aborted.
        deadline: Instant,
    },
    /// The target was asked to campaign. Proposals are rejected.
    TimeoutNowSent {
        /// When this member steps down if no other member has become leader.
        deadline: Instant,
    },
}

impl TransferPhase {
    /// Returns the deadline of the phase. The first phase has none; it is checked at each
    /// heartbeat.
    pub(crate) fn deadline(self) -> Option<Instant> {
        match self {
            Self::AwaitingSnapshots => None,
            Self::CatchingUp { deadline } | Self::TimeoutNowSent { deadline } => Some(deadline),
        }
    }
}
