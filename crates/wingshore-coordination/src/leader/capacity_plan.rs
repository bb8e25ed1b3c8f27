//! How many servers of a service are wanted in each zone. A decision without I/O.

use crate::ids::ServiceName;
use crate::scaling::{CapacityPool, Scaling};
use std::collections::BTreeMap;

/// How the number of servers is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityPolicy {
    /// No orders: the servers that are there.
    Fixed,
    /// As many as what is open needs.
    ByDemand,
    /// As many as can be had.
    Most,
}

/// What is asked of a service, and what it has.
#[derive(Clone, Debug, Default)]
pub struct PoolDemand {
    /// The most items that were open at once lately.
    pub open_items: usize,
    /// Items that one server runs at once.
    pub slots: u32,
    /// Servers in each zone that nobody takes away.
    pub present: BTreeMap<String, u32>,
    /// What was ordered so far.
    pub ordered: BTreeMap<CapacityPool, u32>,
}

/// The numbers that are wanted. More servers are taken of those that may be taken away, where there are
/// any: they cost a part of the others. Those that stay are then left as they are.
pub fn wanted(
    service: &ServiceName,
    scaling: &Scaling,
    demand: &PoolDemand,
    policy: CapacityPolicy,
) -> BTreeMap<CapacityPool, u32> {
    let mut wanted = BTreeMap::new();
    if policy == CapacityPolicy::Fixed || demand.present.is_empty() {
        return wanted;
    }
    let staying: u32 = demand.present.values().sum();
    let needed = servers_for(demand.open_items, demand.slots);
    let missing = needed.saturating_sub(staying);
    let zones = u32::try_from(scaling.zone_prices.len()).unwrap_or(1).max(1);
    let each = missing.div_ceil(zones);
    for zone in scaling.zone_prices.keys() {
        let pool = |reclaimable| CapacityPool {
            service: service.clone(),
            zone: zone.clone(),
            reclaimable,
        };
        let present = demand.present.get(zone).copied().unwrap_or(0);
        let kept = demand.ordered.get(&pool(false)).copied().unwrap_or(present);
        let room = scaling.max.saturating_sub(kept);
        let more = match policy {
            CapacityPolicy::Most => room,
            _ => each.min(room),
        };
        if scaling.reclaimable_price.is_some() {
            wanted.insert(pool(true), more);
        } else {
            wanted.insert(pool(false), kept + more);
        }
    }
    wanted
}

/// Servers that take so many items at once.
fn servers_for(items: usize, slots: u32) -> u32 {
    let servers = items.div_ceil(slots.max(1) as usize);
    u32::try_from(servers).unwrap_or(u32::MAX)
}
