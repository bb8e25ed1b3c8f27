//! Through which gateway does an item run, and which gateway asks for the score of a text?
//!
//! Inputs: of each gateway whether it has reported what it runs, whether it takes items, its zone, and
//! how many items or scorings it has by this leader's word; the engine's zone and the gateway that ran
//! its last item.
//!
//! Rule: an item goes through the gateway that ran the engine's last one, while that takes more; else
//! through the one with fewest items, those of other zones counting [`OTHER_ZONE_ITEMS`] more. A scoring
//! goes to the gateway with fewest. No gateway gets more than [`MAX_ITEMS_OF_A_GATEWAY`] items or
//! [`MAX_SCORINGS_OF_A_GATEWAY`] scorings.
//!
//! Why: a connection to an engine is kept; a new one costs time, and servers limit them.
//!
//! Old or missing inputs: a gateway gets nothing before it has reported what it runs; one whose status
//! is old refuses, and the item is placed again.

use crate::ids::GatewayId;
use crate::leader::tables::engine::Engine;
use crate::leader::tables::gateways::{Gateway, Gateways};
use std::collections::BTreeMap;

/// Most items that one gateway runs at once.
const MAX_ITEMS_OF_A_GATEWAY: usize = 96;
/// Most scorings that one gateway has in hand by this leader's word.
const MAX_SCORINGS_OF_A_GATEWAY: usize = 256;
/// Items by which a gateway in another zone than the engine must have less work.
const OTHER_ZONE_ITEMS: usize = 4;

/// The gateway through which an item runs on `engine`; `None` where none takes it now.
pub(crate) fn gateway_for_item(gateways: &Gateways, engine: Option<&Engine>) -> Option<GatewayId> {
    let takes_more =
        |gateway: &Gateway| is_in_use(gateway) && gateway.running < MAX_ITEMS_OF_A_GATEWAY;
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
            gateway.running + if is_near { 0 } else { OTHER_ZONE_ITEMS }
        })
        .map(|(id, _)| id)
}

/// The gateway that asks for the score of a text; `None` where none takes one now. `in_hand` holds the
/// scorings of each.
pub(crate) fn gateway_for_scoring(
    gateways: &Gateways,
    in_hand: &BTreeMap<GatewayId, usize>,
) -> Option<GatewayId> {
    gateways
        .iter()
        .filter(|(_, gateway)| is_in_use(gateway))
        .map(|(id, _)| (in_hand.get(&id).copied().unwrap_or(0), id))
        .filter(|(count, _)| *count < MAX_SCORINGS_OF_A_GATEWAY)
        .min()
        .map(|(_, id)| id)
}

fn is_in_use(gateway: &Gateway) -> bool {
    gateway.introduced && gateway.status.takes_items
}
