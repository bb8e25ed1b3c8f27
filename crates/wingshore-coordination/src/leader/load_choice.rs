//! Which engine loads which model's weights next.

use super::{CoordinationLeader, Outputs};
use crate::ids::{InstanceId, ModelName, ServiceName};
use crate::state::CoordinationState;
use std::collections::BTreeMap;
use wingshore_types::Instant;

/// A load that would bring an engine to a named version.
struct WantedLoad {
    instance: InstanceId,
    service: ServiceName,
    model: ModelName,
    /// The newest named version.
    named: u64,
    /// How many versions the engine is behind.
    lag: u64,
}

/// Order in which loads begin: what is of no use any more first, of these the model that the
/// fewest engines can run, so that no model's items wait while others' engines are renewed.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct LoadRank {
    is_still_usable: bool,
    /// Engines that can run the model.
    usable: usize,
    lag: std::cmp::Reverse<u64>,
    long_running: usize,
    instance: InstanceId,
}

impl CoordinationLeader {
    pub(super) fn begin_loads(
        &mut self,
        now: Instant,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let mut wanted = self.wanted_loads(state);
        if wanted.is_empty() {
            return;
        }
        self.count_long_items();
        let usable = self.usable_engines(state);
        wanted.sort_by_cached_key(|load| LoadRank {
            is_still_usable: load.lag <= 1,
            usable: usable
                .get(&load.model)
                .filter(|_| self.settings.policy.scarce_models_first)
                .copied()
                .unwrap_or(0),
            lag: std::cmp::Reverse(load.lag),
            long_running: self.long_running(&load.instance),
            instance: load.instance.clone(),
        });
        let most = self.most_loads();
        for load in wanted {
            if self.rollout.active() >= most {
                return;
            }
            if self.rollout.model_loaded_by(&load.instance).is_some() || !self.is_worth_it(&load) {
                continue;
            }
            self.begin_load(now, load, out);
        }
    }

    /// How many engines can run what asks for the version before the newest, or are about to.
    fn usable_engines(&self, state: &CoordinationState) -> BTreeMap<ModelName, usize> {
        let mut usable: BTreeMap<ModelName, usize> = BTreeMap::new();
        for (instance, engine) in self.engines.iter() {
            for entry in &engine.record.models {
                let named = state.named_versions().get(&entry.model).copied();
                let is_loading = self.rollout.model_loaded_by(instance) == Some(&entry.model);
                let is_usable = entry.version + 1 >= named.unwrap_or(0);
                if !engine.record.draining && (is_usable || is_loading) {
                    *usable.entry(entry.model.clone()).or_default() += 1;
                }
            }
        }
        usable
    }

    /// Engines that may load at once: the weight store serves a share of them at full speed.
    fn most_loads(&self) -> usize {
        let settings = &self.settings;
        let share = self.engines.iter().count() / settings.engines_per_load.max(1);
        share.max(settings.concurrent_loads)
    }

    fn begin_load(&mut self, now: Instant, wanted: WantedLoad, out: &mut Outputs) {
        let WantedLoad {
            instance,
            model,
            named,
            ..
        } = wanted;
        self.ask_report(&instance, out);
        self.rollout.begin_load(now, instance, model, named);
    }

    /// All loads that would bring an engine to a named version.
    fn wanted_loads(&self, state: &CoordinationState) -> Vec<WantedLoad> {
        let mut wanted = Vec::new();
        for (instance, engine) in self.engines.iter() {
            if engine.record.draining || self.rollout.model_loaded_by(instance).is_some() {
                continue;
            }
            for entry in &engine.record.models {
                let named = state.named_versions().get(&entry.model).copied();
                let named = named.unwrap_or(0);
                if named > entry.version {
                    wanted.push(WantedLoad {
                        instance: instance.clone(),
                        service: engine.record.service.clone(),
                        model: entry.model.clone(),
                        named,
                        lag: named - entry.version,
                    });
                }
            }
        }
        wanted
    }

    /// Whether a load should begin now.
    ///
    /// Work may run on the newest version and the one before, so an engine one version behind is
    /// still of use: it loads only within its model's share of the loads of this version, and not
    /// while long items would stand still for it. An engine that is further behind loads, unless
    /// it has long items and others carry its model meanwhile.
    fn is_worth_it(&self, load: &WantedLoad) -> bool {
        let spares = self.settings.policy.loads_spare_long_items;
        let has_long_items = spares && self.long_running(&load.instance) > 0;
        if load.lag > 1 {
            return !has_long_items || !self.others_carry(load);
        }
        let begun = self.rollout.begun_loads(&load.model, load.named);
        !has_long_items && begun < self.share_of_loads(load)
    }

    /// How many engines of a service load one version of a model, where its models take turns.
    fn share_of_loads(&self, load: &WantedLoad) -> usize {
        let engines = self.engines.of_service(&load.service).count();
        let models = self
            .engines
            .get(&load.instance)
            .map_or(1, |engine| engine.record.models.len());
        engines / models.max(1)
    }

    /// Whether at least half of the engines that serve a model can run what asks for the version
    /// before the newest.
    fn others_carry(&self, load: &WantedLoad) -> bool {
        let (mut all, mut usable) = (0, 0);
        for (_, engine) in self.engines.of_service(&load.service) {
            let Some(version) = engine.record.version_of(&load.model) else {
                continue;
            };
            if engine.record.draining {
                continue;
            }
            all += 1;
            let is_usable = version + 1 >= load.named && engine.loading.is_none();
            usable += usize::from(is_usable);
        }
        usable * 2 >= all
    }

    fn long_running(&self, instance: &InstanceId) -> usize {
        self.engines
            .get(instance)
            .map_or(0, |engine| engine.long_running)
    }
}
