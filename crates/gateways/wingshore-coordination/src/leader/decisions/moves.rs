//! Decides whether a running item is moved to another engine, and to which one.
//!
//! Inputs: the number of further events of the item, from its estimate and its progress; the time
//! until its step can end, from the forecast of the step; the number of its earlier moves;
//! the pace that one more item would have on either engine, in milliseconds per event.
//!
//! Rule: an item moves if its step gains: it ends later than its step could by [`MIN_GAIN`], and on
//! the other engine, the cost of the move ([`MOVE_TIME`]) included, it ends earlier by
//! [`MIN_GAIN`]. It counts as long as
//! one item in ten like it is. The other engine is faster by [`MIN_SPEEDUP`]. An item moves [`MAX_MOVES`] times at
//! the most, and only to an engine that keeps a free slot. It does not return for
//! [`AVOIDANCE_TIME`].
//!
//! Rationale: a training step waits for its last groups. An engine may become slow while their texts
//! run, a text may become longer than estimated on a slow engine, or a faster engine may only now
//! have a slot; then the step gains by a move. All other items end in time where they are, and a
//! move costs a connection, a slot, and the processing of prompt and text on the new engine.
//!
//! Stale or missing inputs: an item does not move if either pace is unknown, or if there is no
//! forecast of its step.

use super::item_length::RemainingEvents;
use super::step_forecast::milliseconds;
use crate::ids::{InstanceId, ModelName};
use crate::leader::tables::engines::Engines;
use crate::leader::tables::free_slots::{EngineQuery, Scan};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// Minimum time that an item and its step gain by a move. A trainer looks for results about twice a
/// second, so it notices no smaller gain.
const MIN_GAIN: Duration = Duration::from_millis(300);
/// Time that a move takes: the old attempt ends, a connection is opened, and the new engine
/// processes the prompt and the text.
const MOVE_TIME: Duration = Duration::from_millis(100);
/// Minimum speed-up for which an item moves: more than the measured paces of equal engines differ.
const MIN_SPEEDUP: f64 = 1.25;
/// Maximum number of moves of one item.
const MAX_MOVES: u32 = 2;
/// Number of slots that stay free on the target engine.
const MIN_FREE_SLOTS_LEFT: usize = 1;
/// Time for which an item does not return to the engine that it was moved away from. If there are
/// other engines, one has a free slot sooner; if there are none, the item must not wait for long.
pub(crate) const AVOIDANCE_TIME: Duration = Duration::from_millis(1500);

/// Why an item moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MoveReason {
    /// Its engine became slow while it ran.
    EngineSlowed,
    /// It is longer than estimated, and its engine is slower than others.
    LongerThanEstimated,
    /// A faster engine has a free slot.
    FasterEngineFree,
}

impl MoveReason {
    /// Returns the reason as it is logged.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::EngineSlowed => "its engine became slow",
            Self::LongerThanEstimated => "it is longer than estimated, on a slow engine",
            Self::FasterEngineFree => "a faster engine has a free slot",
        }
    }
}

/// A running item, as far as it matters for a move.
pub(crate) struct MovableItem<'a> {
    /// The engine that runs it.
    pub(crate) instance: &'a InstanceId,
    /// The model that generates its tokens.
    pub(crate) model: Option<&'a ModelName>,
    /// The oldest version that may generate them.
    pub(crate) min_version: u64,
    /// Number of its further events.
    pub(crate) remaining_events: RemainingEvents,
    /// Number of its moves.
    pub(crate) moves: u32,
    /// When it started on its engine.
    pub(crate) started_at: Instant,
    /// Whether it has more events than estimated.
    pub(crate) is_overrun: bool,
}

/// A move that lets a step end earlier.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Move {
    /// The engine that ends the item earliest.
    pub(crate) target: InstanceId,
    /// Expected time until the item ends without the move.
    pub(crate) ends_here_in: Duration,
    /// Expected time until it ends with the move.
    pub(crate) ends_there_in: Duration,
    /// Why it moves.
    pub(crate) reason: MoveReason,
}

/// Returns whether an engine of the item's service is known that is enough faster than its own. It
/// needs no forecast, so it comes before all other questions.
pub(crate) fn may_move(item: &MovableItem<'_>, engines: &Engines) -> bool {
    if item.moves >= MAX_MOVES {
        return false;
    }
    let paces = engines.get(item.instance).and_then(|engine| {
        let best = engines.best_pace(&engine.record.service)?;
        Some((engine.pace.known()?, best))
    });
    paces.is_some_and(|(own, best)| own > best * MIN_SPEEDUP)
}

/// Returns the move by which the item's step gains; `None` if the item stays. The step can end in
/// `step_ends_in`. `pending_moves` holds the number of items that were moved to each engine and have
/// not started there yet.
pub(crate) fn better_engine(
    now: Instant,
    item: &MovableItem<'_>,
    step_ends_in: Duration,
    engines: &Engines,
    pending_moves: &BTreeMap<InstanceId, usize>,
) -> Option<Move> {
    let engine = engines.get(item.instance)?;
    let pace = engine.current_pace()?;
    let reason = reason_of(item, engine.slowed_at);
    let remaining_events = item.remaining_events.high;
    let ends_here_in = milliseconds(remaining_events * pace);
    if ends_here_in < step_ends_in + MIN_GAIN {
        return None;
    }
    let query = EngineQuery {
        service: &engine.record.service,
        model: item.model,
        min_version: item.min_version,
        scan: Scan::FastestKnown,
    };
    let candidates = engines.fastest_candidates(query, |instance, other| {
        let pending_moves = pending_moves.get(instance).copied().unwrap_or(0);
        other.pace.known().is_some()
            && other.takes(now, item.model, item.min_version)
            && other.running + pending_moves + MIN_FREE_SLOTS_LEFT < other.slots
    });
    let paces = candidates
        .into_iter()
        .filter_map(|(instance, other)| Some((other.expected_pace()?, instance)));
    let (other_pace, target) = paces.min_by(|(left, _), (right, _)| left.total_cmp(right))?;
    let ends_there_in = milliseconds(remaining_events * other_pace) + MOVE_TIME;
    let gains = pace > other_pace * MIN_SPEEDUP && ends_there_in + MIN_GAIN <= ends_here_in;
    gains.then(|| Move {
        target: target.clone(),
        ends_here_in,
        ends_there_in,
        reason,
    })
}

fn reason_of(item: &MovableItem<'_>, slowed_at: Option<Instant>) -> MoveReason {
    if slowed_at.is_some_and(|slowed_at| slowed_at >= item.started_at) {
        MoveReason::EngineSlowed
    } else if item.is_overrun {
        MoveReason::LongerThanEstimated
    } else {
        MoveReason::FasterEngineFree
    }
}
