//! Raft consensus as a deterministic state machine.
//!
//! [`Raft`] is one member of a group that replicates a log with the Raft algorithm (Ongaro and
//! Ousterhout, 2014; Ongaro's thesis), with pre-vote, a leader lease, learners, single-server
//! membership changes, leadership transfer and chunked snapshots. It reads no clock, performs no
//! I/O, and takes its randomness from a seeded generator in [`RaftConfig`].
//!
//! Guarantees:
//! - at most one leader per term;
//! - an entry emitted by [`Output::Apply`] stays in the log of every later leader, and all members
//!   apply the same entries in the same order;
//! - while [`Raft::holds_lease`] is true, no other member is leader, provided that no clock drifts
//!   by more than [`Timing::drift`];
//! - nothing that depends on a write is sent before that write is reported durable.

mod accessors;
mod change;
mod chunk_answers;
mod config;
mod election;
mod election_events;
mod entry;
mod follower;
mod incoming;
mod interface;
mod leader;
mod lease;
mod limits;
mod log;
mod members;
mod message;
mod outgoing;
mod persistence;
mod progress;
mod raft;
mod recovery;
mod role;
mod snapshot;
mod timing;
mod transfer;

pub use change::{ChangeError, ChangeOutcome};
pub use config::{Faults, RaftConfig};
pub use election_events::{ElectionEvent, FailedCampaign, RefusedVote, VoteRefusal};
pub use entry::{CodecError, Entry, EntryKind};
pub use interface::{Input, Output};
pub use leader::ProposeError;
pub use limits::Limits;
pub use message::{
    AppendRejection, AppendRequest, Body, HeartbeatRequest, Message, SnapshotChunk, VoteRequest,
};
pub use outgoing::SnapshotSending;
pub use raft::Raft;
pub use recovery::RecoveryError;
pub use timing::{ConfigError, Timing};
pub use transfer::TransferError;
