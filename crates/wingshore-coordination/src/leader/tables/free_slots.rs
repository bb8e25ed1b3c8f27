//! Engines with free slots, in an order in which the best one for an item is found without a look
//! at all of them.
//!
//! With 2,500 engines a look at each of them took 230 µs for each item that was placed, four fifths
//! of a core at 3,500 items a second; by this index it takes some 10 µs, whatever their number
//! (a group of one member, jobs of twice the slots, one core).

use super::engines::Engine;
use crate::ids::{ModelName, ServiceName};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Paces that differ by less than a part of this many of a doubling count as one: they change with
/// each measurement, and an engine is put in another place only where that can matter.
const PACE_STEPS_OF_A_DOUBLING: f64 = 64.0;
/// Paces below a thousandth of a millisecond count as that.
const LEAST_PACE_MS: f64 = 0.001;

/// Names an engine within one leader's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EngineNumber(pub(crate) u32);

/// The step in which an engine's pace falls; lower ones are faster. Unknown paces come first: they
/// count as the best one known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PaceStep(Option<u32>);

impl PaceStep {
    /// Of a pace in milliseconds.
    pub(crate) fn of(pace: Option<f64>) -> Self {
        let steps = |pace: f64| {
            let doublings = (pace.max(LEAST_PACE_MS) / LEAST_PACE_MS).log2();
            (doublings * PACE_STEPS_OF_A_DOUBLING) as u32
        };
        Self(pace.map(steps))
    }

    /// Whether it is about as good as the fastest known one.
    fn is_similar(self, fastest: Option<Self>) -> bool {
        match (self.0, fastest.and_then(|fastest| fastest.0)) {
            (Some(own), Some(fastest)) => own <= fastest + SIMILAR_STEPS,
            // Nothing speaks against one of unknown pace that is connected already.
            (None, _) | (_, None) => true,
        }
    }
}

/// An engine without a connection is left for items that find no idle one with a connection, of
/// which the pace is at most this many steps, 3 %, behind the fastest known: as much as paces that
/// are measured once differ by chance. Engines of unknown pace count as the best, so that each item
/// of a site with many more engines than items would go to one that nothing is known of, on a new
/// connection.
const SIMILAR_STEPS: u32 = 3;

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

    /// For each version from `min_version` on and each number of items that run on an engine, the
    /// engine with the best pace of which `takes` holds: the best one for an item is among them,
    /// since of two such engines that differ in pace only, the faster is better. One without a
    /// connection is among them only where that is not similar to the `fastest` known pace.
    pub(crate) fn best_of_each(
        &self,
        (service, fastest): (&ServiceName, Option<PaceStep>),
        model: Option<&ModelName>,
        min_version: u64,
        look: Look,
        takes: impl Fn(EngineNumber) -> bool,
    ) -> Vec<EngineNumber> {
        let group = Group {
            service: service.clone(),
            model: model.cloned(),
        };
        let mut best = Vec::new();
        let Some(versions) = self.groups.get(&group) else {
            return best;
        };
        for places in versions.range(min_version..).map(|(_, places)| places) {
            let mut next = places.first().copied();
            while let Some(first) = next {
                let found = |connected: Connected| {
                    let alike = places.range(look.begin_of(first.running, connected)..);
                    let alike = alike.take_while(|place| {
                        place.running == first.running && place.connected == connected
                    });
                    let mut looked_at = alike.take(look.most_looks());
                    looked_at.find(|place| takes(place.number)).copied()
                };
                let connected = found(Connected::Yes);
                best.extend(connected.map(|place| place.number));
                if !connected.is_some_and(|place| place.pace.is_similar(fastest)) {
                    best.extend(found(Connected::No).map(|place| place.number));
                }
                next = places
                    .range(Look::Any.begin_of(first.running + 1, Connected::Yes)..)
                    .next()
                    .copied();
            }
        }
        best
    }
}

/// Which engines are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Look {
    /// All, until one takes the item: none is to be left out.
    Any,
    /// Some of those whose pace is known, the fastest first: for what need not be done at all.
    FastestKnown,
}

impl Look {
    /// Before the engines that run `running` items, and have connections or have none.
    fn begin_of(self, running: usize, connected: Connected) -> Place {
        let pace = match self {
            Self::Any => PaceStep(None),
            Self::FastestKnown => PaceStep(Some(0)),
        };
        let number = EngineNumber(0);
        Place {
            running,
            connected,
            pace,
            number,
        }
    }

    /// Engines with the same version and as many items that are looked at.
    fn most_looks(self) -> usize {
        /// With more, each item of a site of 3,000 servers that tells how far it is costs as much as
        /// all engines without a free slot to spare.
        const MOST_OF_FASTEST: usize = 8;
        match self {
            Self::Any => usize::MAX,
            Self::FastestKnown => MOST_OF_FASTEST,
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
