//! Services whose number of servers can be ordered from the provider.

use crate::ids::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How the number of a service's servers can be chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Minimal number of servers in a zone.
    pub min: u32,
    /// Maximal number of servers in a zone, of both kinds together.
    pub max: u32,
    /// Time from an order until a new server serves.
    pub boot: Duration,
    /// What a server that may be taken away costs, as a part of another one's cost; `None` where
    /// there are none.
    pub reclaimable_price: Option<f64>,
    /// What a second of a server costs in each zone, in relation to the others.
    pub zone_prices: BTreeMap<String, f64>,
}

/// What one order is about: the servers of a service in one zone, of one kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CapacityPool {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: String,
    /// Whether the provider may take its servers away, all of the zone at once.
    pub reclaimable: bool,
}
