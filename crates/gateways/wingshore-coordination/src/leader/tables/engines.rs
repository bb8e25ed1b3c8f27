//! All engines that the leader knows, and an index of those with free slots.

use super::engine::{Engine, EngineNumber};
use super::free_slots::{EngineQuery, FreeSlots};
use super::pace::{PaceStep, measured};
use crate::ids::{GatewayId, InstanceId, ModelName, ServiceName};
use crate::registry::{ModelVersion, ServerRecord};
use crate::state::CoordinationState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use wingshore_types::Instant;

/// All engines: servers of services that the configuration says are engines.
///
/// Invariant: an engine stands in `free` as it is; so what decides its place there (see
/// [`FreeSlots`]) is changed by [`Engines::change`] only.
#[derive(Default)]
pub(crate) struct Engines {
    all: BTreeMap<InstanceId, Engine>,
    by_number: HashMap<EngineNumber, InstanceId>,
    /// How many nobody takes away.
    staying: usize,
    /// How many are awaits_heartbeat of: usually none.
    awaits_heartbeat: usize,
    next_number: u32,
    free: FreeSlots,
    /// Engines whose pace is known, the fastest first, by their service.
    paces: HashMap<ServiceName, BTreeSet<(PaceStep, EngineNumber)>>,
}

impl Engines {
    /// Takes over what the state holds; keeps what is known of engines that are still there.
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

