//! All known engines, and an index of those with free slots.

use super::engine::{Engine, EngineNumber};
use super::free_slots::{EngineQuery, FreeSlots};
use super::known_paces::KnownPaces;
use super::pace::{PaceChange, PaceStep, pace_of_streams};
use crate::ids::{GatewayId, InstanceId, ModelName, ServiceName};
use crate::registry::{ModelVersion, ServerRecord};
use crate::state::CoordinationState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use wingshore_types::Instant;

/// All engines: servers of the services that the configuration defines as engines.
///
/// Invariant: `free` and `paces` hold each engine with its current attributes. Attributes that
/// determine its position there (see [`FreeSlots`], [`KnownPaces`]) are therefore changed only
/// through [`Engines::change`].
#[derive(Default)]
pub(crate) struct Engines {
    all: BTreeMap<InstanceId, Engine>,
    by_number: HashMap<EngineNumber, InstanceId>,
    /// Number of non-reclaimable engines.
    non_reclaimable: usize,
    /// Number of engines with `awaits_heartbeat`; usually 0.
    awaits_heartbeat: usize,
    next_number: u32,
    free: FreeSlots,
    /// Engines of known pace.
    paces: KnownPaces,
}

impl Engines {
    /// Loads the engines of the replicated state; keeps the data of engines that are still
    /// registered.
    pub(crate) fn begin(&mut self, state: &CoordinationState) {
        let is_gone = |instance: &&InstanceId| !state.servers().contains_key(*instance);
        let gone: Vec<InstanceId> = self.all.keys().filter(is_gone).cloned().collect();
        for instance in gone {
            self.remove(&instance);
        }
        let instances: Vec<InstanceId> = state.servers().keys().cloned().collect();
        for instance in instances {
            self.server_changed(&instance, state);
        }
    }

    /// Updates an engine after its registration changed.
    pub(crate) fn server_changed(&mut self, instance: &InstanceId, state: &CoordinationState) {
        let record = state.servers().get(instance);
        let Some(record) = record.filter(|record| is_engine(&record.service, state)) else {
            return self.remove(instance);
        };
        let slots = slots_of(record, state);
        if !self.all.contains_key(instance) {
            return self.add(record.clone(), slots);
        }
        self.change(instance, |engine| {
            let known = std::mem::replace(&mut engine.record, record.clone());
            for entry in &known.models {
                engine.record.raise_version(&entry.model, entry.version);
            }
            engine.slots = slots;
        });
    }

    fn add(&mut self, record: ServerRecord, slots: usize) {
        let number = EngineNumber(self.next_number);
        self.next_number += 1;
        let instance = record.instance.clone();
        let engine = Engine::new(number, record, slots);
        self.non_reclaimable += usize::from(!engine.record.reclaimable);
        self.free.add(&engine);
        self.by_number.insert(number, instance.clone());
        self.all.insert(instance, engine);
    }

    fn remove(&mut self, instance: &InstanceId) {
        let Some(engine) = self.all.remove(instance) else {
            return;
        };
        self.non_reclaimable -= usize::from(!engine.record.reclaimable);
        self.awaits_heartbeat -= usize::from(engine.awaits_heartbeat);
        self.free.remove(&engine);
        self.by_number.remove(&engine.number);
        self.paces.remove(&engine);
    }

    /// Changes attributes that determine an engine's position in the indexes of free slots and paces.
    fn change(&mut self, instance: &InstanceId, change: impl FnOnce(&mut Engine)) {
        let Some(engine) = self.all.get_mut(instance) else {
            return;
        };
        self.free.remove(engine);
        self.paces.remove(engine);
        change(engine);
        self.paces.add(engine);
        self.free.add(engine);
    }

    /// Returns whether any engine has a free slot.
    pub(crate) fn has_free_slots(&self) -> bool {
        !self.free.is_empty()
    }

