//! State of a leadership: the leader machine, and the proposals and transfers that are in progress.

use wingshore_types::machine::{ProposalTag, RequestTag};
use wingshore_types::{Epoch, Instant, ReplicaId};

/// A running leader machine.
pub(crate) struct ActiveLeader<L> {
    /// The machine.
    pub(crate) machine: L,
    /// Epoch of the leadership.
    pub(crate) epoch: Epoch,
    /// Time at which the machine's next tick is due.
    pub(crate) next_tick: Instant,
}

/// Origin of a log entry proposed during this leadership, which receives the result once the entry
/// is applied.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Proposal {
    /// The leader machine.
    Machine(ProposalTag),
    /// A membership request.
    Membership(RequestTag),
}

/// A request to transfer leadership whose transfer has not ended yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingTransfer {
    /// Tag of the request.
    pub(crate) tag: RequestTag,
    /// The replica that is to become leader.
    pub(crate) target: ReplicaId,
}
