//! Long polls of nodes and relays for configuration.

use crate::state::ControlState;
use std::collections::BTreeMap;
use wingshore_types::Instant;
use wingshore_types::ids::Revision;
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::control::ControlReply;

/// A watch that waits for news.
#[derive(Clone, Copy, Debug)]
struct OpenWatch {
    have: Revision,
    deadline: Instant,
    lease_ms: u64,
}

/// An answer to a watch.
pub(crate) type WatchAnswer = (RequestTag, ControlReply);

/// All watches that wait for news.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    open: BTreeMap<RequestTag, OpenWatch>,
}

impl Watches {
    /// Takes a watch in; with news at hand [`Watches::answer_due`] answers it at once.
    pub(crate) fn add(
        &mut self,
        tag: RequestTag,
        have: Revision,
        deadline: Instant,
        lease_ms: u64,
    ) {
        let watch = OpenWatch {
            have,
            deadline,
            lease_ms,
        };
        self.open.insert(tag, watch);
    }

    /// Answers for which there is news, or whose time is over.
    pub(crate) fn answer_due(&mut self, now: Instant, state: &ControlState) -> Vec<WatchAnswer> {
        let newest = state.configuration().revision;
        let is_due = |watch: &OpenWatch| watch.have < newest || watch.deadline <= now;
        let due = self.open.iter().filter(|(_, watch)| is_due(watch));
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
