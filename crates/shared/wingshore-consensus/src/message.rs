//! Messages between members.
//!
//! Messages are encoded with `postcard`, so fields and variants must keep their order.

use crate::entry::Entry;
use serde::{Deserialize, Serialize};
use wingshore_types::LogIndex;
use wingshore_types::protocol::byte_vector;

/// Message is a message body with the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's current term.
    pub term: u64,
    /// The content.
    pub body: Body,
}

/// Body is the content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote in the term after the sender's. Changes no
    /// state.
    PreVote(VoteRequest),
    /// Answers a pre-vote request.
    PreVoteReply {
        /// The term that the candidate would campaign in.
        campaign_term: u64,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote(VoteRequest),
    /// Answers a vote request. A granted vote is durable.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader.
    Append(AppendRequest),
    /// Acknowledges that the follower's log durably matches the leader's up to `match_index`.
    AppendAccepted {
        /// The last matching index.
        match_index: LogIndex,
    },
    /// Rejects an append: the follower's log does not have the entry before those that were sent.
    AppendRejected(AppendRejection),
    /// Maintains leadership and the leader lease.
    Heartbeat(HeartbeatRequest),
    /// Answers a heartbeat. The sender grants no vote to another member until its election timeout
    /// has passed.
    HeartbeatReply {
        /// The heartbeat round that is answered; 0 informs the leader of an older term.
        round: u64,
        /// The follower's log does not have the entry that the heartbeat names.
        needs_log: bool,
    },
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Acknowledges a part of a snapshot.
    SnapshotReceived {
        /// The snapshot's index.
        index: LogIndex,
        /// Number of bytes received without a gap.
        received: u64,
    },
    /// Asks the receiver to campaign at once. The sender has released its lease.
    TimeoutNow,
}

impl Body {
    /// Returns whether only a leader sends messages of this kind.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Self::Append(_) | Self::Heartbeat(_) | Self::SnapshotChunk(_) | Self::TimeoutNow
        )
    }
}

/// VoteRequest asks for a vote or a pre-vote, and describes the candidate's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Index of the candidate's last entry.
    pub last_index: LogIndex,
    /// Term of the candidate's last entry.
    pub last_term: u64,
    /// Whether the leader requested this campaign; receivers then vote without waiting for their
    /// election timeout.
    pub transfer: bool,
}

/// AppendRequest contains consecutive log entries, and identifies the entry before them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Index of the entry before the first entry.
    pub prev_index: LogIndex,
    /// Term of that entry.
    pub prev_term: u64,
    /// The entries; may be empty.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit_index: LogIndex,
}

/// AppendRejection tells the leader where to look for the last common entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRejection {
    /// `prev_index` of the rejected append.
    pub rejected_index: LogIndex,
    /// The last index at which the logs may agree.
    pub hint_index: LogIndex,
    /// The receiver's term at `hint_index`.
    pub hint_term: u64,
    /// The receiver's last index.
    pub last_index: LogIndex,
}

/// HeartbeatRequest is a leader's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// Number of the heartbeat round within the term, from 1.
    pub round: u64,
    /// The lower of the leader's commit index and the index that the receiver has acknowledged.
    pub commit_index: LogIndex,
    /// Term of the entry at `commit_index`.
    pub commit_term: u64,
}

/// SnapshotChunk is a part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Index of the last entry that the snapshot contains.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: u64,
    /// Total size of the snapshot, in bytes.
    pub total: u64,
    /// Offset of the chunk in the snapshot, in bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    #[serde(with = "byte_vector")]
    pub data: Vec<u8>,
}
