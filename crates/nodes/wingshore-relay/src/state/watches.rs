//! Open watches, which wait for an update or their deadline.

use super::WatchTag;
use super::nodes::NodeProcess;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::{Instant, Revision};

/// One open watch.
#[derive(Clone, Debug)]
pub(super) struct OpenWatch {
    /// Revision that the watcher holds.
    pub(super) have: Revision,
    /// Time by which the watch is answered, also without an update.
    pub(super) deadline: Instant,
    /// Whether the watcher had no lease on arrival; a first lease then is a reason to answer.
    pub(super) lacked_lease: bool,
    /// Node processes whose acknowledgements the watch contained; the lease applies to all of them.
    pub(super) processes: Vec<NodeProcess>,
}

/// All open watches, indexed by tag and by deadline.
#[derive(Debug, Default)]
pub(super) struct OpenWatches {
    open: BTreeMap<WatchTag, OpenWatch>,
    deadlines: BTreeSet<(Instant, WatchTag)>,
}

impl OpenWatches {
    pub(super) fn insert(&mut self, tag: WatchTag, watch: OpenWatch) {
        self.deadlines.insert((watch.deadline, tag));
        self.open.insert(tag, watch);
    }

    pub(super) fn remove(&mut self, tag: WatchTag) -> Option<OpenWatch> {
        let watch = self.open.remove(&tag)?;
        self.deadlines.remove(&(watch.deadline, tag));
        Some(watch)
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn first_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    pub(super) fn tags(&self) -> Vec<WatchTag> {
        self.open.keys().copied().collect()
    }

    /// Returns the watches whose deadline has passed.
    pub(super) fn expired(&self, now: Instant) -> Vec<WatchTag> {
        let passed = self
            .deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= now);
        passed.map(|(_, tag)| *tag).collect()
    }

    /// Returns the watches for which `is_match` holds, in the order of their tags.
    pub(super) fn matching(&self, is_match: impl Fn(&OpenWatch) -> bool) -> Vec<WatchTag> {
        let matching = self.open.iter().filter(|(_, watch)| is_match(watch));
        matching.map(|(tag, _)| *tag).collect()
    }
}
