//! Decides whether a running item is moved to another engine, and to which one.
//!
//! Inputs: the number of the item's events, which its gateway reports every 400 ms; the number of
//! its earlier moves; the pace that one more item would have on either engine, in milliseconds per
//! event.
//!
//! Rule: from [`MIN_EVENTS`] on, an item moves if its events would come [`MIN_SPEEDUP`] times
//! faster, from [`LONG_EVENTS`] on if they would come [`MIN_LONG_ITEM_SPEEDUP`] times faster. It
//! moves [`MAX_MOVES`] times at the most, and only to an engine that keeps a free slot. It does not
//! return for [`AVOIDANCE_TIME`].
//!
//! Rationale: a training step waits for its longest texts, and an engine may become slow while they
//! run. A move takes some milliseconds from the order to the end of the old attempt; the text
//! generated so far is carried over.
//!
//! Stale or missing inputs: an item does not move if either pace is unknown.

use crate::ids::{InstanceId, ModelName};
use crate::leader::tables::engines::Engines;
use crate::leader::tables::free_slots::{EngineQuery, Scan};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// Minimum speed-up for which a long item moves.
const MIN_LONG_ITEM_SPEEDUP: f64 = 1.25;
/// Minimum speed-up for which any item moves.
const MIN_SPEEDUP: f64 = 1.8;
/// Number of events from which on an item counts as long here.
const LONG_EVENTS: u64 = 20;
/// Number of events from which on an item may move.
const MIN_EVENTS: u64 = 3;
/// Maximum number of moves of one item.
const MAX_MOVES: u32 = 2;
/// Number of slots that stay free on the target engine.
const MIN_FREE_SLOTS_LEFT: usize = 1;
/// Time for which an item does not return to the engine that it was moved away from. If there are
/// other engines, one has a free slot sooner; if there are none, the item must not wait for long.
pub(crate) const AVOIDANCE_TIME: Duration = Duration::from_millis(1500);

/// A running item, as far as it matters for a move.
pub(crate) struct MovableItem<'a> {
    /// The engine that runs it.
    pub(crate) instance: &'a InstanceId,
    /// The model that generates its tokens.
    pub(crate) model: Option<&'a ModelName>,
    /// The oldest version that may generate them.
    pub(crate) min_version: u64,
    /// Number of its events, including those of earlier attempts.
    pub(crate) events: u64,
    /// Number of its moves.
    pub(crate) moves: u32,
}

/// Returns the engine that runs the item fastest and fast enough for a move; `None` if the item
/// stays. `pending_moves` holds the number of items that were moved to each engine and have not
/// started there yet.
pub(crate) fn better_engine(
    now: Instant,
    item: &MovableItem<'_>,
    engines: &Engines,
    pending_moves: &BTreeMap<InstanceId, usize>,
) -> Option<InstanceId> {
    if item.events < MIN_EVENTS || item.moves >= MAX_MOVES {
        return None;
    }
    let engine = engines.get(item.instance)?;
    let pace = engine.expected_pace()?;
    let is_long = item.events >= LONG_EVENTS;
    let min_speedup = if is_long {
        MIN_LONG_ITEM_SPEEDUP
    } else {
        MIN_SPEEDUP
    };
    let query = EngineQuery {
        service: &engine.record.service,
        model: item.model,
        min_version: item.min_version,
        scan: Scan::FastestKnown,
    };
    let better = engines.fastest_candidates(query, |instance, other| {
        let pending_moves = pending_moves.get(instance).copied().unwrap_or(0);
        other.pace.known().is_some()
            && other.takes(now, item.model, item.min_version)
            && other.running + pending_moves + MIN_FREE_SLOTS_LEFT < other.slots
    });
    better
        .into_iter()
        .filter_map(|(instance, other)| Some((other.expected_pace()?, instance)))
        .filter(|(other, _)| pace > other * min_speedup)
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, instance)| instance.clone())
}
