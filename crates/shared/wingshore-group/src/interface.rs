//! Settings, inputs and outputs of a host.

use snafu::Snafu;
use std::sync::Arc;
use wingshore_consensus::{CodecError, ElectionEvent, Faults, Limits, RecoveryError, Timing};
use wingshore_types::log::WriteBatch;
use wingshore_types::machine::{LeaderMachine, RequestTag};
use wingshore_types::protocol::membership::{Membership, MembershipReply, MembershipRequest};
use wingshore_types::snapshot_spool::{MemorySpool, SnapshotSpool};
use wingshore_types::stored::StoredError;
use wingshore_types::{Epoch, LogIndex, ReplicaId};

/// Settings of one hosted group.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Id of this replica.
    pub id: ReplicaId,
    /// The founding members. Set only if the data folder was formatted for one of them.
    pub bootstrap: Option<Membership>,
    /// Seed of the random election timeouts and snapshot intervals; differs between members.
    pub seed: u64,
    /// Timing of elections and leases.
    pub timing: Timing,
    /// Limits of messages between members.
    pub limits: Limits,
    /// Lower bound of the log between two snapshots, in bytes. A snapshot is due once the log
    /// applied since the last one reaches this bound or half the size of the last snapshot,
    /// whichever is larger, plus a random extra of up to half of that.
    pub snapshot_every_bytes: u64,
    /// Upper bound of the log between two snapshots, in bytes, regardless of the size of the last
    /// snapshot; the random extra of up to half is added to it. It limits the log that a replica
    /// holds when it starts.
    pub max_log_bytes: u64,
    /// Faults injected by tests; all off in production.
    pub faults: Faults,
    /// Storage for snapshots while they are being received.
    pub spool: Arc<dyn SnapshotSpool>,
}

impl HostConfig {
    /// Default lower bound of the log between two snapshots.
    const DEFAULT_SNAPSHOT_EVERY_BYTES: u64 = 8 * 1024 * 1024;

    /// Returns settings with the default timing and limits.
    pub fn new(id: ReplicaId, bootstrap: Option<Membership>, seed: u64) -> Self {
        Self {
            id,
            bootstrap,
            seed,
            timing: Timing::default(),
            limits: Limits::default(),
            snapshot_every_bytes: Self::DEFAULT_SNAPSHOT_EVERY_BYTES,
            max_log_bytes: u64::MAX,
            faults: Faults::default(),
            spool: Arc::new(MemorySpool),
        }
    }
}

/// An input of a [`crate::Host`].
pub enum HostInput<L: LeaderMachine> {
    /// Time has passed. Must be fed no later than [`crate::Host::next_tick`].
    Tick,
    /// A message from another member.
    Consensus {
        /// The sender.
        from: ReplicaId,
        /// The encoded message, as [`HostOutput::Send`] produced it at the sender.
        message: Vec<u8>,
    },
    /// A client's request.
    Request {
        /// Returned with the reply; unique for the lifetime of this host.
        tag: RequestTag,
        /// The request.
        request: L::Request,
    },
    /// A membership request.
    Membership {
        /// Returned with the reply; unique for the lifetime of this host, also among the tags of
        /// client requests.
        tag: RequestTag,
        /// The request.
        request: MembershipRequest,
    },
    /// The result of an effect, or an external event. Dropped unless this replica leads.
    Event(L::Event),
    /// The write with this token and all earlier writes are durable.
    Persisted {
        /// Token of the [`HostOutput::Write`].
        token: u64,
    },
    /// Planned stop: the host refuses new requests, completes its proposals, hands leadership
    /// over and then emits [`HostOutput::Stopped`].
    Stop,
}

/// An action that a [`crate::Host`] requests from its process.
pub enum HostOutput<L: LeaderMachine> {
    /// Send a message to another member. Messages may be lost, duplicated and reordered.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Make a batch durable, then feed [`HostInput::Persisted`]. At most one write is in progress.
    Write {
        /// Identifies the write; increases with every write.
        token: u64,
        /// The data to write.
        batch: WriteBatch,
    },
    /// Answer a request.
    Reply {
        /// Tag of the request.
        tag: RequestTag,
        /// The answer.
        reply: HostReply<L::Reply>,
    },
    /// Execute an effect outside the group.
    Effect(L::Effect),
    /// The membership has changed to this one; connections to new members may be needed.
    MembershipChanged(Membership),
    /// Something happened in an election, to be logged.
    Election(ElectionEvent),
    /// Leadership as this replica sees it has changed.
    Leadership(Leadership),
    /// The planned stop is complete.
    Stopped,
    /// The host has failed and ignores all later inputs; the process must exit.
    Failed(HostError),
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum HostReply<R> {
    /// The reply of the leader machine.
    Reply(R),
    /// The reply to a membership request.
    Membership(MembershipReply),
    /// This replica is not the leader, or leads without a lease. The request has had no effect
    /// here.
    NotLeader {
        /// The leader, when one is known.
        leader: Option<ReplicaId>,
    },
    /// Leadership or the lease was lost before the reply: the request may or may not take effect.
    Unknown,
}

/// Leadership as one replica sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leadership {
    /// This replica leads and its leader machine runs.
    Leading {
        /// Epoch of this leadership.
        epoch: Epoch,
    },
    /// Another replica leads, or no leader is known.
    Following {
        /// The leader, when one is known.
        leader: Option<ReplicaId>,
    },
}

/// Reason why a host cannot start or has failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum HostError {
    /// A setting is invalid, or the log recovered from storage cannot be used.
    #[snafu(display("the group cannot start: {source}"))]
    Recovery {
        /// Cause.
        source: RecoveryError,
    },
    /// A snapshot could not be restored.
    #[snafu(display("the snapshot at index {index} cannot be restored: {message}"))]
    Restore {
        /// Index of the last entry that the snapshot contains.
        index: LogIndex,
        /// Description of the error.
        message: String,
    },
    /// A committed command has a format that this build does not support.
    #[snafu(display("the committed command at index {index} cannot be decoded: {source}"))]
    Command {
        /// Index of the entry.
        index: LogIndex,
        /// Cause.
        source: StoredError,
    },
    /// A message or a command could not be encoded.
    #[snafu(display("encoding failed: {source}"), context(false))]
    Encode {
        /// Cause.
        source: postcard::Error,
    },
    /// The hard state or a snapshot could not be encoded.
    #[snafu(display("{source}"), context(false))]
    Codec {
        /// Cause.
        source: CodecError,
    },
}
