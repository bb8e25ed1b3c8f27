//! Decides which engine runs an item.
//!
//! Inputs: the requirements of the item ([`ItemNeeds`]), with its length as a fraction of the longest
//! one of its job; for each engine its running items, its versions, and its pace in milliseconds per
//! event, measured from the progress of its streams.
//!
//! Rule: of the engines that take the item, the one with the lowest cost runs it. Costs are counted
//! in running items. An item costs what it delays its step:
//! its time on the engine, as one item in ten exceeds it, beyond the time of the longest item of the
//! job on the fastest engine; an engine that still has to load newer weights adds the pause. Besides,
//! it costs the items that then run on the engine. An engine with another version than the item's
//! partial text costs a little more.
//!
//! Rationale: a training step waits for its longest texts, so these get the engines that finish
//! them first. Items that end in time on any engine spread over all of them, slow ones included, so
//! that fast ones keep slots for the long items of the next job. An item that has run before has
//! lost time already, and counts as long. A load stops all streams of its model on the engine.
//!
//! Stale or missing inputs: an engine of unknown pace counts as the median one of its service and
//! zone, else of its service. If no pace is known, engines differ only by their items. An item of
//! unknown length counts as the longest if it is long, else as short. An engine may hold a newer
//! version than is known here, but not an older one, unless it was restarted: its texts then name
//! the older version and are discarded.

use super::item_length::LENGTH_MARGIN;
use crate::ids::{InstanceId, ModelName, ServiceName};
use crate::leader::tables::engine::Engine;
use crate::leader::tables::engines::Engines;
use crate::leader::tables::free_slots::{EngineQuery, Scan};
use crate::leader::tables::pace::slowdown_factor;
use wingshore_types::Instant;

/// Cost of a delay of the step by as much as its longest item takes. A hundredth of that time counts
/// as much as one running item, which slows down the others by about that much.
const DELAY_COST: f64 = 100.0;
/// Time of a pending load, as a fraction of the time of the longest item: 0.9 s of 7 to 9 s.
const PENDING_LOAD_TIME: f64 = 0.1;
/// Gain for an item if the shared part of its prompt need not be processed again.
const AFFINITY_GAIN: f64 = 1.5;
/// Cost for a short item of a slot on an engine with newer weights than it needs: few engines have
/// these yet, and the next job can run on no others.
const NEWER_VERSION_COST: f64 = 3.0;
/// Cost of another version than that of the partial text: slightly more than one running item, so
/// it decides only between engines that are otherwise equal.
const OTHER_VERSION_COST: f64 = 1.25;
/// Best pace if none is known. Any value will do, since costs are relative to it.
const UNKNOWN_BEST_PACE: f64 = 1.0;

/// Requirements of an item that decide which engine runs it.
pub(crate) struct ItemNeeds<'a> {
    /// The service whose engines can run the item.
    pub(crate) service: &'a ServiceName,
    /// The model that generates its tokens; any engine of the service if `None`.
    pub(crate) model: Option<&'a ModelName>,
    /// The oldest version that may generate them.
    pub(crate) min_version: u64,
    /// The newest named version of the model; 0 if there is none.
    pub(crate) newest_version: u64,
    /// The version that generated the end of its partial text.
    pub(crate) partial_version: Option<u64>,
    /// The engine to which it must not return for now.
    pub(crate) avoid: Option<&'a InstanceId>,
    /// The engine that processed its shared prompt last.
    pub(crate) affinity: Option<&'a InstanceId>,
    /// Its expected length as a fraction of the longest one of its job, between 0 and 1.
    pub(crate) relative_length: f64,
}

/// Returns the engine that is to run the item; `None` if no engine takes it now.
pub(crate) fn choose_engine(
    now: Instant,
    needs: &ItemNeeds<'_>,
    engines: &Engines,
) -> Option<InstanceId> {
    let best_pace = engines.best_pace(needs.service);
    let best_pace = best_pace.unwrap_or(UNKNOWN_BEST_PACE);
    let takes = |instance: &InstanceId, engine: &Engine| {
        needs.avoid != Some(instance) && engine.takes(now, needs.model, needs.min_version)
    };
    let affine = needs.affinity.and_then(|instance| engines.get(instance));
    let affine = affine
        .map(|engine| (engine.instance(), engine))
        .filter(|(_, engine)| engine.record.service == *needs.service)
        .filter(|(instance, engine)| takes(instance, engine));
    let query = EngineQuery {
        service: needs.service,
        model: needs.model,
        min_version: needs.min_version,
        scan: Scan::Any,
    };
    engines
        .fastest_candidates(query, takes)
        .into_iter()
        .chain(affine)
        .map(|(instance, engine)| {
            let pace = engines.known_or_usual_pace(engine).unwrap_or(best_pace);
            (cost(needs, engine, pace / best_pace), instance)
        })
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, instance)| instance.clone())
}

/// Returns the cost of an item on an engine whose time per event is `slowness` times that of the
/// fastest one.
fn cost(needs: &ItemNeeds<'_>, engine: &Engine, slowness: f64) -> f64 {
    let version = engine.version_of_any(needs.model);
    let delay = delay(needs, engine, slowness, version >= needs.newest_version);
    let share = (engine.running + 1) as f64;
    let is_short = needs.relative_length * LENGTH_MARGIN < 1.0;
    let newer = if is_short && version > needs.min_version {
        NEWER_VERSION_COST
    } else {
        0.0
    };
    let is_affine = needs.affinity == Some(engine.instance());
    let gain = if is_affine { AFFINITY_GAIN } else { 0.0 };
    delay * DELAY_COST + share + newer + version_cost(needs, version) - gain
}

/// Returns the time by which an item on an engine may delay its step, as a fraction of the time that
/// the longest item of its job takes on the fastest engine.
fn delay(needs: &ItemNeeds<'_>, engine: &Engine, slowness: f64, is_newest: bool) -> f64 {
    let pause = if is_newest { 0.0 } else { PENDING_LOAD_TIME };
    let time = needs.relative_length * slowness * slowdown_factor(engine.running + 1) + pause;
    (time * LENGTH_MARGIN - 1.0).max(0.0)
}

/// Returns the cost of continuing a partial text with another version.
fn version_cost(needs: &ItemNeeds<'_>, version: u64) -> f64 {
    let is_same = needs
        .partial_version
        .is_none_or(|partial| partial == version);
    let continues = needs.model.is_none() || is_same;
    if continues { 0.0 } else { OTHER_VERSION_COST }
}
