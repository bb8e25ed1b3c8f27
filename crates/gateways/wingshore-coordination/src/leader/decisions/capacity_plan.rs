//! How many servers of a service are wanted in each zone?
//!
//! Inputs: the most items that were open at once lately, items that one server runs at once, the servers
//! in each zone that nobody takes away, the most that a zone may have, and a policy (a setting).
//!
//! Rule: by demand, as many servers that may be taken away as the open items need beyond those that
//! stay, at most [`MAX_EXTRA_PART`] of these, the same number in each zone. Those that stay are left as
//! they are. A service without such a kind of server, or without any registered one, wants none.
//!
//! Why: servers that may be taken away cost a part of the others; all of a zone go at once, so they are
//! spread.
//!
//! Old or missing inputs: a new leader counts the open items from its own beginning, so that it may want
//! fewer for a while; the registry's servers may be some seconds old.

use crate::ids::ServiceName;
use crate::scaling::{CapacityPool, Scaling};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// The most servers that are ordered besides those that stay, as a part of these. Items run faster on
/// engines that run fewer of them, down to where the weight store, which is laid out for those that
/// stay, brings each version to too small a part of all.
const MAX_EXTRA_PART: f64 = 0.8;

/// The most items that were open at once count for this long at the least: some steps of a trainer.
pub(crate) const DEMAND_MEMORY: Duration = Duration::from_secs(15);

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
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CapacityDemand {
    /// The most items that were open at once lately.
    pub open_items: usize,
    /// Items that one server runs at once.
    pub slots: u32,
    /// Servers in each zone that nobody takes away.
    pub staying: BTreeMap<String, u32>,
}

/// The most of a number within a span of time: of the present span and the one before, so that it does
/// not fall the moment that a span ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    present: usize,
    before: usize,
    since: Instant,
}

impl Peak {
    /// Notes a number; gives the most of the last one to two spans.
    pub fn note(&mut self, now: Instant, number: usize, span: Duration) -> usize {
        if now.since(self.since) >= span {
            self.before = self.present;
            self.present = 0;
            self.since = now;
        }
        self.present = self.present.max(number);
        self.present.max(self.before)
    }
}

/// How many servers that may be taken away are wanted in each zone, besides those that stay.
pub fn wanted(
    service: &ServiceName,
    scaling: &Scaling,
    demand: &CapacityDemand,
    policy: CapacityPolicy,
) -> BTreeMap<CapacityPool, u32> {
    let mut wanted = BTreeMap::new();
    let has_kind = scaling.reclaimable_price.is_some();
    if policy == CapacityPolicy::Fixed || demand.staying.is_empty() || !has_kind {
        return wanted;
    }
    let zones = u32::try_from(scaling.zone_prices.len()).unwrap_or(u32::MAX);
    let each = extra_servers(demand).div_ceil(zones.max(1));
    for zone in scaling.zone_prices.keys() {
        let staying = demand.staying.get(zone).copied().unwrap_or(0);
        let room = scaling.max.saturating_sub(staying);
        let pool = CapacityPool {
            service: service.clone(),
            zone: zone.clone(),
            reclaimable: true,
        };
        let count = match policy {
            CapacityPolicy::Most => room,
            CapacityPolicy::Fixed | CapacityPolicy::ByDemand => each.min(room),
        };
        wanted.insert(pool, count);
    }
    wanted
}

/// Servers that what is open needs besides those that stay.
fn extra_servers(demand: &CapacityDemand) -> u32 {
    let staying: u32 = demand.staying.values().sum();
    let needed = demand.open_items.div_ceil(demand.slots.max(1) as usize);
    let needed = u32::try_from(needed).unwrap_or(u32::MAX);
    let most = (f64::from(staying) * MAX_EXTRA_PART) as u32;
    needed.saturating_sub(staying).min(most)
}
