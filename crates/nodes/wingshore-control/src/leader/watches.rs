//! Long polls of nodes and relays for configuration.

use crate::state::ControlState;
use std::collections::BTreeMap;
use wingshore_types::Instant;
use wingshore_types::ids::Revision;
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::control::ControlReply;

/// A watch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenWatch {
    /// The revision that the watcher holds.
    pub(crate) have: Revision,
    /// It is answered by then in any case.
    pub(crate) deadline: Instant,
    /// The lease that comes with the answer.
    pub(crate) lease_ms: u64,
}

impl OpenWatch {
    fn is_due(&self, now: Instant, newest: Revision) -> bool {
        self.have < newest || self.deadline <= now
    }
}

/// An answer to a watch.
pub(crate) type WatchAnswer = (RequestTag, ControlReply);

/// All watches that wait for news.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    open: BTreeMap<RequestTag, OpenWatch>,
}

impl Watches {
    /// Answers a watch at once when there is news, or else keeps it.
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

    /// Answers for which there is news, or whose time is over.
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
