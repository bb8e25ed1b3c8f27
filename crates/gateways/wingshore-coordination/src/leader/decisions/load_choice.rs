//! Which engine loads which model's weights next?
//!
//! Inputs: of each model its newest named version, the items that wait and the most that were open
//! lately; of each engine its versions, the items and the long items of the model that run on it, and
//! whether gateways are connected to it; loads under way; the servers that their provider does not take
//! away.
//!
//! Rule: the model with the fewest engines at its newest version loads next, on the engine that is of
//! least use to it. A model loads until what is enough for its open items, at most its share of the
//! engines, holds the newest version; beyond that only for items that wait and find no place on the
//! engines that load. An engine with long items of the model defers its load, unless it is two versions
//! behind and others carry the model. One engine in [`ENGINES_PER_LOAD`] loads at a time.
//!
//! Why: loads are what a site with many engines is short of: the weight store serves a share of them at
//! full speed. The next job of a trainer runs on the newest version or the one before, so what counts is
//! that each model has engines at its newest version when that job comes. A load stops the model's
//! streams on the engine for 0.9 s.
//!
//! Old or missing inputs: an engine may hold a newer version than known: the poll before an order shows
//! it. A model without open items lately counts with its whole share.

use super::capacity_plan::{DEMAND_MEMORY, Peak};
use crate::ids::{InstanceId, ModelName};
use crate::leader::policy::LeaderPolicy;
use crate::leader::tables::engine::Engine;
use crate::leader::tables::engines::Engines;
use crate::registry::ModelVersion;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::Instant;

/// Most loads that begin in one scan of the engines: a scan comes each 50 ms, so that 600 of 0.9 s can
/// be under way, one in five of 3,000 engines, and no scan holds up what else a leader does.
pub(crate) const MAX_LOADS_OF_A_SCAN: usize = 32;

/// Engines at a model's newest version that are enough, as a multiple of those that all its open items
/// fill: long items stay on engines at the version before.
const ENOUGH_FACTOR: usize = 2;

/// Where there are many engines, one in this many may load at once.
const ENGINES_PER_LOAD: usize = 5;

/// Engines that may load at once at any site, however few it has; loads slow each other down.
const MIN_LOADS_AT_ONCE: usize = 2;

/// Versions that an engine may be behind and still run work: jobs ask for the newest version or the one
/// before.
const USABLE_LAG: u64 = 1;

/// A load that would bring an engine to a named version.
struct WantedLoad {
    instance: InstanceId,
    /// How many versions the engine is behind.
    lag: u64,
    /// Long items of the model that run on the engine.
    long_running: usize,
    /// Slots of the engine that are taken, by items of any model.
    busy_slots: usize,
    /// Whether no gateway has connections to it.
    is_unconnected: bool,
}

impl WantedLoad {
    /// Work may run on the newest version and the one before.
    fn is_still_usable(&self) -> bool {
        self.lag <= USABLE_LAG
    }

    /// Order in which engines load a model's version: first those that are of no use to it any more,
    /// of these the ones without long items of it, then those with the most room, then those that items
    /// have run on: the next ones need no new connections. Slow ones do not come last: where a fifth of the
    /// engines is slow for a while, too few would be left that hold a version.
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

/// The engines of one model, and what they could load.
#[derive(Default)]
pub(crate) struct ModelLoads {
    /// The newest named version.
    named: u64,
    /// Engines that serve the model.
    engines: usize,
    /// Those that can run what asks for the version before the newest.
    usable: usize,
    /// Those that hold the newest version, or are loading it.
    newest: usize,
    /// Those that are loading it.
    loading: usize,
    /// Engines for each model where all share alike; at least one.
    share: usize,
    /// Items of the model that wait for an engine.
    waiting: usize,
    /// The most items of the model that were open at once lately.
    open: usize,
    /// Slots of its engines.
    slots: usize,
    wanted: Vec<WantedLoad>,
}

impl ModelLoads {
    /// Leaves the loads that may begin now, in the order in which they should, and no more of them
    /// than one scan begins.
    ///
    /// An engine one version behind is still of use: it does not load while long items of the model
    /// would stand still for it; those of other models go on. An engine that is further behind
    /// loads, unless it has such items and others carry the model meanwhile.
    fn rank_wanted(&mut self, defers_for_long_items: bool) {
        let others_carry = self.usable * 2 >= self.engines;
        self.wanted.retain(|load| {
            let has_long_items = defers_for_long_items && load.long_running > 0;
            !has_long_items || !(load.is_still_usable() || others_carry)
        });
        let by_rank = |left: &WantedLoad, right: &WantedLoad| left.rank().cmp(&right.rank());
        if self.wanted.len() > MAX_LOADS_OF_A_SCAN {
            self.wanted
                .select_nth_unstable_by(MAX_LOADS_OF_A_SCAN, by_rank);
            self.wanted.truncate(MAX_LOADS_OF_A_SCAN);
        }
        // The next one is taken from the end.
        self.wanted.sort_by(|left, right| by_rank(right, left));
    }

    /// Engines that are to hold the newest version, whatever waits: the model's share, or what its items
    /// fill with room to spare, where that is less. Where it had none lately nothing is known of what is
    /// to come.
    fn enough(&self) -> usize {
        if self.open == 0 {
            return self.share;
        }
        let filled = self.open.div_ceil(self.slots_each());
        self.share.min((filled * ENOUGH_FACTOR).max(1))
    }

