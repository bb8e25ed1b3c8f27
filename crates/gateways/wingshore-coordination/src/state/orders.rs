//! Who gives orders to engines, as the group holds it.

use serde::{Deserialize, Serialize};
use wingshore_types::Epoch;

/// Who gave the last orders to engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderHolder {
    /// Name of its machine.
    pub node: String,
    /// Its leadership; the fence of its orders.
    pub epoch: Epoch,
}

/// The machine that gives orders, and whether it is the only one whose orders can be under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OrderState {
    pub(super) holder: Option<OrderHolder>,
    /// Whether the holder has held the orders for the time of a handover.
    pub(super) settled: bool,
}

impl OrderState {
    /// Another leadership gives orders from here on.
    pub(super) fn set_holder(&mut self, holder: OrderHolder) {
        let before = self.holder.as_ref();
        // The first holder follows no other one, and one machine is one holder over all its terms.
        let is_same = before.is_some_and(|before| before.node == holder.node);
        self.settled = before.is_none() || (is_same && self.settled);
        self.holder = Some(holder);
    }

    /// The holder of this leadership has held the orders for the time of a handover.
    pub(super) fn mark_settled(&mut self, epoch: Epoch) {
        let holder = self.holder.as_ref();
        self.settled |= holder.is_some_and(|holder| holder.epoch == epoch);
    }
}
