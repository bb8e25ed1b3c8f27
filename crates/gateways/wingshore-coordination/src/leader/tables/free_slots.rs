//! Index of engines with free slots, ordered so that the best engine for an item is found without a
//! scan of all engines.
//!
//! The cost of placing an item does not grow with the number of engines.

use super::engine::{Engine, EngineNumber};
use super::pace::PaceStep;
use crate::ids::{ModelName, ServiceName};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;

/// Whether a gateway has connections to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Connected {
    Yes,
    No,
}

/// Sort key of an engine among those that hold the same version of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    running: usize,
    connected: Connected,
    pace: PaceStep,
    number: EngineNumber,
}

/// Engines of one service that serve one model; all engines of the service if `model` is `None`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Group {
    service: ServiceName,
    model: Option<ModelName>,
}

/// Index of engines with free slots.
///
/// Invariant: an engine is in the group of each of its models, at the version that it holds, and in
/// the group without a model. Draining and full engines are not in the index.
#[derive(Default)]
pub(crate) struct FreeSlots {
    groups: HashMap<Group, BTreeMap<u64, BTreeSet<SortKey>>>,
    engines: usize,
}

impl FreeSlots {
    /// Returns whether no engine has a free slot.
    pub(crate) fn is_empty(&self) -> bool {
        self.engines == 0
    }

    /// Returns whether an engine of a service that is not in `excluded` is in the index.
    pub(crate) fn has_others_than(&self, excluded: &BTreeSet<ServiceName>) -> bool {
        let groups = self.groups.iter();
        let any_model = groups.filter(|(group, _)| group.model.is_none());
        let mut with_engines = any_model.filter(|(_, versions)| !versions.is_empty());
        with_engines.any(|(group, _)| !excluded.contains(&group.service))
    }

    /// Adds an engine if it has a free slot.
    pub(crate) fn add(&mut self, engine: &Engine) {
        if !is_free(engine) {
            return;
        }
        self.engines += 1;
        let key = sort_key_of(engine);
        for (group, version) in groups_of(engine) {
            let versions = self.groups.entry(group).or_default();
            versions.entry(version).or_default().insert(key);
        }
    }

    /// Removes an engine; its attributes must be those with which it was added.
    pub(crate) fn remove(&mut self, engine: &Engine) {
        if !is_free(engine) {
            return;
        }
        self.engines -= 1;
        let key = sort_key_of(engine);
        for (group, version) in groups_of(engine) {
            let Some(versions) = self.groups.get_mut(&group) else {
                continue;
            };
            if let Some(keys) = versions.get_mut(&version) {
                keys.remove(&key);
                if keys.is_empty() {
                    versions.remove(&version);
                }
            }
        }
    }

    /// Returns, for each allowed version and each number of running items, the fastest engine that
    /// `takes` admits, and the first one of unknown pace. The best engine for an item is among them,
    /// since of two engines that differ only in pace the faster one is better. An engine without a connection is returned only if
    /// the connected one is not similar in pace to the `fastest` known engine.
    pub(crate) fn fastest_candidates(
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
            for (_, keys) in versions.range(query.min_version..) {
                add_fastest_of_version(keys, query.scan, fastest, &takes, &mut best);
            }
        }
        best
    }
}

/// Adds to `best` the fastest engine at one version for each number of running items.
fn add_fastest_of_version(
    keys: &BTreeSet<SortKey>,
    scan: Scan,
    fastest: Option<PaceStep>,
    takes: &impl Fn(EngineNumber) -> bool,
    best: &mut Vec<EngineNumber>,
) {
    let mut next = keys.first().copied();
    while let Some(first) = next {
        let running = first.running;
        let found = |connected| {
            let unknown = scan.range_of_unknown(running, connected);
            let unknown = unknown.and_then(|range| first_taken(keys.range(range), scan, takes));
            let known = scan.range_of_known(running, connected);
            (unknown, first_taken(keys.range(known), scan, takes))
        };
        let (unknown, known) = found(Connected::Yes);
        best.extend(unknown.into_iter().chain(known).map(|key| key.number));
        let is_similar = known.is_some_and(|key| key.pace.is_similar(fastest));
        if unknown.is_none() && !is_similar {
            let (unknown, known) = found(Connected::No);
            best.extend(unknown.into_iter().chain(known).map(|key| key.number));
        }
        let with_more_items = start_key(running + 1, Connected::Yes, PaceStep::UNKNOWN);
        next = keys.range(with_more_items..).next().copied();
    }
}

/// Returns the first of the examined engines that `takes` admits.
fn first_taken<'a>(
    keys: impl Iterator<Item = &'a SortKey>,
    scan: Scan,
    takes: &impl Fn(EngineNumber) -> bool,
) -> Option<SortKey> {
    let mut scanned = keys.take(scan.max_scanned());
    scanned.find(|key| takes(key.number)).copied()
}

/// Returns the sort key at which engines with `running` items, of this connection state and at least
/// this pace step, begin.
fn start_key(running: usize, connected: Connected, pace: PaceStep) -> SortKey {
    let number = EngineNumber(0);
    SortKey {
        running,
        connected,
        pace,
        number,
    }
}

/// Criteria of a search for engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineQuery<'a> {
    /// The service of the engines.
    pub(crate) service: &'a ServiceName,
    /// The model that they serve; any engine if `None`.
    pub(crate) model: Option<&'a ModelName>,
    /// The oldest version of the model that they may hold.
    pub(crate) min_version: u64,
    /// Which of them are examined.
    pub(crate) scan: Scan,
}

/// Which engines are examined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scan {
    /// All of them until one takes the item, so that none is missed.
    Any,
    /// A few of known pace, fastest first; for optional actions.
    FastestKnown,
}

impl Scan {
    /// Returns the sort keys of the engines of unknown pace with `running` items and this connection
    /// state; `None` if they are not examined.
    fn range_of_unknown(self, running: usize, connected: Connected) -> Option<Range<SortKey>> {
        let from = start_key(running, connected, PaceStep::UNKNOWN);
        let to = start_key(running, connected, PaceStep::FASTEST);
        (self == Self::Any).then_some(from..to)
    }

    /// Returns the sort keys of the engines of known pace with `running` items and this connection
    /// state.
    fn range_of_known(self, running: usize, connected: Connected) -> Range<SortKey> {
        let from = start_key(running, connected, PaceStep::FASTEST);
        let to = match connected {
            Connected::Yes => start_key(running, Connected::No, PaceStep::UNKNOWN),
            Connected::No => start_key(running + 1, Connected::Yes, PaceStep::UNKNOWN),
        };
        from..to
    }

    /// Returns the maximum number of examined engines of the same version and number of running
    /// items.
    fn max_scanned(self) -> usize {
        /// With a higher limit, each progress report of an item at a site of 3,000 servers costs as
        /// much as examining all engines that have no free slot left.
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

fn sort_key_of(engine: &Engine) -> SortKey {
    SortKey {
        running: engine.running,
        connected: match engine.gateway {
            Some(_) => Connected::Yes,
            None => Connected::No,
        },
        pace: PaceStep::of(engine.pace.known()),
        number: engine.number,
    }
}

/// Returns the groups of an engine, with the version that it holds in each.
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
