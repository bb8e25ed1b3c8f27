//! Engines with free slots, in an order in which the best one for an item is found without a scan
//! of all of them.
//!
//! The cost of placing an item does not grow with the number of engines.

use super::engine::{Engine, EngineNumber};
use super::pace::PaceStep;
use crate::ids::{ModelName, ServiceName};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Whether the gateway through which an engine's items go has connections to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Connected {
    Yes,
    No,
}

/// An engine's place among those that hold the same version of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    running: usize,
    connected: Connected,
    pace: PaceStep,
    number: EngineNumber,
}

/// Engines of one service that serve one model, or any item where none is named.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Group {
    service: ServiceName,
    model: Option<ModelName>,
}

/// Engines with free slots.
///
/// Invariant: an engine stands in the group of each of its models, at the version that it holds, and
/// in the group without a model; none that is draining or full is here.
#[derive(Default)]
pub(crate) struct FreeSlots {
    groups: HashMap<Group, BTreeMap<u64, BTreeSet<Place>>>,
    engines: usize,
}

impl FreeSlots {
    /// Whether no engine has a free slot.
    pub(crate) fn is_empty(&self) -> bool {
        self.engines == 0
    }

    /// How many services have an engine here.
    pub(crate) fn services(&self) -> usize {
        let groups = self.groups.iter();
        let any_model = groups.filter(|(group, _)| group.model.is_none());
        any_model
            .filter(|(_, versions)| !versions.is_empty())
            .count()
    }

    /// Adds an engine, if it has a free slot.
    pub(crate) fn add(&mut self, engine: &Engine) {
        if !is_free(engine) {
            return;
        }
        self.engines += 1;
        let place = place_of(engine);
        for (group, version) in groups_of(engine) {
            let versions = self.groups.entry(group).or_default();
            versions.entry(version).or_default().insert(place);
        }
    }

    /// Removes an engine, which is as it was when it was added.
    pub(crate) fn remove(&mut self, engine: &Engine) {
        if !is_free(engine) {
            return;
        }
        self.engines -= 1;
        let place = place_of(engine);
        for (group, version) in groups_of(engine) {
            let Some(versions) = self.groups.get_mut(&group) else {
                continue;
            };
            if let Some(places) = versions.get_mut(&version) {
                places.remove(&place);
                if places.is_empty() {
                    versions.remove(&version);
                }
            }
        }
    }

    /// For each version from the lowest allowed on and each number of items that run on an engine, the
    /// engine with the best pace of which `takes` holds: the best one for an item is among them,
    /// since of two such engines that differ in pace only, the faster is better. One without a
    /// connection is among them only where that is not similar to the `fastest` known pace.
    pub(crate) fn best_of_each(
        &self,
        query: EngineQuery<'_>,
        fastest: Option<PaceStep>,
        takes: impl Fn(EngineNumber) -> bool,
    ) -> Vec<EngineNumber> {
        let group = Group {
            service: query.service.clone(),
            model: query.model.cloned(),
        };
        let mut best = Vec::new();
        if let Some(versions) = self.groups.get(&group) {
            for (_, places) in versions.range(query.min_version..) {
                best_of_version(places, query.scan, fastest, &takes, &mut best);
            }
        }
        best
    }
}

/// For each number of items that run on engines at one version, adds the best of these engines.
fn best_of_version(
    places: &BTreeSet<Place>,
    scan: Scan,
    fastest: Option<PaceStep>,
    takes: &impl Fn(EngineNumber) -> bool,
    best: &mut Vec<EngineNumber>,
) {
    let mut next = places.first().copied();
    while let Some(first) = next {
        let found = |connected: Connected| {
            let alike = places.range(scan.begin_of(first.running, connected)..);
            let alike = alike
                .take_while(|place| place.running == first.running && place.connected == connected);
            let mut scanned = alike.take(scan.max_scanned());
            scanned.find(|place| takes(place.number)).copied()
        };
        let connected = found(Connected::Yes);
        best.extend(connected.map(|place| place.number));
        if !connected.is_some_and(|place| place.pace.is_similar(fastest)) {
            best.extend(found(Connected::No).map(|place| place.number));
        }
        let with_more_items = Scan::Any.begin_of(first.running + 1, Connected::Yes);
        next = places.range(with_more_items..).next().copied();
    }
}

/// Engines that are asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineQuery<'a> {
    /// Of this service.
    pub(crate) service: &'a ServiceName,
    /// That serve this model; any engine where none is named.
    pub(crate) model: Option<&'a ModelName>,
    /// That hold this version of it, or a newer one.
    pub(crate) min_version: u64,
    /// Which of them are examined.
    pub(crate) scan: Scan,
}

/// Which engines are examined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scan {
    /// All, until one takes the item: none is to be left out.
    Any,
    /// Some of those whose pace is known, the fastest first: for what need not be done at all.
    FastestKnown,
}

impl Scan {
    /// Before the engines that run `running` items, and have connections or have none.
    fn begin_of(self, running: usize, connected: Connected) -> Place {
        let pace = match self {
            Self::Any => PaceStep::UNKNOWN,
            Self::FastestKnown => PaceStep::FASTEST,
        };
        let number = EngineNumber(0);
        Place {
            running,
            connected,
            pace,
            number,
        }
    }

    /// Engines with the same version and as many items that are examined.
    fn max_scanned(self) -> usize {
        /// With more, each item whose progress is reported, at a site of 3,000 servers, costs as much as
        /// all engines that have no free slot left.
        const MAX_FASTEST: usize = 8;
        match self {
            Self::Any => usize::MAX,
            Self::FastestKnown => MAX_FASTEST,
        }
    }
}

fn is_free(engine: &Engine) -> bool {
    !engine.record.draining && engine.running < engine.slots
}

fn place_of(engine: &Engine) -> Place {
    Place {
        running: engine.running,
        connected: match engine.gateway {
            Some(_) => Connected::Yes,
            None => Connected::No,
        },
        pace: PaceStep::of(engine.pace),
        number: engine.number,
    }
}

/// The groups of an engine, and the version that it holds in each.
fn groups_of(engine: &Engine) -> impl Iterator<Item = (Group, u64)> + '_ {
    let service = &engine.record.service;
    let group = move |model: Option<&ModelName>| Group {
        service: service.clone(),
        model: model.cloned(),
    };
    let models = engine.record.models.iter();
    let models = models.map(move |entry| (group(Some(&entry.model)), entry.version));
    std::iter::once((group(None), 0)).chain(models)
}