    /// The registry holds something else of this server.
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
        self.staying += usize::from(!engine.record.reclaimable);
        self.free.add(&engine);
        self.by_number.insert(number, instance.clone());
        self.all.insert(instance, engine);
    }

    fn remove(&mut self, instance: &InstanceId) {
        let Some(engine) = self.all.remove(instance) else {
            return;
        };
        self.staying -= usize::from(!engine.record.reclaimable);
        self.awaits_heartbeat -= usize::from(engine.awaits_heartbeat);
        self.free.remove(&engine);
        self.by_number.remove(&engine.number);
        self.forget_pace(&engine);
    }

    /// Changes what decides an engine's place among those with free slots.
    fn change(&mut self, instance: &InstanceId, change: impl FnOnce(&mut Engine)) {
        let Some(engine) = self.all.get_mut(instance) else {
            return;
        };
        self.free.remove(engine);
        change(engine);
        self.free.add(engine);
    }

    /// Whether any engine runs fewer items than it can.
    pub(crate) fn has_free_slots(&self) -> bool {
        !self.free.is_empty()
    }

    /// For each version from the lowest allowed on, and each number of items that run on an engine,
    /// the fastest engine with a free slot that `accepts` takes: the best one is among them. Engines
    /// whose pace is not known come first.
    pub(crate) fn best_of_each(
        &self,
        query: EngineQuery<'_>,
        accepts: impl Fn(&InstanceId, &Engine) -> bool,
    ) -> Vec<(&InstanceId, &Engine)> {
        let takes = |number| {
            let known = self.numbered(number);
            known.is_some_and(|(instance, engine)| accepts(instance, engine))
        };
        let fastest = self.fastest(query.service).map(|(step, _)| step);
        let best = self.free.best_of_each(query, fastest, takes);
        let known = best.into_iter().filter_map(|number| self.numbered(number));
        known.collect()
    }

    fn numbered(&self, number: EngineNumber) -> Option<(&InstanceId, &Engine)> {
        self.all.get_key_value(self.by_number.get(&number)?)
    }

    /// How many services have engines with free slots.
    pub(crate) fn services_with_free_slots(&self) -> usize {
        self.free.services()
    }

    /// An engine.
    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&Engine> {
        self.all.get(instance)
    }

    /// It loads weights of a model, or none.
    pub(crate) fn set_loading(&mut self, instance: &InstanceId, model: Option<ModelName>) {
        if let Some(engine) = self.all.get_mut(instance) {
            engine.loading = model;
        }
    }

    /// It gets no items before `until`.
    pub(crate) fn defer_until(&mut self, instance: &InstanceId, until: Instant) {
        if let Some(engine) = self.all.get_mut(instance) {
            engine.ejected_until = engine.ejected_until.max(until);
        }
    }

    /// Nobody listens at its address: it gets no items before its next heartbeat.
    pub(crate) fn await_heartbeat(&mut self, instance: &InstanceId) {
        if let Some(engine) = self.all.get_mut(instance) {
            let did_await = std::mem::replace(&mut engine.awaits_heartbeat, true);
            self.awaits_heartbeat += usize::from(!did_await);
        }
    }

    /// It was heard of.
    pub(crate) fn heard(&mut self, instance: &InstanceId) {
        if self.awaits_heartbeat == 0 {
            return;
        }
        if let Some(engine) = self.all.get_mut(instance) {
            let did_await = std::mem::replace(&mut engine.awaits_heartbeat, false);
            self.awaits_heartbeat -= usize::from(did_await);
        }
    }

    /// It has reported its versions; gives those that are news.
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

    /// It has loaded what it was loading: its streams are steady again from `steady_from` on.
    pub(crate) fn loaded(&mut self, instance: &InstanceId, steady_from: Instant) {
        if let Some(engine) = self.all.get_mut(instance)
            && engine.loading.take().is_some()
        {
            engine.unsteady_until = steady_from;
        }
    }

    /// All engines.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Engine)> {
        self.all.iter()
    }

    /// How many there are that their provider does not take away.
    pub(crate) fn staying(&self) -> usize {
        self.staying
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.all.len()
    }

    /// The most models that one engine serves; at least one.
    pub(crate) fn models_of_an_engine(&self) -> usize {
        let counts = self.all.values().map(|engine| engine.record.models.len());
        counts.max().unwrap_or(1).max(1)
    }

    /// An item was assigned to it, through a gateway.
    pub(crate) fn started(&mut self, instance: &InstanceId, gateway: GatewayId) {
        self.change(instance, |engine| {
            engine.running += 1;
            engine.gateway = Some(gateway);
        });
    }

    /// An item that was assigned to it is over.
    pub(crate) fn ended(&mut self, instance: &InstanceId) {
        self.change(instance, |engine| {
            engine.running = engine.running.saturating_sub(1);
        });
    }

    /// A stream of it brought `events` in `time`.
    pub(crate) fn paced(&mut self, instance: &InstanceId, events: u64, time: Duration) {
        let Some(engine) = self.all.get_mut(instance) else {
            return;
        };
        if events == 0 {
            return;
        }
        let pace = Some(measured(engine.pace, engine.running, events, time));
        let (before, after) = (PaceStep::of(engine.pace), PaceStep::of(pace));
        if before == after {
            engine.pace = pace;
            return;
        }
        let number = engine.number;
        let paces = self.paces.entry(engine.record.service.clone()).or_default();
        paces.remove(&(before, number));
        paces.insert((after, number));
        self.change(instance, |engine| engine.pace = pace);
    }

    fn forget_pace(&mut self, engine: &Engine) {
        if let Some(paces) = self.paces.get_mut(&engine.record.service) {
            paces.remove(&(PaceStep::of(engine.pace), engine.number));
        }
    }

    /// Forgets which long items run on each.
    pub(crate) fn clear_long_running(&mut self) {
        for engine in self.all.values_mut() {
            engine.long_running.clear();
        }
    }

    /// A long item of `model` runs on it.
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

    /// The best pace of any engine of a service, in milliseconds an event, within a step of paces.
    pub(crate) fn best_pace(&self, service: &ServiceName) -> Option<f64> {
        let (_, fastest) = self.fastest(service)?;
        self.numbered(fastest)?.1.pace
    }

    fn fastest(&self, service: &ServiceName) -> Option<(PaceStep, EngineNumber)> {
        self.paces.get(service)?.first().copied()
    }

    /// An item ran whole on it.
    pub(crate) fn succeeded(&mut self, instance: &InstanceId) {
        if let Some(engine) = self.all.get_mut(instance) {
            engine.faults = 0;
        }
    }

    /// It is at fault once more: it gets no items before `until`.
    pub(crate) fn eject(&mut self, instance: &InstanceId, until: Instant) {
        if let Some(engine) = self.all.get_mut(instance) {
            engine.ejected_until = until;
            engine.faults += 1;
        }
    }
}

/// Requests that an engine runs at once, by its own word and by the configuration.
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