    fn slots_each(&self) -> usize {
        (self.slots / self.engines.max(1)).max(1)
    }

    /// Items that wait and find no place on the engines that are loading now.
    fn waiting_in_vain(&self) -> usize {
        self.waiting
            .saturating_sub(self.loading * self.slots_each())
    }

    /// Notes how an engine that serves the model counts. `loading` is the model that it loads.
    fn count(&mut self, entry: &ModelVersion, engine: &Engine, loading: Option<&ModelName>) {
        let version = entry.version;
        let is_loading = loading == Some(&entry.model);
        self.engines += 1;
        self.slots += engine.slots;
        self.usable += usize::from(version + USABLE_LAG >= self.named && !is_loading);
        self.newest += usize::from(version >= self.named || is_loading);
        self.loading += usize::from(is_loading);
        if version < self.named && loading.is_none() {
            let long_running = engine.long_running.get(&entry.model);
            self.wanted.push(WantedLoad {
                instance: engine.instance().clone(),
                lag: self.named - version,
                long_running: long_running.copied().unwrap_or(0),
                busy_slots: engine.running,
                is_unconnected: engine.gateway.is_none(),
            });
        }
    }

    /// Takes the next load. Beyond what is enough engines load only for items that wait and that
    /// those which load already will not take: a job often comes with its version, and its items
    /// wait while that loads. What loads already is left out.
    fn take(&mut self, loading: &BTreeSet<InstanceId>) -> Option<WantedLoad> {
        if self.newest >= self.enough() && self.waiting_in_vain() == 0 {
            return None;
        }
        while let Some(load) = self.wanted.pop() {
            if !loading.contains(&load.instance) {
                self.newest += 1;
                self.loading += 1;
                return Some(load);
            }
        }
        None
    }
}

/// Loads that could begin, by model.
pub(crate) struct LoadChoice {
    models: BTreeMap<ModelName, ModelLoads>,
    policy: LeaderPolicy,
    /// Engines that were chosen.
    chosen: BTreeSet<InstanceId>,
}

/// A load that begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NextLoad {
    /// The engine.
    pub(crate) instance: InstanceId,
    /// What it loads.
    pub(crate) model: ModelName,
    /// Which version.
    pub(crate) version: u64,
}

impl LoadChoice {
    /// What could be loaded to bring engines to the named versions. `loading` says which model an engine
    /// loads.
    pub(crate) fn new<'a>(
        named_versions: &BTreeMap<ModelName, u64>,
        engines: &Engines,
        loading: impl Fn(&InstanceId) -> Option<&'a ModelName>,
        policy: LeaderPolicy,
    ) -> Self {
        let models = named_versions.iter().map(|(model, named)| {
            let loads = ModelLoads {
                named: *named,
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
        let models_of_an_engine = engines.models_of_an_engine();
        for loads in models.values_mut() {
            loads.share = loads.engines.div_ceil(models_of_an_engine);
            loads.rank_wanted(policy.loads_spare_long_items);
        }
        Self {
            models,
            policy,
            chosen: BTreeSet::new(),
        }
    }

    /// Items of a model wait for an engine.
    pub(crate) fn count_waiting(&mut self, model: &ModelName, items: usize) {
        if let Some(loads) = self.models.get_mut(model) {
            loads.waiting += items;
            loads.open += items;
        }
    }

    /// An item of a model runs.
    pub(crate) fn count_running(&mut self, model: &ModelName) {
        if let Some(loads) = self.models.get_mut(model) {
            loads.open += 1;
        }
    }

    /// Puts the most items that were open lately in place of those that are open now: between two steps
    /// there are few.
    pub(crate) fn note_peaks(&mut self, now: Instant, peaks: &mut BTreeMap<ModelName, Peak>) {
        for (model, loads) in &mut self.models {
            let peak = peaks.entry(model.clone()).or_default();
            loads.open = peak.note(now, loads.open, DEMAND_MEMORY);
        }
    }

    /// Takes the next load; `None` where none is to begin now.
    pub(crate) fn take(&mut self) -> Option<NextLoad> {
        if self.chosen.len() >= MAX_LOADS_OF_A_SCAN {
            return None;
        }
        for model in self.models_in_turn() {
            let Some(loads) = self.models.get_mut(&model) else {
                continue;
            };
            if let Some(load) = loads.take(&self.chosen) {
                // One engine loads one model at a time.
                self.chosen.insert(load.instance.clone());
                let version = loads.named;
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

    fn models_in_turn(&self) -> Vec<ModelName> {
        let mut models: Vec<(&ModelName, &ModelLoads)> = self.models.iter().collect();
        if self.policy.scarce_models_first {
            models.sort_by_key(|(_, loads)| loads.newest);
        }
        models.into_iter().map(|(model, _)| model.clone()).collect()
    }
}

/// Engines that may load at once: the weight store serves a share of them at full speed. It is laid
/// out for those that stay: others that were ordered for a while do not make it faster.
pub(crate) fn max_loads(engines: &Engines) -> usize {
    let share = engines.staying() / ENGINES_PER_LOAD;
    share.max(MIN_LOADS_AT_ONCE)
}
