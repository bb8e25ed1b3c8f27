//! Inputs and outputs of a member.

use crate::election_events::ElectionEvent;
use crate::entry::Entry;
use crate::message::Message;
use wingshore_types::log::WriteBatch;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::snapshot_data::SnapshotState;
use wingshore_types::{LogIndex, ReplicaId};

/// Input is an event that a member handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. Required at [`crate::Raft::next_deadline`] at the latest.
    Tick,
    /// A message from another member arrived.
    Message {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// The write with this token is durable.
    Persisted {
        /// Token of the [`Output::Write`].
        token: u64,
    },
}

/// Output is an action for the host. Outputs must be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message, which may be lost, duplicated or reordered.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Make a batch durable, then pass in [`Input::Persisted`]. At most one write is pending at a
    /// time.
    Write {
        /// Identifies the write.
        token: u64,
        /// What to write.
        batch: WriteBatch,
    },
    /// Apply this committed entry.
    Apply(Entry),
    /// Replace the replicated state with that of a snapshot.
    Restore {
        /// The last entry the snapshot contains.
        index: LogIndex,
        /// The encoded replicated state.
        state: SnapshotState,
    },
    /// The term or leader known to this member has changed.
    Leadership {
        /// The current term.
        term: u64,
        /// Leader of the term, if known; this member itself if it is the leader.
        leader: Option<ReplicaId>,
    },
    /// Something happened in an election that the host logs. It requires no other action.
    Election(ElectionEvent),
    /// The newest membership in the log has changed.
    MembershipChanged(Membership),
    /// A leadership transfer was aborted before the target was asked to campaign. This member is
    /// still the leader.
    TransferAborted,
}
