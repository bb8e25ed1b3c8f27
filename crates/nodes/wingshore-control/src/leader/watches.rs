//! Long polls of nodes and relays for configuration.

use crate::state::ControlState;
use std::collections::BTreeMap;
use wingshore_types::Instant;
use wingshore_types::ids::Revision;
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::control::ControlReply;

/// A watch that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenWatch {
    /// Revision that the watcher has.
    pub(crate) have: Revision,
    /// When it is answered even without a newer revision.
    pub(crate) deadline: Instant,
    /// Lease granted with the answer, in milliseconds.
    pub(crate) lease_ms: u64,
}

impl OpenWatch {
    fn is_due(&self, now: Instant, newest: Revision) -> bool {
        self.have < newest || self.deadline <= now
    }
}

/// The request tag of a watch and its answer.
pub(crate) type WatchAnswer = (RequestTag, ControlReply);

/// Open watches, which wait for a newer revision.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    open: BTreeMap<RequestTag, OpenWatch>,
}

impl Watches {
    /// Answers a watch at once if there is a newer revision or its deadline has passed; otherwise
    /// keeps it open.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        tag: RequestTag,
        watch: OpenWatch,
        state: &ControlState,
    ) -> Option<ControlReply> {
        if watch.is_due(now, state.configuration().revision) {
            return Some(answer(&watch, state));
        }
        self.open.insert(tag, watch);
        None
    }

    /// Removes and answers the watches that have a newer revision or whose deadline has passed.
    pub(crate) fn answer_due(&mut self, now: Instant, state: &ControlState) -> Vec<WatchAnswer> {
        let newest = state.configuration().revision;
        let due = self
            .open
            .iter()
            .filter(|(_, watch)| watch.is_due(now, newest));
        let answers: Vec<WatchAnswer> = due
            .map(|(tag, watch)| (*tag, answer(watch, state)))
            .collect();
        for (tag, _) in &answers {
            self.open.remove(tag);
        }
        answers
    }
}

fn answer(watch: &OpenWatch, state: &ControlState) -> ControlReply {
    ControlReply::Update {
        update: state.update_since(watch.have),
        lease_ms: watch.lease_ms,
    }
}
