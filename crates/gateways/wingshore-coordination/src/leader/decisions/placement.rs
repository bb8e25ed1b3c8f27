//! Decides which engine runs an item.
//!
//! Inputs: the requirements of the item ([`ItemNeeds`]); for each engine its running items, its
//! versions, and its pace in milliseconds per event, measured from the progress of its streams.
//!
//! Rule: of the engines that take the item, the one with the lowest cost runs it. Costs have no
//! unit; 1 is the pace of the fastest engine of the service. For a long item the cost is its time
//! on the engine, and more if the engine still has to load newer weights. For a short item it is
//! mostly the slowdown of the other items. An engine with another version than the item's partial
//! text costs a little more.
//!
//! Rationale: a training step waits for its longest texts, so these get the engines that finish
//! them first; short items finish in time on any engine. A load stops all streams of its model on
//! the engine.
//!
//! Stale or missing inputs: an engine of unknown pace counts as the fastest known one. If no pace
//! is known, engines differ only by their items. An engine may hold a newer version than is known
//! here, but not an older one, unless it was restarted: its texts then name the older version and
//! are discarded.

use crate::ids::{InstanceId, ModelName, ServiceName};
use crate::leader::tables::engine::Engine;
use crate::leader::tables::engines::Engines;
use crate::leader::tables::free_slots::{EngineQuery, Scan};
use crate::leader::tables::pace::slowdown_factor;
use wingshore_types::Instant;

/// Cost of a pending load for a long item: 0.9 s of the 7 to 9 s that the longest texts take.
const PENDING_LOAD_COST: f64 = 0.1;
/// Cost for a short item of each item that already runs on the engine.
const RUNNING_ITEM_COST: f64 = 0.04;
/// Gain for a short item if the shared part of its prompt need not be processed again.
const AFFINITY_GAIN: f64 = 0.06;
/// Cost for a short item of a slot on an engine with newer weights than it needs: few engines have
/// these yet, and the next job can run on no others. Equals three items that run there.
const NEWER_VERSION_COST: f64 = 0.12;
/// Cost of another version than that of the partial text: slightly more than one running item, so
/// it decides only between engines that are otherwise equal.
const OTHER_VERSION_COST: f64 = 0.05;
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
    /// Whether it is one of the long items that a training step waits for.
    pub(crate) is_long: bool,
}

/// Returns the engine that is to run the item; `None` if no engine takes it now. `may_run_on`
/// excludes single engines.
pub(crate) fn choose_engine(
    now: Instant,
    needs: &ItemNeeds<'_>,
    engines: &Engines,
    may_run_on: impl Fn(&InstanceId) -> bool,
) -> Option<InstanceId> {
    let best_pace = engines.best_pace(needs.service);
    let best_pace = best_pace.unwrap_or(UNKNOWN_BEST_PACE);
    let takes = |instance: &InstanceId, engine: &Engine| {
        needs.avoid != Some(instance)
            && engine.takes(now, needs.model, needs.min_version)
            && may_run_on(instance)
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
        .map(|(instance, engine)| (cost(needs, instance, engine, best_pace), instance))
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, instance)| instance.clone())
}

fn cost(needs: &ItemNeeds<'_>, instance: &InstanceId, engine: &Engine, best_pace: f64) -> f64 {
    let version = engine.version_of_any(needs.model);
    let cost = if needs.is_long {
        long_cost(engine, best_pace, version >= needs.newest_version)
    } else {
        let is_affine = needs.affinity == Some(instance);
        short_cost(engine, best_pace, is_affine, version > needs.min_version)
    };
    cost + version_cost(needs, version)
}

/// Returns the cost of a long item on an engine: its time there, plus the pause of its stream if
/// the engine still has to load the newest version.
fn long_cost(engine: &Engine, best_pace: f64, is_newest: bool) -> f64 {
    let pace = engine.pace.known().unwrap_or(best_pace) / best_pace;
    let pending_load = if is_newest { 0.0 } else { PENDING_LOAD_COST };
    pace * slowdown_factor(engine.running) + pending_load
}

/// Returns the cost of a short item on an engine: mostly the slowdown of other items. Its own time
/// there counts by the square root of the pace.
fn short_cost(engine: &Engine, best_pace: f64, is_affine: bool, is_newer: bool) -> f64 {
    let pace = engine.pace.known().unwrap_or(best_pace) / best_pace;
    let gain = if is_affine { AFFINITY_GAIN } else { 0.0 };
    let newer = if is_newer { NEWER_VERSION_COST } else { 0.0 };
    pace.sqrt() + RUNNING_ITEM_COST * engine.running as f64 + newer - gain
}

/// Returns the cost of continuing a partial text with another version.
fn version_cost(needs: &ItemNeeds<'_>, version: u64) -> f64 {
    let is_same = needs
        .partial_version
        .is_none_or(|partial| partial == version);
    let continues = needs.model.is_none() || is_same;
    if continues { 0.0 } else { OTHER_VERSION_COST }
}
