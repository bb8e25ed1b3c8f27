//! The replicated record of the leadership that gives orders to engines.

use serde::{Deserialize, Serialize};
use wingshore_types::Epoch;

/// The holder that gave the latest orders to engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderHolder {
    /// Name of the holder's machine.
    pub node: String,
    /// Epoch of the leadership; the fencing token of its orders.
    pub epoch: Epoch,
}

/// The current holder, and whether only its orders can still be in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OrderState {
    pub(super) holder: Option<OrderHolder>,
    /// Whether the machine has been the holder for the duration of a handover.
    pub(super) settled: bool,
}

impl OrderState {
    /// Makes another leadership the holder.
    pub(super) fn set_holder(&mut self, holder: OrderHolder) {
        let before = self.holder.as_ref();
        // The first holder has no predecessor, and one machine counts as the same holder in all its
        // terms.
        let is_same = before.is_some_and(|before| before.node == holder.node);
        self.settled = before.is_none() || (is_same && self.settled);
        self.holder = Some(holder);
    }

    /// Marks the holder as settled if it is the one of this leadership.
    pub(super) fn mark_settled(&mut self, epoch: Epoch) {
        let holder = self.holder.as_ref();
        self.settled |= holder.is_some_and(|holder| holder.epoch == epoch);
    }
}
