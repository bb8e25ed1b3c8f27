//! Inputs and outputs of a member.

use crate::entry::Entry;
use crate::message::Message;
use wingshore_types::log::WriteBatch;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::snapshot_data::SnapshotState;
use wingshore_types::{LogIndex, ReplicaId};

/// What a member reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed; due at the latest at [`crate::Raft::next_deadline`].
    Tick,
    /// A message of another member.
    Message {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// The write with this token is durable.
    Persisted {
        /// Of [`Output::Write`].
        token: u64,
    },
}

/// What a member asks its host to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message; it may be lost, repeated or overtaken.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Make a batch durable, then feed [`Input::Persisted`]. At most one is under way.
    Write {
        /// Names the write.
        token: u64,
        /// What to write.
        batch: WriteBatch,
    },
    /// The entry is committed: apply it.
    Apply(Entry),
    /// Replace the replicated state by a snapshot's.
    Restore {
        /// The last entry the snapshot contains.
        index: LogIndex,
        /// The replicated state, as it encoded itself.
        state: SnapshotState,
    },
    /// Leadership as this member sees it has changed.
    Leadership {
        /// The current term.
        term: u64,
        /// Its leader, when known; this member itself when it leads.
        leader: Option<ReplicaId>,
    },
    /// The newest membership in the log has changed.
    MembershipChanged(Membership),
    /// A leadership transfer was given up before the receiver was asked to campaign; this member still
    /// leads.
    TransferAborted,
}
