//! The leader's table of server orders.

use crate::ids::ServiceName;
use crate::leader::decisions::capacity_orders::PoolOrder;
use crate::leader::decisions::capacity_plan::Peak;
use crate::scaling::CapacityPool;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::Instant;

/// State of server orders that is not in the replicated state.
#[derive(Default)]
pub(crate) struct Capacity {
    pub(crate) orders: BTreeMap<CapacityPool, PoolOrder>,
    /// Time of the last scan of the wanted numbers; `None` requests a scan at once.
    pub(crate) scanned_at: Option<Instant>,
    /// Pools whose number is proposed and not committed yet.
    pub(crate) proposed: BTreeSet<CapacityPool>,
    /// Recent peak of open items, by the service that runs them.
    pub(crate) open_items: BTreeMap<ServiceName, Peak>,
}
