//! Decides which engine loads which model's weights next.
//!
//! Inputs: for each model its newest named version, its waiting items and its recent peak of open
//! items; for each engine its versions, the items and the long items of the model that run on it,
//! and whether gateways are connected to it; the loads in progress; the number of non-reclaimable
//! servers.
//!
//! Rule: the model with the fewest engines at its newest version loads next, on the engine that is
//! least useful to it. A model loads until enough engines for its open items hold the newest
//! version, limited to its share of the engines. It loads on more engines only for waiting items
//! that do not fit on the engines that are loading. An engine that runs long items of the model
//! defers its load, unless it is two versions behind and other engines can run the model. At most
//! one engine in [`ENGINES_PER_LOAD`] loads at a time.
//!
//! Rationale: loads are the scarce resource of a site with many engines, since the weight store
//! serves only a share of the engines at full speed. A trainer's next job runs on the newest
//! version or the one before, so what matters is that each model has engines at its newest version
//! when that job arrives. A load stops the model's streams on the engine for 0.9 s.
//!
//! Stale or missing inputs: an engine may hold a newer version than is known here; the poll before
//! an order shows it. A model without recent open items counts with its whole share.

use super::capacity_plan::{DEMAND_MEMORY, Peak};
use crate::ids::{InstanceId, ModelName};
use crate::leader::policy::LeaderPolicy;
use crate::leader::tables::engine::Engine;
use crate::leader::tables::engines::Engines;
use crate::registry::ModelVersion;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::Instant;

/// Maximum number of loads started in one scan of the engines. A scan runs every 50 ms, so 600
/// loads of 0.9 s each can be in progress, one in five of 3,000 engines, while no scan delays the
/// leader's other work.
pub(crate) const MAX_LOADS_PER_SCAN: usize = 32;

/// Number of engines that should hold a model's newest version, as a multiple of the engines that
/// all its open items fill: long items stay on engines at the version before.
const TARGET_ENGINES_FACTOR: usize = 2;

/// At a large site, one engine in this many may load at once.
const ENGINES_PER_LOAD: usize = 5;

/// Number of engines that may load at once at a site of any size. Concurrent loads slow each other
/// down.
const MIN_LOADS_AT_ONCE: usize = 2;

/// Number of versions that an engine may be behind and still run items: jobs ask for the newest
/// version or the one before.
const MAX_USABLE_LAG: u64 = 1;

/// A possible load that would bring an engine to a named version.
struct LoadCandidate {
    instance: InstanceId,
    /// Number of versions that the engine is behind.
    lag: u64,
    /// Number of long items of the model that run on the engine.
    long_running: usize,
    /// Number of occupied slots of the engine, by items of any model.
    busy_slots: usize,
    /// Whether no gateway has connections to the engine.
    is_unconnected: bool,
}

impl LoadCandidate {
    /// Returns whether items may still run on the engine's version: the newest one or the one
    /// before.
    fn is_still_usable(&self) -> bool {
        self.lag <= MAX_USABLE_LAG
    }

    /// Returns the sort key of the order in which engines load a model's version: first engines
    /// whose version is no longer usable, then engines with the fewest long items of the model,
    /// then with the fewest occupied slots, then engines with connections, since the next items
    /// there need no new ones. Slow engines are not sorted last: while a fifth of the engines is
    /// slow, too few others would be left to hold a version.
    fn rank(&self) -> (bool, usize, usize, bool, &InstanceId) {
        (
            self.is_still_usable(),
            self.long_running,
            self.busy_slots,
            self.is_unconnected,
            &self.instance,
        )
    }
}

/// Counts of the engines of one model, and its possible loads.
#[derive(Default)]
pub(crate) struct ModelLoads {
    /// Newest named version.
    newest_version: u64,
    /// Number of engines that serve the model.
    engines: usize,
    /// Number of these engines that can run items that ask for the version before the newest.
    usable: usize,
    /// Number of these engines that hold or load the newest version.
    at_newest: usize,
    /// Number of these engines that are loading it.
    loading: usize,
    /// Number of engines per model if all models share alike; at least one.
    share: usize,
    /// Number of items of the model that wait for an engine.
    waiting: usize,
    /// Recent peak of open items of the model.
    open_items: usize,
    /// Total number of slots of its engines.
    slots: usize,
    candidates: Vec<LoadCandidate>,
}

