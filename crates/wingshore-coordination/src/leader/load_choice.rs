//! Which engine loads which model's weights next.
//!
//! Loads are what a site with many engines is short of: the weight store serves a share of them at
//! full speed, and each version that a trainer names wants some. The next job of a trainer runs on
//! the newest version or the one before, so what counts is that each model has engines at its newest
//! version when that job comes.

use super::decisions::capacity_plan::DEMAND_MEMORY;
use super::machine::CoordinationLeader;
use super::turn::Turn;
use crate::ids::{InstanceId, ModelName};
use crate::state::CoordinationState;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::Instant;

/// Most loads that begin in one look: a look comes each 50 ms, so that 600 of 0.9 s can be under way,
/// one in five of 3,000 engines, and no look holds up what else a leader does.
const MOST_BEGUN_AT_ONCE: usize = 32;

/// Engines at a model's newest version that are enough, as a multiple of those that all its open items
/// fill: long items stay on engines at the version before. Loads follow the work by that, not the number of
/// engines: at 3,000 engines a day of 252 items a step took 3,150 orders, nearly all for nothing.
const ENOUGH_FACTOR: usize = 2;

/// Where there are many engines, one in this many may load at once. With two at a time at 45 engines 0.59
/// of the credit of a day was earned, with a fifth of them 0.95 (one play each).
const ENGINES_PER_LOAD: usize = 5;

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
        self.lag <= 1
    }

    /// Order in which engines load a model's version: first those that are of no use to it any more,
    /// of these the ones without long items of it, then those with the most room, then those that items
    /// have run on: the next ones need no new connections. Slow ones do not come last: where a fifth of the engines is slow for a while, too few would be left that hold a version
    /// (steps of 8.1 to 8.5 s in place of 7.5, by the simulation of steps).
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
struct ModelLoads {
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
    /// than one look begins.
    ///
    /// An engine one version behind is still of use: it does not load while long items of the model
    /// would stand still for it; those of other models go on. An engine that is further behind
    /// loads, unless it has such items and others carry the model meanwhile.
    fn rank_wanted(&mut self, spares_long_items: bool) {
        let others_carry = self.usable * 2 >= self.engines;
        self.wanted.retain(|load| {
            let has_long_items = spares_long_items && load.long_running > 0;
            !has_long_items || !(load.is_still_usable() || others_carry)
        });
        let by_rank = |left: &WantedLoad, right: &WantedLoad| left.rank().cmp(&right.rank());
        if self.wanted.len() > MOST_BEGUN_AT_ONCE {
            self.wanted
                .select_nth_unstable_by(MOST_BEGUN_AT_ONCE, by_rank);
            self.wanted.truncate(MOST_BEGUN_AT_ONCE);
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

    /// Takes the next load. Beyond what is enough engines load only for items that wait and that
    /// those which load already will not take: a job often comes with its version, and its items
    /// waited for 0.9 s while each look began more loads, 144 a version where 35 engines were
    /// filled. What loads already is left out.
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

impl CoordinationLeader {
    /// Begins as many loads as the weight store serves, each for the model that has the fewest
    /// engines at its newest version.
    pub(super) fn begin_loads(&mut self, turn: &mut Turn<'_>) {
        let most = self.most_loads();
        if self.rollout.active() >= most {
            return;
        }
        self.count_long_items();
        let mut models = self.loads_by_model(turn.state);
        self.note_peaks(turn.now, &mut models);
        let policy = self.settings.policy;
        let mut loading = BTreeSet::new();
        while self.rollout.active() < most && loading.len() < MOST_BEGUN_AT_ONCE {
            let mut order: Vec<&ModelName> = models.keys().collect();
            if policy.scarce_models_first {
                order.sort_by_key(|model| models.get(model).map(|loads| loads.newest));
            }
            let order: Vec<ModelName> = order.into_iter().cloned().collect();
            let next = order.into_iter().find_map(|model| {
                let loads = models.get_mut(&model)?;
                let load = loads.take(&loading)?;
                Some((model, loads.named, load.instance))
            });
            let Some((model, named, instance)) = next else {
                return;
            };
            // One engine loads one model at a time.
            loading.insert(instance.clone());
            self.ask_report(&instance, turn);
            self.rollout.begin_load(turn.now, instance, model, named);
        }
    }

    /// Engines that may load at once: the weight store serves a share of them at full speed. It is laid
    /// out for those that stay: others that were ordered for a while do not make it faster.
    fn most_loads(&self) -> usize {
        let share = self.engines.staying() / ENGINES_PER_LOAD;
        share.max(self.settings.concurrent_loads)
    }

    /// For each model, how its engines stand and all loads that would bring one to the newest version.
    fn loads_by_model(&self, state: &CoordinationState) -> BTreeMap<ModelName, ModelLoads> {
        let mut models: BTreeMap<ModelName, ModelLoads> = BTreeMap::new();
        for (model, named) in state.named_versions() {
            let loads = ModelLoads {
                named: *named,
                ..ModelLoads::default()
            };
            models.insert(model.clone(), loads);
        }
        for (instance, engine) in self.engines.iter() {
            if engine.record.draining {
                continue;
            }
            let loading = self.rollout.model_loaded_by(instance);
            for entry in &engine.record.models {
                let Some(loads) = models.get_mut(&entry.model) else {
                    continue;
                };
                let is_loading = loading == Some(&entry.model);
                loads.engines += 1;
                loads.slots += engine.slots;
                loads.usable += usize::from(entry.version + 1 >= loads.named && !is_loading);
                loads.newest += usize::from(entry.version >= loads.named || is_loading);
                loads.loading += usize::from(is_loading);
                if entry.version < loads.named && loading.is_none() {
                    let long_running = engine.long_running.get(&entry.model);
                    loads.wanted.push(WantedLoad {
                        instance: instance.clone(),
                        lag: loads.named - entry.version,
                        long_running: long_running.copied().unwrap_or(0),
                        busy_slots: engine.running,
                        is_unconnected: engine.gateway.is_none(),
                    });
                }
            }
        }
        let count = self.engines.models_of_an_engine();
        for loads in models.values_mut() {
            loads.share = loads.engines.div_ceil(count);
            loads.rank_wanted(self.settings.policy.loads_spare_long_items);
        }
        self.count_items(state, &mut models);
        models
    }

    /// Puts the most items that were open lately in place of those that are open now: between two steps
    /// there are few.
    fn note_peaks(&mut self, now: Instant, models: &mut BTreeMap<ModelName, ModelLoads>) {
        for (model, loads) in models {
            let peak = self.rollout.peak_of(model);
            loads.open = peak.note(now, loads.open, DEMAND_MEMORY);
        }
    }

    fn count_items(&self, state: &CoordinationState, models: &mut BTreeMap<ModelName, ModelLoads>) {
        for (job, waiting) in self.items.waiting_by_job() {
            let job = state.jobs().get(job);
            let model = job.and_then(|job| job.submission.model.as_ref());
            if let Some(loads) = model.and_then(|model| models.get_mut(model)) {
                loads.waiting += waiting;
                loads.open += waiting;
            }
        }
        for (_, running) in self.items.running() {
            let model = running.model.as_ref();
            if let Some(loads) = model.and_then(|model| models.get_mut(model)) {
                loads.open += 1;
            }
        }
    }
}
