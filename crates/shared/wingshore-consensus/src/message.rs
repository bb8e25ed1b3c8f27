//! Messages between members.
//!
//! They travel as `postcard` values: fields and variants keep their order for good.

use crate::entry::Entry;
use serde::{Deserialize, Serialize};
use wingshore_types::LogIndex;
use wingshore_types::protocol::byte_vector;

/// A message and the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's current term.
    pub term: u64,
    /// Its content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted in the term after the sender's. Changes nothing.
    PreVote(VoteRequest),
    /// Answers a pre-vote.
    PreVoteReply {
        /// The term that would be campaigned in.
        campaign_term: u64,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote(VoteRequest),
    /// Answers a vote request; a granted vote is durable.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader.
    Append(AppendRequest),
    /// The receiver's log matches the leader's, durably, up to here.
    AppendAccepted {
        /// The last such index.
        match_index: LogIndex,
    },
    /// The receiver's log does not have the leader's previous entry.
    AppendRejected(AppendRejection),
    /// Keeps leadership and its lease.
    Heartbeat(HeartbeatRequest),
    /// Answers a heartbeat: the sender will not vote for another until its election timeout.
    HeartbeatReply {
        /// The round answered; 0 answers a leader of an older term.
        round: u64,
        /// The log does not have the entry that the heartbeat named.
        needs_log: bool,
    },
    /// Part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// How much of a snapshot has come.
    SnapshotReceived {
        /// The snapshot's index.
        index: LogIndex,
        /// Bytes received without gap.
        received: u64,
    },
    /// Asks the receiver to campaign at once; the sender has released its lease.
    TimeoutNow,
}

impl Body {
    /// Whether only a leader sends it.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Self::Append(_) | Self::Heartbeat(_) | Self::SnapshotChunk(_) | Self::TimeoutNow
        )
    }
}

/// A candidate's claim to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Index of the candidate's last entry.
    pub last_index: LogIndex,
    /// Term of the candidate's last entry.
    pub last_term: u64,
    /// The leader handed over: receivers need not wait for it to fall silent.
    pub transfer: bool,
}

/// Entries that follow one that the receiver should have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Index of the entry before the first one sent.
    pub prev_index: LogIndex,
    /// Its term.
    pub prev_term: u64,
    /// The entries; none in a probe.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit_index: LogIndex,
}

/// Where to look for the last entry in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRejection {
    /// `prev_index` of the rejected append.
    pub rejected_index: LogIndex,
    /// The last index at which the logs may agree.
    pub hint_index: LogIndex,
    /// The receiver's term there.
    pub hint_term: u64,
    /// The receiver's last index.
    pub last_index: LogIndex,
}

/// A heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// Numbered within the term, from 1.
    pub round: u64,
    /// The lower one of the leader's commit index and what the receiver acknowledged.
    pub commit_index: LogIndex,
    /// Term of the entry there.
    pub commit_term: u64,
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The last entry the snapshot contains.
    pub index: LogIndex,
    /// Its term.
    pub term: u64,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// Where the part begins.
    pub offset: u64,
    /// The part.
    #[serde(with = "byte_vector")]
    pub data: Vec<u8>,
}
