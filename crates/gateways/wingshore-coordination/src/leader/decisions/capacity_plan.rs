//! Decides how many servers of a service are wanted in each zone.
//!
//! Inputs: the recent peak of open items, the number of items that one server runs at once, the
//! number of non-reclaimable servers in each zone, the maximum number of servers in a zone, and a
//! policy (a setting).
//!
//! Rule: under the policy `ByDemand`, as many reclaimable servers are wanted as the open items need
//! beyond the non-reclaimable ones, limited to [`MAX_EXTRA_FRACTION`] of the latter and spread
//! evenly over the zones. The number of non-reclaimable servers is never changed. No servers are
//! wanted for a service that has no reclaimable price or no registered server.
//!
//! Rationale: reclaimable servers cost a fraction of the price of the others. A provider takes back
//! all reclaimable servers of a zone at once, so they are spread over the zones.
//!
//! Stale or missing inputs: a new leader counts open items from the start of its leadership, so it
//! may want fewer servers for a while. The registry may be some seconds out of date.

use crate::ids::ServiceName;
use crate::scaling::{CapacityPool, Scaling};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// Maximum number of reclaimable servers, as a fraction of the non-reclaimable ones. Fewer items
/// per engine make each item faster, but the weight store is dimensioned for the non-reclaimable
/// servers: with more engines, each version reaches too small a share of them.
const MAX_EXTRA_FRACTION: f64 = 0.8;

/// Minimum time for which a peak of open items counts: several steps of a trainer.
pub(crate) const DEMAND_MEMORY: Duration = Duration::from_secs(15);

/// Policy for the number of servers to order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityPolicy {
    /// No orders: the existing servers are used as they are.
    Fixed,
    /// As many servers as the open items need.
    ByDemand,
    /// As many servers as each zone allows.
    Most,
}

/// Demand on a service, and its present capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CapacityDemand {
    /// Recent peak of open items.
    pub open_items: usize,
    /// Number of items that one server runs at once.
    pub slots: u32,
    /// Number of non-reclaimable servers by zone.
    pub non_reclaimable: BTreeMap<String, u32>,
}

/// Maximum of a value over the current time span and the previous one. Including the previous span
/// keeps the peak from dropping at the moment a span ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    current: usize,
    previous: usize,
    span_started_at: Instant,
}

impl Peak {
    /// Records a value and returns the maximum of the last one to two spans.
    pub fn record(&mut self, now: Instant, number: usize, span_length: Duration) -> usize {
        if now.since(self.span_started_at) >= span_length {
            self.previous = self.current;
            self.current = 0;
            self.span_started_at = now;
        }
        self.current = self.current.max(number);
        self.current.max(self.previous)
    }
}

/// Returns the number of reclaimable servers wanted in each zone.
pub fn wanted(
    service: &ServiceName,
    scaling: &Scaling,
    demand: &CapacityDemand,
    policy: CapacityPolicy,
) -> BTreeMap<CapacityPool, u32> {
    let mut wanted = BTreeMap::new();
    let has_reclaimable_price = scaling.reclaimable_price.is_some();
    if policy == CapacityPolicy::Fixed
        || demand.non_reclaimable.is_empty()
        || !has_reclaimable_price
    {
        return wanted;
    }
    let zones = u32::try_from(scaling.zone_prices.len()).unwrap_or(u32::MAX);
    let per_zone = extra_servers(demand).div_ceil(zones.max(1));
    for zone in scaling.zone_prices.keys() {
        let non_reclaimable = demand.non_reclaimable.get(zone).copied().unwrap_or(0);
        let room = scaling.max.saturating_sub(non_reclaimable);
        let pool = CapacityPool {
            service: service.clone(),
            zone: zone.clone(),
            reclaimable: true,
        };
        let count = match policy {
            CapacityPolicy::Most => room,
            CapacityPolicy::Fixed | CapacityPolicy::ByDemand => per_zone.min(room),
        };
        wanted.insert(pool, count);
    }
    wanted
}

/// Returns the number of servers that the open items need beyond the non-reclaimable ones.
fn extra_servers(demand: &CapacityDemand) -> u32 {
    let non_reclaimable: u32 = demand.non_reclaimable.values().sum();
    let needed = demand.open_items.div_ceil(demand.slots.max(1) as usize);
    let needed = u32::try_from(needed).unwrap_or(u32::MAX);
    let max_extra = (f64::from(non_reclaimable) * MAX_EXTRA_FRACTION) as u32;
    needed.saturating_sub(non_reclaimable).min(max_extra)
}