    /// Returns, for each allowed version and each number of running items, the fastest engine with
    /// a free slot that `accepts` admits, and one of unknown pace. The best engine for an item is
    /// among them.
    pub(crate) fn fastest_candidates(
        &self,
        query: EngineQuery<'_>,
        accepts: impl Fn(&InstanceId, &Engine) -> bool,
    ) -> Vec<(&InstanceId, &Engine)> {
        let takes = |number| {
            let known = self.numbered(number);
            known.is_some_and(|(instance, engine)| accepts(instance, engine))
        };
        let fastest = self.fastest(query.service).map(|(step, _)| step);
        let best = self.free.fastest_candidates(query, fastest, takes);
        let known = best.into_iter().filter_map(|number| self.numbered(number));
        known.collect()
    }

    fn numbered(&self, number: EngineNumber) -> Option<(&InstanceId, &Engine)> {
        self.all.get_key_value(self.by_number.get(&number)?)
    }

    /// Returns whether a service that is not in `excluded` has engines with free slots.
    pub(crate) fn has_free_slots_outside(&self, excluded: &BTreeSet<ServiceName>) -> bool {
        self.free.has_others_than(excluded)
    }

    /// Returns an engine.
    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&Engine> {
        self.all.get(instance)
    }

    /// Records the model whose weights an engine loads; `None` if it loads none.
    pub(crate) fn set_loading(&mut self, instance: &InstanceId, model: Option<ModelName>) {
        if let Some(engine) = self.all.get_mut(instance) {
            engine.loading = model;
        }
    }

    /// Gives an engine no items before `until`.
    pub(crate) fn defer_until(&mut self, instance: &InstanceId, until: Instant) {
        if let Some(engine) = self.all.get_mut(instance) {
            engine.ejected_until = engine.ejected_until.max(until);
        }
    }

    /// Gives an engine no items before its next heartbeat, after a connection to its address was
    /// refused.
    pub(crate) fn await_heartbeat(&mut self, instance: &InstanceId) {
        if let Some(engine) = self.all.get_mut(instance) {
            let did_await = std::mem::replace(&mut engine.awaits_heartbeat, true);
            self.awaits_heartbeat += usize::from(!did_await);
        }
    }

    /// Records a heartbeat of an engine.
    pub(crate) fn heartbeat_received(&mut self, instance: &InstanceId) {
        if self.awaits_heartbeat == 0 {
            return;
        }
        if let Some(engine) = self.all.get_mut(instance) {
            let did_await = std::mem::replace(&mut engine.awaits_heartbeat, false);
            self.awaits_heartbeat -= usize::from(did_await);
        }
    }

    /// Records the versions that an engine reports; returns those that are newer than known.
    pub(crate) fn raise_versions(
        &mut self,
        instance: &InstanceId,
        models: &[ModelVersion],
    ) -> Vec<ModelVersion> {
        let mut risen = Vec::new();
        let is_news = |engine: &Engine| {
            let mut models = models.iter();
            models.any(|entry| {
                let known = engine.record.version_of(&entry.model);
                known.is_some_and(|known| known < entry.version)
            })
        };
        if !self.get(instance).is_some_and(is_news) {
            return risen;
        }
        self.change(instance, |engine| {
            for entry in models {
                if engine.record.raise_version(&entry.model, entry.version) {
                    risen.push(entry.clone());
                }
            }
        });
        risen
    }

    /// Records that an engine has finished loading; its streams are steady from `steady_from` on.
    pub(crate) fn loaded(&mut self, instance: &InstanceId, steady_from: Instant) {
        if let Some(engine) = self.all.get_mut(instance)
            && engine.loading.take().is_some()
        {
            engine.unsteady_until = steady_from;
        }
    }

