//! What the leader knows of servers ordered besides what is durable.

use crate::ids::ServiceName;
use crate::leader::decisions::capacity_orders::PoolOrder;
use crate::leader::decisions::capacity_plan::Peak;
use crate::scaling::CapacityPool;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::Instant;

/// What the leader knows of servers ordered besides what is durable.
#[derive(Default)]
pub(crate) struct Capacity {
    pub(crate) orders: BTreeMap<CapacityPool, PoolOrder>,
    /// When it was last scanned what is wanted; `None` where that is to be done at once.
    pub(crate) scanned_at: Option<Instant>,
    /// Pools whose number is being committed.
    pub(crate) proposed: BTreeSet<CapacityPool>,
    /// Items that were open at once lately, by the service that runs them.
    pub(crate) open_items: BTreeMap<ServiceName, Peak>,
}
