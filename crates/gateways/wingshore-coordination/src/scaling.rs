//! Services whose number of servers can be ordered from the provider.

use crate::ids::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Limits and costs by which the number of a service's servers is chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Minimum number of servers in a zone.
    pub min: u32,
    /// Maximum number of servers in a zone, reclaimable and other servers together.
    pub max: u32,
    /// Time from an order until a new server is ready.
    pub boot: Duration,
    /// Price of a reclaimable server as a fraction of the price of another server; `None` if the
    /// service has no reclaimable servers.
    pub reclaimable_price: Option<f64>,
    /// Price of a server-second in each zone, relative to the other zones.
    pub zone_prices: BTreeMap<String, f64>,
}

/// The subject of an order: the servers of a service in one zone, of one kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CapacityPool {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: String,
    /// Whether the provider may reclaim the servers, all servers of the zone at once.
    pub reclaimable: bool,
}
