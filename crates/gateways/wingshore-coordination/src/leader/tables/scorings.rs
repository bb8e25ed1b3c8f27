//! Texts that wait for their scores, and scorings that are assigned to gateways.

use crate::ids::{AssignmentId, GatewayId, ItemKey, JobId, ServiceName};
use crate::state::CoordinationState;
use std::collections::BTreeMap;
use wingshore_types::Instant;

/// A scoring that is assigned to a gateway.
#[derive(Clone, Debug)]
pub(crate) struct OpenScoring {
    pub(crate) item: ItemKey,
    pub(crate) made_by: AssignmentId,
    /// The service whose servers score it; `None` if no route leads to one.
    pub(crate) service: Option<ServiceName>,
    pub(crate) gateway: GatewayId,
    /// Time of the gateway's last report of the scoring.
    pub(crate) last_reported_at: Instant,
}

/// A text whose scoring is not assigned at present.
#[derive(Clone, Debug)]
pub(crate) struct WaitingText {
    pub(crate) made_by: AssignmentId,
    /// The text waits for its scoring from this time on.
    pub(crate) not_before: Instant,
}

/// All scorings of this leadership.
///
/// Invariant: an item is in at most one of `waiting` and `under_way`.
#[derive(Default)]
pub(crate) struct Scorings {
    pub(crate) waiting: BTreeMap<ItemKey, WaitingText>,
    pub(crate) under_way: BTreeMap<AssignmentId, OpenScoring>,
    /// Consecutive scorings without a score, by item.
    pub(crate) retries: BTreeMap<ItemKey, ScoringRetries>,
}

/// Consecutive scorings of an item without a score.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScoringRetries {
    /// Number of these scorings.
    pub(crate) count: u32,
    /// The gateway of the last one.
    pub(crate) gateway: GatewayId,
}

impl Scorings {
    /// Starts a new leadership: every text without a score waits until a gateway reports its
    /// scoring.
    pub(crate) fn begin(&mut self, now: Instant, state: &CoordinationState) {
        for (id, job) in state.jobs().iter().filter(|(_, job)| !job.ended) {
            for (index, unscored) in job.unscored_items() {
                let item = ItemKey {
                    job: id.clone(),
                    index,
                };
                self.enqueue(item, unscored.made_by, now);
            }
        }
    }

    /// Returns the number of assigned scorings.
    pub(crate) fn running_count(&self) -> usize {
        self.under_way.len()
    }

    /// Returns the number of texts whose scoring is not assigned at present.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Iterates over the items whose texts have no score yet.
    pub(crate) fn items(&self) -> impl Iterator<Item = &ItemKey> {
        let running = self.under_way.values().map(|running| &running.item);
        self.waiting.keys().chain(running)
    }

    pub(crate) fn enqueue(&mut self, item: ItemKey, made_by: AssignmentId, not_before: Instant) {
        let waiting = WaitingText {
            made_by,
            not_before,
        };
        self.waiting.insert(item, waiting);
    }

    pub(crate) fn start(&mut self, scoring: AssignmentId, running: OpenScoring) {
        self.waiting.remove(&running.item);
        self.under_way.insert(scoring, running);
    }

    /// Returns whether this scoring is assigned to a gateway.
    pub(crate) fn has(&self, scoring: AssignmentId) -> bool {
        self.under_way.contains_key(&scoring)
    }

    pub(crate) fn is_assigned(&self, item: &ItemKey) -> bool {
        self.under_way.values().any(|running| running.item == *item)
    }

    /// Removes an item; returns the gateways to which its scorings are assigned.
    pub(crate) fn remove_item(&mut self, item: &ItemKey) -> Vec<(GatewayId, AssignmentId)> {
        self.remove(|other| other == item)
    }

    /// Removes all items of a job; returns the gateways to which their scorings are assigned.
    pub(crate) fn remove_job(&mut self, job: &JobId) -> Vec<(GatewayId, AssignmentId)> {
        self.remove(|item| item.job == *job)
    }

    fn remove(&mut self, is_selected: impl Fn(&ItemKey) -> bool) -> Vec<(GatewayId, AssignmentId)> {
        self.waiting.retain(|item, _| !is_selected(item));
        self.retries.retain(|item, _| !is_selected(item));
        let removed = self.take_running(|running| is_selected(&running.item));
        removed
            .into_iter()
            .map(|(scoring, running)| (running.gateway, scoring))
            .collect()
    }

    /// Removes and returns the assigned scorings for which `is_selected` holds.
    pub(crate) fn take_running(
        &mut self,
        is_selected: impl Fn(&OpenScoring) -> bool,
    ) -> Vec<(AssignmentId, OpenScoring)> {
        if !self.under_way.values().any(&is_selected) {
            return Vec::new();
        }
        let (taken, left) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|(_, running)| is_selected(running));
        self.under_way = left;
        BTreeMap::into_iter(taken).collect()
    }

    /// Counts a scoring of an item that ended without a score at a gateway; returns the number of
    /// consecutive earlier ones.
    pub(crate) fn count_retry(&mut self, item: &ItemKey, gateway: GatewayId) -> u32 {
        let before = self.retries.get(item).map_or(0, |retries| retries.count);
        let retries = ScoringRetries {
            count: before + 1,
            gateway,
        };
        self.retries.insert(item.clone(), retries);
        before
    }
}