impl ModelLoads {
    /// Reduces the possible loads to those that may start now, ordered by rank and limited to the
    /// number of loads of one scan.
    ///
    /// An engine that is one version behind is still useful, so it does not load while long items
    /// of the model run on it and would be stopped; a load does not stop items of other models. An
    /// engine that is further behind loads, unless it runs such items and other engines can run the
    /// model meanwhile.
    fn rank_candidates(&mut self, defers_for_long_items: bool) {
        let others_suffice = self.usable * 2 >= self.engines;
        self.candidates.retain(|load| {
            let has_long_items = defers_for_long_items && load.long_running > 0;
            !has_long_items || !(load.is_still_usable() || others_suffice)
        });
        let by_rank = |left: &LoadCandidate, right: &LoadCandidate| left.rank().cmp(&right.rank());
        if self.candidates.len() > MAX_LOADS_PER_SCAN {
            self.candidates
                .select_nth_unstable_by(MAX_LOADS_PER_SCAN, by_rank);
            self.candidates.truncate(MAX_LOADS_PER_SCAN);
        }
        // `take` pops from the end, so the first one to load is sorted last.
        self.candidates.sort_by(|left, right| by_rank(right, left));
    }

    /// Returns the number of engines that should hold the newest version, regardless of waiting
    /// items: the model's share, or less if its open items need less, with room to spare. Without
    /// recent items the demand is unknown, so the whole share is used.
    fn target_engines(&self) -> usize {
        if self.open_items == 0 {
            return self.share;
        }
        let filled = self.open_items.div_ceil(self.slots_per_engine());
        self.share.min((filled * TARGET_ENGINES_FACTOR).max(1))
    }

    fn slots_per_engine(&self) -> usize {
        (self.slots / self.engines.max(1)).max(1)
    }

    /// Returns the number of waiting items that do not fit on the engines that are loading now.
    fn waiting_without_slot(&self) -> usize {
        self.waiting
            .saturating_sub(self.loading * self.slots_per_engine())
    }

    /// Counts an engine that serves the model. `loading` is the model that the engine is loading.
    fn count(&mut self, entry: &ModelVersion, engine: &Engine, loading: Option<&ModelName>) {
        let version = entry.version;
        let is_loading = loading == Some(&entry.model);
        self.engines += 1;
        self.slots += engine.slots;
        self.usable += usize::from(version + MAX_USABLE_LAG >= self.newest_version && !is_loading);
        self.at_newest += usize::from(version >= self.newest_version || is_loading);
        self.loading += usize::from(is_loading);
        if version < self.newest_version && loading.is_none() {
            let long_running = engine.long_running.get(&entry.model);
            self.candidates.push(LoadCandidate {
                instance: engine.instance().clone(),
                lag: self.newest_version - version,
                long_running: long_running.copied().unwrap_or(0),
                busy_slots: engine.running,
                is_unconnected: engine.gateway.is_none(),
            });
        }
    }

    /// Removes and returns the next load. More engines than `target_engines` load only for waiting
    /// items that do not fit on the engines that are loading already: a job often arrives together
    /// with its version, and its items wait while that version loads. Engines in `loading` are
    /// skipped.
    fn take(&mut self, loading: &BTreeSet<InstanceId>) -> Option<LoadCandidate> {
        if self.at_newest >= self.target_engines() && self.waiting_without_slot() == 0 {
            return None;
        }
        while let Some(load) = self.candidates.pop() {
            if !loading.contains(&load.instance) {
                self.at_newest += 1;
                self.loading += 1;
                return Some(load);
            }
        }
        None
    }
}