    /// Iterates over all engines.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Engine)> {
        self.all.iter()
    }

    /// Returns the number of non-reclaimable engines.
    pub(crate) fn non_reclaimable(&self) -> usize {
        self.non_reclaimable
    }

    /// Returns the number of engines.
    pub(crate) fn count(&self) -> usize {
        self.all.len()
    }

    /// Returns the largest number of models that one engine serves; at least one.
    pub(crate) fn max_models_per_engine(&self) -> usize {
        let counts = self.all.values().map(|engine| engine.record.models.len());
        counts.max().unwrap_or(1).max(1)
    }

    /// Records that an item was assigned to an engine through `gateway`.
    pub(crate) fn item_started(&mut self, instance: &InstanceId, gateway: GatewayId) {
        self.change(instance, |engine| {
            engine.running += 1;
            engine.gateway = Some(gateway);
        });
    }

    /// Records that an item assigned to an engine has ended.
    pub(crate) fn item_ended(&mut self, instance: &InstanceId) {
        self.change(instance, |engine| {
            engine.running = engine.running.saturating_sub(1);
        });
    }

    /// Records that streams of an engine delivered `events` in `time`, summed over the streams.
    pub(crate) fn record_pace(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        events: u64,
        time: Duration,
    ) {
        let Some(engine) = self.all.get_mut(instance) else {
            return;
        };
        if events == 0 {
            return;
        }
        let mut pace = engine.pace;
        if pace.record(pace_of_streams(engine.running, events, time)) == PaceChange::Slower {
            engine.slowed_at = Some(now);
        }
        if PaceStep::of(engine.pace.known()) == PaceStep::of(pace.known()) {
            engine.pace = pace;
        } else {
            self.change(instance, |engine| engine.pace = pace);
        }
    }

    /// Clears the numbers of long items of all engines.
    pub(crate) fn clear_long_running(&mut self) {
        for engine in self.all.values_mut() {
            engine.long_running.clear();
        }
    }

    /// Counts a long item of `model` that runs on an engine.
    pub(crate) fn add_long_running(&mut self, instance: &InstanceId, model: &ModelName) {
        let Some(engine) = self.all.get_mut(instance) else {
            return;
        };
        match engine.long_running.get_mut(model) {
            Some(count) => *count += 1,
            None => {
                engine.long_running.insert(model.clone(), 1);
            }
        }
    }

    /// Returns the best pace of the engines of a service, in milliseconds per event, accurate to
    /// one [`PaceStep`]; `None` if no pace is known.
    pub(crate) fn best_pace(&self, service: &ServiceName) -> Option<f64> {
        let (_, fastest) = self.fastest(service)?;
        self.numbered(fastest)?.1.pace.known()
    }

    fn fastest(&self, service: &ServiceName) -> Option<(PaceStep, EngineNumber)> {
        self.paces.fastest(service)
    }

    /// Returns the pace of an engine in milliseconds per event: its own, else the median of the
    /// engines like it; `None` if none of these was measured.
    pub(crate) fn known_or_usual_pace(&self, engine: &Engine) -> Option<f64> {
        let known = engine.pace.known();
        known.or_else(|| self.paces.median(&engine.record))
    }

    /// Resets the consecutive faults of an engine on which an item completed.
    pub(crate) fn item_completed(&mut self, instance: &InstanceId) {
        if let Some(engine) = self.all.get_mut(instance) {
            engine.faults = 0;
        }
    }

    /// Counts a fault of an engine and gives it no items before `until`.
    pub(crate) fn eject(&mut self, instance: &InstanceId, until: Instant) {
        if let Some(engine) = self.all.get_mut(instance) {
            engine.ejected_until = until;
            engine.faults += 1;
        }
    }
}

/// Returns the number of items that an engine runs at once: the smaller of its own number and the
/// configured one, at least one.
fn slots_of(record: &ServerRecord, state: &CoordinationState) -> usize {
    let profile = state
        .configuration()
        .and_then(|configuration| configuration.service(&record.service))
        .and_then(|service| service.engine.as_ref());
    let most = profile.map_or(u32::MAX, |profile| profile.slots);
    record.slots.min(most).max(1) as usize
}

fn is_engine(service: &ServiceName, state: &CoordinationState) -> bool {
    let configuration = state.configuration();
    configuration
        .and_then(|configuration| configuration.service(service))
        .is_some_and(|service| service.engine.is_some())
}
