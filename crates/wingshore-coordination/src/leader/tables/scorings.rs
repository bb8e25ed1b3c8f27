//! Which texts wait for their scores, and which gateways have scorings in hand.

use crate::ids::{GatewayId, ItemKey, JobId};
use crate::messages::AssignmentId;
use crate::state::CoordinationState;
use std::collections::BTreeMap;
use wingshore_types::Instant;

/// A scoring that a gateway has in hand.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) item: ItemKey,
    pub(crate) made_by: AssignmentId,
    pub(crate) gateway: GatewayId,
    /// When the gateway last spoke of it.
    pub(crate) heard: Instant,
}

/// A text whose score nobody asks for at present.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) made_by: AssignmentId,
    pub(crate) not_before: Instant,
}

/// All scorings of this leadership.
///
/// Invariant: an item is in at most one of `waiting` and `running`.
#[derive(Default)]
pub(crate) struct Scorings {
    pub(crate) waiting: BTreeMap<ItemKey, Waiting>,
    pub(crate) running: BTreeMap<AssignmentId, Running>,
    /// Scorings in a row without a score, by item.
    pub(crate) tries: BTreeMap<ItemKey, u32>,
}

impl Scorings {
    /// A new leadership: every text without a score waits, until a gateway says that it has it in
    /// hand.
    pub(crate) fn begin(&mut self, now: Instant, state: &CoordinationState) {
        for (id, job) in state.jobs().iter().filter(|(_, job)| !job.ended) {
            for (index, unscored) in job.unscored_items() {
                let item = ItemKey {
                    job: id.clone(),
                    index,
                };
                self.wait(item, unscored.made_by, now);
            }
        }
    }

    /// Scorings that gateways have in hand.
    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Texts whose score nobody asks for at present.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Items whose texts have no score yet.
    pub(crate) fn items(&self) -> impl Iterator<Item = &ItemKey> {
        let running = self.running.values().map(|running| &running.item);
        self.waiting.keys().chain(running)
    }

    pub(crate) fn wait(&mut self, item: ItemKey, made_by: AssignmentId, not_before: Instant) {
        let waiting = Waiting {
            made_by,
            not_before,
        };
        self.waiting.insert(item, waiting);
    }

    pub(crate) fn start(&mut self, scoring: AssignmentId, running: Running) {
        self.waiting.remove(&running.item);
        self.running.insert(scoring, running);
    }

    /// Whether a gateway has this scoring in hand.
    pub(crate) fn has(&self, scoring: AssignmentId) -> bool {
        self.running.contains_key(&scoring)
    }

    pub(crate) fn is_in_hand(&self, item: &ItemKey) -> bool {
        self.running.values().any(|running| running.item == *item)
    }

    /// Forgets an item; gives the gateways that have it in hand.
    pub(crate) fn remove_item(&mut self, item: &ItemKey) -> Vec<(GatewayId, AssignmentId)> {
        self.remove(|other| other == item)
    }

    /// Forgets all items of a job; gives the gateways that have them in hand.
    pub(crate) fn remove_job(&mut self, job: &JobId) -> Vec<(GatewayId, AssignmentId)> {
        self.remove(|item| item.job == *job)
    }

    fn remove(&mut self, is_meant: impl Fn(&ItemKey) -> bool) -> Vec<(GatewayId, AssignmentId)> {
        self.waiting.retain(|item, _| !is_meant(item));
        self.tries.retain(|item, _| !is_meant(item));
        let removed = self.take_running(|running| is_meant(&running.item));
        removed
            .into_iter()
            .map(|(scoring, running)| (running.gateway, scoring))
            .collect()
    }

    /// Takes out those in hand that are meant.
    pub(crate) fn take_running(
        &mut self,
        is_meant: impl Fn(&Running) -> bool,
    ) -> Vec<(AssignmentId, Running)> {
        if !self.running.values().any(&is_meant) {
            return Vec::new();
        }
        let (taken, left) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(_, running)| is_meant(running));
        self.running = left;
        BTreeMap::into_iter(taken).collect()
    }

    /// A score of an item is to be asked for again; says how often it was before, in a row.
    pub(crate) fn count_retry(&mut self, item: &ItemKey) -> u32 {
        let tries = self.tries.entry(item.clone()).or_default();
        let before = *tries;
        *tries += 1;
        before
    }
}