/// Possible loads by model.
pub(crate) struct LoadChoice {
    models: BTreeMap<ModelName, ModelLoads>,
    policy: LeaderPolicy,
    /// Engines chosen in this scan.
    chosen: BTreeSet<InstanceId>,
}

/// A load to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NextLoad {
    /// The engine that loads.
    pub(crate) instance: InstanceId,
    /// The model to load.
    pub(crate) model: ModelName,
    /// The version to load.
    pub(crate) version: u64,
}

impl LoadChoice {
    /// Collects the loads that would bring engines to the named versions. `loading` returns the
    /// model that an engine is loading.
    pub(crate) fn new<'a>(
        named_versions: &BTreeMap<ModelName, u64>,
        engines: &Engines,
        loading: impl Fn(&InstanceId) -> Option<&'a ModelName>,
        policy: LeaderPolicy,
    ) -> Self {
        let models = named_versions.iter().map(|(model, newest_version)| {
            let loads = ModelLoads {
                newest_version: *newest_version,
                ..ModelLoads::default()
            };
            (model.clone(), loads)
        });
        let mut models: BTreeMap<ModelName, ModelLoads> = models.collect();
        for (instance, engine) in engines.iter() {
            if engine.record.draining {
                continue;
            }
            let loading = loading(instance);
            for entry in &engine.record.models {
                if let Some(loads) = models.get_mut(&entry.model) {
                    loads.count(entry, engine, loading);
                }
            }
        }
        let max_models_per_engine = engines.max_models_per_engine();
        for loads in models.values_mut() {
            loads.share = loads.engines.div_ceil(max_models_per_engine);
            loads.rank_candidates(policy.loads_spare_long_items);
        }
        Self {
            models,
            policy,
            chosen: BTreeSet::new(),
        }
    }

    /// Counts waiting items of a model.
    pub(crate) fn count_waiting(&mut self, model: &ModelName, items: usize) {
        if let Some(loads) = self.models.get_mut(model) {
            loads.waiting += items;
            loads.open_items += items;
        }
    }

    /// Counts a running item of a model.
    pub(crate) fn count_running(&mut self, model: &ModelName) {
        if let Some(loads) = self.models.get_mut(model) {
            loads.open_items += 1;
        }
    }

    /// Replaces the present numbers of open items by their recent peaks: few items are open between
    /// two training steps.
    pub(crate) fn apply_peaks(&mut self, now: Instant, peaks: &mut BTreeMap<ModelName, Peak>) {
        for (model, loads) in &mut self.models {
            let peak = peaks.entry(model.clone()).or_default();
            loads.open_items = peak.record(now, loads.open_items, DEMAND_MEMORY);
        }
    }

    /// Removes and returns the next load; `None` if no load is to start now.
    pub(crate) fn take(&mut self) -> Option<NextLoad> {
        if self.chosen.len() >= MAX_LOADS_PER_SCAN {
            return None;
        }
        for model in self.models_by_priority() {
            let Some(loads) = self.models.get_mut(&model) else {
                continue;
            };
            if let Some(load) = loads.take(&self.chosen) {
                // An engine loads one model at a time.
                self.chosen.insert(load.instance.clone());
                let version = loads.newest_version;
                let instance = load.instance;
                return Some(NextLoad {
                    instance,
                    model,
                    version,
                });
            }
        }
        None
    }

    fn models_by_priority(&self) -> Vec<ModelName> {
        let mut models: Vec<(&ModelName, &ModelLoads)> = self.models.iter().collect();
        if self.policy.scarce_models_first {
            models.sort_by_key(|(_, loads)| loads.at_newest);
        }
        models.into_iter().map(|(model, _)| model.clone()).collect()
    }
}

/// Returns the number of engines that may load at once: a share of the non-reclaimable engines,
/// since the weight store is dimensioned for these. Reclaimable engines that were added for a while
/// do not make it faster.
pub(crate) fn max_loads(engines: &Engines) -> usize {
    let share = engines.non_reclaimable() / ENGINES_PER_LOAD;
    share.max(MIN_LOADS_AT_ONCE)
}
