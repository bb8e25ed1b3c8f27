//! The paces of all engines that were measured, by service and zone.

use super::engine::{Engine, EngineNumber};
use super::pace::PaceStep;
use crate::ids::ServiceName;
use crate::registry::ServerRecord;
use std::collections::{BTreeSet, HashMap};

type Paces = BTreeSet<(PaceStep, EngineNumber)>;

/// Engines of known pace, fastest first.
///
/// Invariant: an engine is in the sets of its service, and of its service and zone, with its
/// current pace.
#[derive(Default)]
pub(crate) struct KnownPaces {
    of_service: HashMap<ServiceName, Paces>,
    of_zone: HashMap<(ServiceName, String), Paces>,
}

impl KnownPaces {
    /// Adds an engine if its pace is known.
    pub(crate) fn add(&mut self, engine: &Engine) {
        let step = PaceStep::of(engine.pace.known());
        if step == PaceStep::UNKNOWN {
            return;
        }
        let entry = (step, engine.number);
        let (service, zone) = keys_of(&engine.record);
        self.of_service.entry(service).or_default().insert(entry);
        self.of_zone.entry(zone).or_default().insert(entry);
    }

    /// Removes an engine; its pace and record must be those with which it was added.
    pub(crate) fn remove(&mut self, engine: &Engine) {
        let entry = (PaceStep::of(engine.pace.known()), engine.number);
        let (service, zone) = keys_of(&engine.record);
        remove_from(&mut self.of_service, &service, entry);
        remove_from(&mut self.of_zone, &zone, entry);
    }

    /// Returns the fastest engine of a service.
    pub(crate) fn fastest(&self, service: &ServiceName) -> Option<(PaceStep, EngineNumber)> {
        self.of_service.get(service)?.first().copied()
    }

    /// Returns the median pace of the engines like this one, in milliseconds per event: those of the
    /// same service and zone, else those of the service; `None` if no pace is known.
    pub(crate) fn median(&self, record: &ServerRecord) -> Option<f64> {
        let (service, zone) = keys_of(record);
        let paces = self.of_zone.get(&zone);
        let paces = paces.or_else(|| self.of_service.get(&service))?;
        let (step, _) = paces.iter().nth(paces.len() / 2)?;
        step.milliseconds()
    }
}

fn keys_of(record: &ServerRecord) -> (ServiceName, (ServiceName, String)) {
    let zone = (record.service.clone(), record.zone.clone());
    (record.service.clone(), zone)
}

fn remove_from<Key: std::hash::Hash + Eq>(
    sets: &mut HashMap<Key, Paces>,
    key: &Key,
    entry: (PaceStep, EngineNumber),
) {
    if let Some(paces) = sets.get_mut(key) {
        paces.remove(&entry);
        if paces.is_empty() {
            sets.remove(key);
        }
    }
}
