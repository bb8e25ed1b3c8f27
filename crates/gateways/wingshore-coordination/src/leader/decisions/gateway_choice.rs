//! Decides through which gateway an item runs, and which gateway requests the score of a text.
//!
//! Inputs: for each gateway whether it has reported what it runs, whether it takes items, its zone,
//! and the number of items or scorings that this leader has assigned to it; the engine's zone and
//! the gateway that ran its last item; the slots of a scoring service's servers in each zone;
//! whether a gateway has refused the item, and which gateways refuse such items.
//!
//! Rule: an item goes through the gateway that ran the engine's last item, if that gateway takes
//! more. Otherwise it goes through the gateway with the fewest items, where gateways of other zones
//! count [`OTHER_ZONE_PENALTY`] more. An item that a gateway has refused because servers had crashed
//! under it goes through a gateway that has refused none, and waits for room there, if there is one. A
//! scoring goes to the zone with the fewest scorings per slot of its servers, and there to the first
//! gateway with fewer than [`SCORINGS_BEFORE_NEXT_GATEWAY`], else to the one with the fewest. After
//! [`SCORINGS_BEFORE_OTHER_GATEWAY`] scorings without a score the next one goes through another gateway
//! than the last. No gateway gets more than [`MAX_ITEMS_PER_GATEWAY`] items or
//! [`MAX_SCORINGS_PER_GATEWAY`] scorings.
//!
//! Rationale: gateways keep their connections to engines open. A new connection costs time, and
//! servers limit their number. Gateways of earlier builds refuse items under which servers crashed,
//! and the item is owed nevertheless. They refuse scorings in the same way, which cannot be told from a
//! refusal of the servers. Scorings run through few gateways near their servers, which keep
//! those connections in use.
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
/// Number of scorings of a gateway at which another gateway of its zone is used too, so that a step's
/// scorings do not delay the live requests of one gateway.
const SCORINGS_BEFORE_NEXT_GATEWAY: usize = 4;
/// Consecutive scorings of a text without a score after which the next one goes through another
/// gateway: servers that were merely busy have had time to be free again.
const SCORINGS_BEFORE_OTHER_GATEWAY: u32 = 4;
/// Scale of the number of scorings per slot.
const LOAD_SCALE: u64 = 1000;
/// Number of items by which a gateway in another zone than the engine must have fewer to be
/// preferred.
const OTHER_ZONE_PENALTY: usize = 4;

/// Returns whether any gateway takes a further item.
pub(crate) fn is_any_free(gateways: &Gateways) -> bool {
    gateways.iter().any(|(_, gateway)| takes_more(gateway))
}

/// Returns the gateway through which an item runs on `engine`; `None` if no gateway takes it now.
/// `was_refused` states that a gateway has refused the item because servers had crashed under it.
pub(crate) fn gateway_for_item(
    gateways: &Gateways,
    engine: Option<&Engine>,
    was_refused: bool,
) -> Option<GatewayId> {
    if was_refused && takes_refused_items(gateways) {
        let takes_item = |gateway: &Gateway| takes_more(gateway) && !gateway.refuses_crashed_items;
        return best_gateway(gateways, engine, takes_item);
    }
    best_gateway(gateways, engine, takes_more)
}

/// Returns whether a gateway may take an item that another one has refused because servers had
/// crashed under it.
pub(crate) fn takes_refused_items(gateways: &Gateways) -> bool {
    let mut all = gateways.iter();
    all.any(|(_, gateway)| is_eligible(gateway) && !gateway.refuses_crashed_items)
}

fn best_gateway(
    gateways: &Gateways,
    engine: Option<&Engine>,
    takes_item: impl Fn(&Gateway) -> bool,
) -> Option<GatewayId> {
    let connected = engine.and_then(|engine| engine.gateway);
    if let Some(connected) = connected.filter(|id| gateways.get(*id).is_some_and(&takes_item)) {
        return Some(connected);
    }
    let zone = engine.map(|engine| engine.record.zone.as_str());
    gateways
        .iter()
        .filter(|(_, gateway)| takes_item(gateway))
        .min_by_key(|(_, gateway)| {
            let is_near = zone == Some(gateway.zone.as_str());
            gateway.running + if is_near { 0 } else { OTHER_ZONE_PENALTY }
        })
        .map(|(id, _)| id)
}

/// Where scorings run, and where the servers are that score.
#[derive(Clone, Copy)]
pub(crate) struct ScoringPlaces<'a> {
    /// Number of scorings assigned to each gateway.
    pub(crate) assigned: &'a BTreeMap<GatewayId, usize>,
    /// Slots of the service's servers, by zone.
    pub(crate) slots_by_zone: &'a BTreeMap<String, u32>,
}

impl ScoringPlaces<'_> {
    fn count(self, gateway: GatewayId) -> usize {
        self.assigned.get(&gateway).copied().unwrap_or(0)
    }

    /// Returns the scorings per slot in a zone; the maximum for a zone without servers.
    fn zone_load(self, scorings: usize, zone: &str) -> u64 {
        match self.slots_by_zone.get(zone) {
            Some(slots) if *slots > 0 => scorings as u64 * LOAD_SCALE / u64::from(*slots),
            _ => u64::MAX,
        }
    }
}

/// Returns the gateway through which a scoring does not go again, after so many consecutive ones
/// without a score, the last of them at `last`; `None` if any gateway will do.
pub(crate) fn gateway_without_score(scorings_before: u32, last: GatewayId) -> Option<GatewayId> {
    (scorings_before >= SCORINGS_BEFORE_OTHER_GATEWAY).then_some(last)
}

/// Returns the gateway that requests the score of a text; `None` if no gateway takes a scoring now.
/// The gateway `avoid` is chosen only if no other takes the scoring.
pub(crate) fn gateway_for_scoring(
    gateways: &Gateways,
    places: ScoringPlaces<'_>,
    avoid: Option<GatewayId>,
) -> Option<GatewayId> {
    best_scoring_gateway(gateways, places, |gateway| Some(gateway) != avoid)
        .or_else(|| best_scoring_gateway(gateways, places, |_| true))
}

fn best_scoring_gateway(
    gateways: &Gateways,
    places: ScoringPlaces<'_>,
    may_be: impl Fn(GatewayId) -> bool,
) -> Option<GatewayId> {
    let mut scorings_by_zone: BTreeMap<&str, usize> = BTreeMap::new();
    for (id, gateway) in gateways.iter() {
        *scorings_by_zone.entry(&gateway.zone).or_default() += places.count(id);
    }
    gateways
        .iter()
        .filter(|(id, gateway)| {
            may_be(*id) && is_eligible(gateway) && places.count(*id) < MAX_SCORINGS_PER_GATEWAY
        })
        .min_by_key(|(id, gateway)| {
            let zone = gateway.zone.as_str();
            let in_zone = scorings_by_zone.get(zone).copied().unwrap_or(0);
            let count = places.count(*id);
            let excess = (count + 1).saturating_sub(SCORINGS_BEFORE_NEXT_GATEWAY);
            (places.zone_load(in_zone, zone), excess, *id)
        })
        .map(|(id, _)| id)
}

fn takes_more(gateway: &Gateway) -> bool {
    is_eligible(gateway) && gateway.running < MAX_ITEMS_PER_GATEWAY
}

fn is_eligible(gateway: &Gateway) -> bool {
    gateway.has_reported && gateway.status.takes_items
}
