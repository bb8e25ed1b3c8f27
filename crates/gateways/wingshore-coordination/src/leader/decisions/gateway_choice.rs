//! Decides through which gateway an item runs, and which gateway requests the score of a text.
//!
//! Inputs: for each gateway whether it has reported what it runs, whether it takes items, its zone,
//! and the number of items or scorings that this leader has assigned to it; the engine's zone and
//! the gateway that ran its last item.
//!
//! Rule: an item goes through the gateway that ran the engine's last item, if that gateway takes
//! more. Otherwise it goes through the gateway with the fewest items, where gateways of other zones
//! count [`OTHER_ZONE_PENALTY`] more. A scoring goes to the gateway with the fewest scorings. No
//! gateway gets more than [`MAX_ITEMS_PER_GATEWAY`] items or [`MAX_SCORINGS_PER_GATEWAY`] scorings.
//!
//! Rationale: gateways keep their connections to engines open. A new connection costs time, and
//! servers limit their number.
//!
//! Stale or missing inputs: a gateway gets nothing before it has reported what it runs. A gateway
//! whose status is out of date refuses the item, which is then placed again.

use crate::ids::GatewayId;
use crate::leader::tables::engine::Engine;
use crate::leader::tables::gateways::{Gateway, Gateways};
use std::collections::BTreeMap;

/// Maximum number of items that one gateway runs at once.
const MAX_ITEMS_PER_GATEWAY: usize = 96;
/// Maximum number of scorings assigned to one gateway at once.
const MAX_SCORINGS_PER_GATEWAY: usize = 256;
/// Number of items by which a gateway in another zone than the engine must have fewer to be
/// preferred.
const OTHER_ZONE_PENALTY: usize = 4;

/// Returns whether any gateway takes a further item.
pub(crate) fn is_any_free(gateways: &Gateways) -> bool {
    gateways.iter().any(|(_, gateway)| takes_more(gateway))
}

/// Returns the gateway through which an item runs on `engine`; `None` if no gateway takes it now.
pub(crate) fn gateway_for_item(gateways: &Gateways, engine: Option<&Engine>) -> Option<GatewayId> {
    let connected = engine.and_then(|engine| engine.gateway);
    if let Some(connected) = connected.filter(|id| gateways.get(*id).is_some_and(takes_more)) {
        return Some(connected);
    }
    let zone = engine.map(|engine| engine.record.zone.as_str());
    gateways
        .iter()
        .filter(|(_, gateway)| takes_more(gateway))
        .min_by_key(|(_, gateway)| {
            let is_near = zone == Some(gateway.zone.as_str());
            gateway.running + if is_near { 0 } else { OTHER_ZONE_PENALTY }
        })
        .map(|(id, _)| id)
}

/// Returns the gateway that requests the score of a text; `None` if no gateway takes a scoring now.
/// `assigned_scorings` holds the number of scorings assigned to each gateway.
pub(crate) fn gateway_for_scoring(
    gateways: &Gateways,
    assigned_scorings: &BTreeMap<GatewayId, usize>,
) -> Option<GatewayId> {
    gateways
        .iter()
        .filter(|(_, gateway)| is_eligible(gateway))
        .map(|(id, _)| (assigned_scorings.get(&id).copied().unwrap_or(0), id))
        .filter(|(count, _)| *count < MAX_SCORINGS_PER_GATEWAY)
        .min()
        .map(|(_, id)| id)
}

fn takes_more(gateway: &Gateway) -> bool {
    is_eligible(gateway) && gateway.running < MAX_ITEMS_PER_GATEWAY
}

fn is_eligible(gateway: &Gateway) -> bool {
    gateway.has_reported && gateway.status.takes_items
}
