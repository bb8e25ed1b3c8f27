//! Which engine runs an item?
//!
//! Inputs: what the item needs ([`ItemNeeds`]); of each engine the items that run on it, its versions,
//! and its pace in milliseconds an event, as measured from the progress of its streams.
//!
//! Rule: of the engines that take the item, the one with the lowest cost; costs have no unit, 1 is the
//! pace of the service's fastest engine. A long item costs the time that it takes there, and more where
//! a load is still to come; a short one mostly what it takes from others. An engine with another version
//! than the item's partial text costs a little more.
//!
//! Why: a step waits for its longest texts, so these get the engines on which they end first; short ones
//! end in time anywhere. A load stops all streams of its model on the engine.
//!
//! Old or missing inputs: an engine of unknown pace counts as the fastest one known; where no pace is
//! known, engines differ by their items only. Versions may be newer than known, never older, but for an
//! engine that started again: its texts show it, and are dropped.

use crate::ids::{InstanceId, ModelName, ServiceName};
use crate::leader::tables::engine::Engine;
use crate::leader::tables::engines::Engines;
use crate::leader::tables::free_slots::{EngineQuery, Scan};
use crate::leader::tables::pace::slow_down;
use wingshore_types::Instant;

/// What a load to come costs a long item: 0.9 s of the 7 to 9 s that the longest texts take.
const PENDING_LOAD_COST: f64 = 0.1;
/// What each item that runs on an engine costs a short item that is to run there.
const COST_OF_A_RUNNING_ITEM: f64 = 0.04;
/// What the shared part of a prompt is worth to a short item where it need not be read again.
const AFFINITY_GAIN: f64 = 0.06;
/// What it costs a short item to take a slot on an engine with newer weights than it needs: few engines
/// have them yet, and the next job can run on no other. As much as three items that run there.
const NEWER_THAN_NEEDED_COST: f64 = 0.12;
/// What another version than that of the partial text costs: a little more than one item that runs
/// there, so that it decides only between engines that are as good otherwise.
const OTHER_VERSION_COST: f64 = 0.05;
/// The best pace where none is known: any will do, since costs are in relation to it.
const UNKNOWN_BEST_PACE: f64 = 1.0;

/// What decides on which engine an item runs.
pub(crate) struct ItemNeeds<'a> {
    /// The service whose engines can run it.
    pub(crate) service: &'a ServiceName,
    /// The model that makes its tokens; any engine of the service where none is named.
    pub(crate) model: Option<&'a ModelName>,
    /// The oldest version that may make them.
    pub(crate) min_version: u64,
    /// The newest named version of the model; 0 where none is.
    pub(crate) newest_version: u64,
    /// The version that made the end of its partial text.
    pub(crate) partial_version: Option<u64>,
    /// The engine that it does not go back to for now.
    pub(crate) avoid: Option<&'a InstanceId>,
    /// The engine that read its shared prompt last.
    pub(crate) affinity: Option<&'a InstanceId>,
    /// Whether it is one of those that a step waits for.
    pub(crate) is_long: bool,
}

/// The engine that is to run the item; `None` where none takes it now. `may_run_on` rules single engines out.
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
        .best_of_each(query, takes)
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

/// What a long item costs on an engine: the time that it takes there, and the standing still while
/// the engine loads weights that it still lacks.
fn long_cost(engine: &Engine, best_pace: f64, is_newest: bool) -> f64 {
    let pace = engine.pace.unwrap_or(best_pace) / best_pace;
    let pending_load = if is_newest { 0.0 } else { PENDING_LOAD_COST };
    pace * slow_down(engine.running) + pending_load
}

/// What a short item costs on an engine: mostly that it slows others down. Its own time there counts by
/// the square root of the pace.
fn short_cost(engine: &Engine, best_pace: f64, is_affine: bool, is_newer: bool) -> f64 {
    let pace = engine.pace.unwrap_or(best_pace) / best_pace;
    let gain = if is_affine { AFFINITY_GAIN } else { 0.0 };
    let newer = if is_newer {
        NEWER_THAN_NEEDED_COST
    } else {
        0.0
    };
    pace.sqrt() + COST_OF_A_RUNNING_ITEM * engine.running as f64 + newer - gain
}

/// What it costs to continue a partial text under another version.
fn version_cost(needs: &ItemNeeds<'_>, version: u64) -> f64 {
    let is_same = needs
        .partial_version
        .is_none_or(|partial| partial == version);
    let continues = needs.model.is_none() || is_same;
    if continues { 0.0 } else { OTHER_VERSION_COST }
}
