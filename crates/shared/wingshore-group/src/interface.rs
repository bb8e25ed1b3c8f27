//! Settings, inputs and outputs of a host.

use snafu::Snafu;
use std::sync::Arc;
use wingshore_consensus::{CodecError, Faults, Limits, RecoveryError, Timing};
use wingshore_types::log::WriteBatch;
use wingshore_types::machine::{LeaderMachine, RequestTag};
use wingshore_types::protocol::membership::{Membership, MembershipReply, MembershipRequest};
use wingshore_types::snapshot_spool::{MemorySpool, SnapshotSpool};
use wingshore_types::stored::StoredError;
use wingshore_types::{Epoch, LogIndex, ReplicaId};

/// Settings of one hosted group.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Who this replica is.
    pub id: ReplicaId,
    /// The founding members; set only where the data folder was formatted as one of them.
    pub bootstrap: Option<Membership>,
    /// Seeds the election timeouts; differs between members.
    pub seed: u64,
    /// Timing of elections and leases.
    pub timing: Timing,
    /// Limits of messages between members.
    pub limits: Limits,
    /// Lower bound of the log between two snapshots, in bytes: a snapshot is taken when this many were
    /// applied since the last one, or half as many as that one has, whichever is more, and up to half
    /// of that again.
    pub snapshot_every_bytes: u64,
    /// Upper bound of it, in bytes, however large the last snapshot is, and up to half of that again: a
    /// start holds the log after the snapshot.
    pub max_log_bytes: u64,
    /// Deliberate faults; all off outside tests.
    pub faults: Faults,
    /// Where snapshots are gathered while they are received.
    pub spool: Arc<dyn SnapshotSpool>,
}

impl HostConfig {
    /// Bytes of applied log between snapshots, unless set otherwise.
    const DEFAULT_SNAPSHOT_EVERY_BYTES: u64 = 8 * 1024 * 1024;

    /// Settings with the usual timing and limits.
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

/// What a host reacts to.
pub enum HostInput<L: LeaderMachine> {
    /// Time has passed; due at the latest at [`crate::Host::next_tick`].
    Tick,
    /// A message of another member.
    Consensus {
        /// The sender.
        from: ReplicaId,
        /// The message, as [`HostOutput::Send`] gave it there.
        message: Vec<u8>,
    },
    /// A client's request.
    Request {
        /// Returned with the reply; unique within this host's life.
        tag: RequestTag,
        /// What is asked.
        request: L::Request,
    },
    /// A request about the group's members.
    Membership {
        /// Returned with the reply; unique within this host's life, also among client requests.
        tag: RequestTag,
        /// What is asked.
        request: MembershipRequest,
    },
    /// The result of an effect, or news from outside; dropped unless this replica leads.
    Event(L::Event),
    /// The write with this token, and all before it, are durable.
    Persisted {
        /// Of [`HostOutput::Write`].
        token: u64,
    },
    /// Planned stop: takes no more requests, finishes what is proposed, hands leadership over,
    /// then gives [`HostOutput::Stopped`].
    Stop,
}

/// What a host asks its process to do.
pub enum HostOutput<L: LeaderMachine> {
    /// Send a message to another member. Messages may be lost, repeated and reordered.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Vec<u8>,
    },
    /// Make a batch durable, then feed [`HostInput::Persisted`]. At most one is under way.
    Write {
        /// Names the write; grows.
        token: u64,
        /// What to write.
        batch: WriteBatch,
    },
    /// Answer a request.
    Reply {
        /// Which request.
        tag: RequestTag,
        /// The answer.
        reply: HostReply<L::Reply>,
    },
    /// Do something outside the group.
    Effect(L::Effect),
    /// The members are these now; connections to them may be needed.
    MembershipChanged(Membership),
    /// Leadership as this replica sees it has changed.
    Leadership(Leadership),
    /// The planned stop is done.
    Stopped,
    /// The host cannot go on: the process must end. It ignores all later inputs.
    Failed(HostError),
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum HostReply<R> {
    /// From the leader machine.
    Reply(R),
    /// To a request about members.
    Membership(MembershipReply),
    /// Not the leader, or a leader without a lease: the request has had no effect here.
    NotLeader {
        /// The leader, when one is known.
        leader: Option<ReplicaId>,
    },
    /// Leadership or the lease was lost meanwhile: the request may or may not take effect.
    Unknown,
}

/// Leadership as one replica sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leadership {
    /// This replica leads and its leader machine runs.
    Leading {
        /// The leadership.
        epoch: Epoch,
    },
    /// Another replica leads, or none is known to.
    Following {
        /// The leader, when one is known.
        leader: Option<ReplicaId>,
    },
}

/// Why a host cannot start or go on.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum HostError {
    /// A setting does not fit, or what storage recovered cannot be used.
    #[snafu(display("the group cannot start: {source}"))]
    Recovery {
        /// Why.
        source: RecoveryError,
    },
    /// A snapshot could not be restored.
    #[snafu(display("the snapshot at index {index} cannot be restored: {message}"))]
    Restore {
        /// The last entry it contains.
        index: LogIndex,
        /// What is wrong.
        message: String,
    },
    /// A committed command is not of a format this program knows.
    #[snafu(display("the committed command at index {index} cannot be decoded: {source}"))]
    Command {
        /// The entry.
        index: LogIndex,
        /// What is wrong with it.
        source: StoredError,
    },
    /// A message or a command could not be encoded.
    #[snafu(display("encoding failed: {source}"), context(false))]
    Encode {
        /// From the codec.
        source: postcard::Error,
    },
    /// The hard state or a snapshot could not be encoded.
    #[snafu(display("{source}"), context(false))]
    Codec {
        /// Why.
        source: CodecError,
    },
}
