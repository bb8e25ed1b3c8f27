//! What a member does in its term, and what it knows for that.

use crate::lease::HeartbeatRounds;
use crate::progress::Progress;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// What a member does in its term.
#[derive(Debug)]
pub(crate) enum Role {
    /// Follows the leader, or waits for one.
    Follower,
    /// Asks whether it would be elected, before it disturbs anyone.
    PreCandidate(Ballot),
    /// Asks for votes.
    Candidate(Ballot),
    /// Leads.
    Leader(Box<LeaderState>),
}

/// The votes, or pre-votes, of one campaign.
#[derive(Debug)]
pub(crate) struct Ballot {
    /// Who granted.
    pub(crate) granted: BTreeSet<ReplicaId>,
    /// The leader handed over.
    pub(crate) transfer: bool,
    /// When to ask those again who have not granted.
    pub(crate) next_retry: Instant,
}

/// What only a leader has.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// The other members.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Heartbeat rounds and the lease.
    pub(crate) rounds: HeartbeatRounds,
    /// Index of the first entry of this leadership.
    pub(crate) first_index: LogIndex,
    /// The leadership transfer under way.
    pub(crate) transfer: Option<Transfer>,
    /// Until when a hand-over that was asked for waits for states that are being sent.
    pub(crate) snapshot_wait_deadline: Option<Instant>,
    /// When the next heartbeat round is due.
    pub(crate) next_heartbeat: Instant,
    /// What was committed at the last heartbeats.
    pub(crate) recent_commits: RecentCommits,
}

/// What was committed when the last heartbeat rounds began.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentCommits {
    /// Rounds and what was committed at the begin of each, oldest first.
    rounds: VecDeque<(u64, LogIndex)>,
}

impl RecentCommits {
    /// Rounds that are remembered; a member that has answered none of them is compared with the oldest.
    const MAX_ROUNDS: usize = 16;

    /// A heartbeat round begins.
    pub(crate) fn record(&mut self, round: u64, commit_index: LogIndex) {
        if self.rounds.len() == Self::MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back((round, commit_index));
    }

    /// What was committed one round before `answered` began; `None` before the second round.
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
    /// When something is to be done at the latest.
    pub(crate) fn next_deadline(&self) -> Instant {
        let deadline = self.transfer.and_then(|transfer| transfer.phase.deadline());
        deadline.map_or(self.next_heartbeat, |deadline| {
            self.next_heartbeat.min(deadline)
        })
    }
}

/// A leadership transfer under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    /// The receiver.
    pub(crate) target: ReplicaId,
    /// How far it is.
    pub(crate) phase: TransferPhase,
}

/// How far a leadership transfer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransferPhase {
    /// States are being sent that another leader would send anew. Proposals are taken.
    AwaitingSnapshots,
    /// The receiver lacks some of the log. No proposals are taken.
    CatchingUp {
        /// When the transfer is given up.
        deadline: Instant,
    },
    /// The receiver was asked to campaign. No proposals are taken.
    TimeoutNowSent {
        /// When this member steps down without another leader.
        deadline: Instant,
    },
}

impl TransferPhase {
    /// When the phase ends at the latest; the first one ends with a heartbeat.
    pub(crate) fn deadline(self) -> Option<Instant> {
        match self {
            Self::AwaitingSnapshots => None,
            Self::CatchingUp { deadline } | Self::TimeoutNowSent { deadline } => Some(deadline),
        }
    }
}
