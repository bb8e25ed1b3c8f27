//! What a leadership has under way: its machine, and who waits for its outcome.

use wingshore_types::machine::{ProposalTag, RequestTag};
use wingshore_types::{Epoch, Instant, ReplicaId};

/// A running leader machine.
pub(crate) struct Leading<L> {
    /// The machine.
    pub(crate) machine: L,
    /// The leadership.
    pub(crate) epoch: Epoch,
    /// When its next tick is due.
    pub(crate) next_tick: Instant,
}

/// Who waits for a log entry of this leadership to be applied.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Proposal {
    /// The leader machine.
    Machine(ProposalTag),
    /// A request about members.
    Membership(RequestTag),
}

/// A request to transfer leadership that waits for its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingTransfer {
    /// The request.
    pub(crate) tag: RequestTag,
    /// Who is to lead.
    pub(crate) target: ReplicaId,
}
