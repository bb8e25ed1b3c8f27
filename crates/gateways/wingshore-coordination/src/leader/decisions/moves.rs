//! Does a running item go on at another engine, and at which?
//!
//! Inputs: the item's events so far, as its gateway reports them each 400 ms; how often it was moved;
//! the pace that one more item would have on either engine, in milliseconds an event.
//!
//! Rule: from [`MIN_EVENTS`] on an item moves where its events come [`MUCH_FASTER`] times faster, from
//! [`LONG_EVENTS`] on where they come [`WORTH_MOVING`] times faster; [`MAX_MOVES`] times at the most,
//! and only where a slot stays free. It does not go back for [`AVOIDED_FOR`].
//!
//! Why: a step waits for its longest texts, and an engine may become slow while they run. A move costs some
//! milliseconds from the order to the end of the old attempt; what was generated is carried over.
//!
//! Old or missing inputs: an item does not move where either pace is not known.

use crate::ids::{InstanceId, ModelName};
use crate::leader::tables::engines::Engines;
use crate::leader::tables::free_slots::{EngineQuery, Scan};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// A long item moves where its events come this many times faster.
const WORTH_MOVING: f64 = 1.25;
/// Where they come this many times faster, any item moves.
const MUCH_FASTER: f64 = 1.8;
/// Events after which an item counts as a long one here.
const LONG_EVENTS: u64 = 20;
/// Events after which an item may move at all.
const MIN_EVENTS: u64 = 3;
/// Most times that one item moves.
const MAX_MOVES: u32 = 2;
/// Slots that a move leaves free where it goes.
const FREE_SLOTS_LEFT: usize = 1;
/// An item does not go back to the engine that it was moved away from for this long: a slot elsewhere
/// comes sooner where there is one, and no item may stand still for long.
pub(crate) const AVOIDED_FOR: Duration = Duration::from_millis(1500);

/// A running item, as far as it matters here.
pub(crate) struct MovableItem<'a> {
    /// The engine that runs it.
    pub(crate) instance: &'a InstanceId,
    /// The model that makes its tokens.
    pub(crate) model: Option<&'a ModelName>,
    /// The oldest version that may make them.
    pub(crate) min_version: u64,
    /// Its events so far, also those of earlier attempts.
    pub(crate) events: u64,
    /// Times that it was moved.
    pub(crate) moves: u32,
}

/// The engine at which the item goes on much faster; `None` where it stays. `promised` holds the items
/// that were moved to each engine and are not there yet.
pub(crate) fn better_engine(
    now: Instant,
    item: &MovableItem<'_>,
    engines: &Engines,
    promised: &BTreeMap<InstanceId, usize>,
) -> Option<InstanceId> {
    if item.events < MIN_EVENTS || item.moves >= MAX_MOVES {
        return None;
    }
    let engine = engines.get(item.instance)?;
    let pace = engine.expected_pace()?;
    let is_long = item.events >= LONG_EVENTS;
    let gain = if is_long { WORTH_MOVING } else { MUCH_FASTER };
    let query = EngineQuery {
        service: &engine.record.service,
        model: item.model,
        min_version: item.min_version,
        scan: Scan::FastestKnown,
    };
    let better = engines.best_of_each(query, |instance, other| {
        let promised = promised.get(instance).copied().unwrap_or(0);
        other.pace.is_some()
            && other.takes(now, item.model, item.min_version)
            && other.running + promised + FREE_SLOTS_LEFT < other.slots
    });
    better
        .into_iter()
        .filter_map(|(instance, other)| Some((other.expected_pace()?, instance)))
        .filter(|(other, _)| pace > other * gain)
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, instance)| instance.clone())
}
