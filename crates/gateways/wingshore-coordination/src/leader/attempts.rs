//! Attempts at items that gateways run: taken over from an earlier leader, heard of, ended.

use super::decision_log::Decision;
use super::decisions::ejection::eject_until;
use super::decisions::expiry::is_silent;
use super::decisions::item_outcome::{
    EngineAction, ItemHistory, NextStep, PartialText, Retry, next_step,
};
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::tables::item::Attempt;
use super::turn::Turn;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey};
use crate::messages::{BreakCause, CoordinatorMessage, ItemOutcome, RunningItem};
use crate::state::{Command, CoordinationState};
use crate::text::{FinishedText, ItemText};
use wingshore_types::Instant;

/// What a log line says of an attempt whose text is not taken.
const TOO_OLD: &str = "its text is of an older version than its job allows";
/// What a log line says of an attempt that its gateway does not speak of.
const SILENT: &str = "the gateway does not speak of it any more";

impl CoordinationLeader {
    /// A gateway runs an item that an earlier leader assigned.
    pub(crate) fn adopt(&mut self, gateway: GatewayId, reported: RunningItem, turn: &mut Turn<'_>) {
        let RunningItem {
            assignment,
            item,
            instance,
        } = reported;
        // The connection of its gateway may have broken, and parts of the text been lost with it.
        if self.items.is_under_way(assignment) {
            return self.tell_held(assignment, turn);
        }
        let job = turn.state.jobs().get(&item.job);
        let is_open = job
            .filter(|job| !job.ended && !job.is_listed(item.index))
            .is_some_and(|job| job.unscored(item.index).is_none());
        let is_free = self
            .items
            .open_item(&item)
            .is_some_and(|open_item| open_item.assignment.is_none() && !open_item.has_result);
        if !is_open || !is_free {
            return turn.release_attempt(gateway, assignment);
        }
        self.items.dequeue(&item);
        let model = job.and_then(|job| job.submission.model.clone());
        let attempt = Attempt::new(turn.now, item, gateway, instance, model);
        self.start(assignment, attempt);
        self.tell_held(assignment, turn);
    }

    /// Tells the gateway of an attempt from where on it is to upload the text.
    pub(super) fn tell_held(&self, assignment: AssignmentId, turn: &mut Turn<'_>) {
        let Some(attempt) = self.items.attempt(assignment) else {
            return;
        };
        if let Some(open_item) = self.items.open_item(&attempt.item) {
            let held = open_item.held;
            let message = CoordinatorMessage::HandInFrom { assignment, held };
            turn.send(attempt.gateway, message);
        }
    }

    /// Makes events of a long item durable. Where they do not follow what the log is to hold, a part
    /// before them was lost: the gateway is told from where on to upload.
    pub(crate) fn keep_partial_text(
        &mut self,
        assignment: AssignmentId,
        after_events: u64,
        text: ItemText,
        turn: &mut Turn<'_>,
    ) {
        let attempt = self.items.attempt(assignment);
        if !attempt.is_some_and(|attempt| attempt.extends_held) {
            return;
        }
        let Some(item) = self.items.item_of(assignment) else {
            return;
        };
        let Some(open_item) = self.items.open_item_mut(&item) else {
            return;
        };
        if open_item.held.extent.events != after_events {
            return self.tell_held(assignment, turn);
        }
        open_item.held = open_item.held.extended_by(&text);
        let command = Command::KeepText {
            item,
            after_events,
            text,
        };
        self.propose(command, FollowUp::Nothing, turn);
    }

    /// Attempts that their gateways do not speak of any more are over.
    pub(crate) fn end_silent_items(&mut self, turn: &mut Turn<'_>) {
        let silent: Vec<AssignmentId> = self
            .items
            .attempts()
            .filter(|(_, attempt)| is_silent(turn.now, attempt.last_reported_at))
            .map(|(assignment, _)| *assignment)
            .collect();
        for assignment in silent {
            if let Some(attempt) = self.items.end(assignment) {
                self.note_end(&attempt);
                turn.release_attempt(attempt.gateway, assignment);
                log_retry(assignment, &attempt, SILENT, turn);
                self.items.enqueue(attempt.item);
            }
        }
    }

    /// An attempt at an item is over.
    pub(crate) fn on_item_ended(
        &mut self,
        gateway: GatewayId,
        assignment: AssignmentId,
        item: &ItemKey,
        outcome: ItemOutcome,
        turn: &mut Turn<'_>,
    ) {
        let finished = (gateway, assignment);
        let Some(attempt) = self.items.end(assignment) else {
            return self.on_forgotten_end(finished, item, outcome, turn);
        };
        self.note_end(&attempt);
        match self.history_of(&attempt.item, &outcome, turn.state) {
            Some(history) => self.attempt_ended(finished, &attempt, outcome, history, turn),
            None => self.release_unknown(gateway, assignment, turn),
        }
        self.place_items(turn);
    }

    /// What is known of an item that has no result yet.
    fn history_of(
        &self,
        item: &ItemKey,
        outcome: &ItemOutcome,
        state: &CoordinationState,
    ) -> Option<ItemHistory> {
        let open_item = self.items.open_item(item)?;
        if open_item.has_result {
            return None;
        }
        let is_too_old = match outcome {
            ItemOutcome::Finished(text) => is_too_old(text, item, state),
            _ => false,
        };
        let is_crash_suspected = match outcome {
            ItemOutcome::Interrupted {
                cause: BreakCause::Engine(Some(request)),
                ..
            } => self.has_ended_servers(*request, state),
            _ => false,
        };
        Some(ItemHistory {
            is_too_old,
            failures: open_item.failures,
            max_failures: self.max_failures(item, state),
            is_crash_suspected,
        })
    }

    fn has_ended_servers(&self, request: RequestFingerprint, state: &CoordinationState) -> bool {
        self.evidence.is_pending(request) || state.evidence().ended_under(request) > 0
    }

    fn max_failures(&self, item: &ItemKey, state: &CoordinationState) -> u32 {
        let attempts = state.jobs().get(&item.job).and_then(|job| {
            let path = &job.submission.items.get(item.index as usize)?.path;
            Some(self.routes.find(&job.submission.host, path)?.max_attempts)
        });
        attempts.unwrap_or(1).max(1)
    }

    /// An attempt at an item without a result is over.
    fn attempt_ended(
        &mut self,
        finished: (GatewayId, AssignmentId),
        attempt: &Attempt,
        outcome: ItemOutcome,
        history: ItemHistory,
        turn: &mut Turn<'_>,
    ) {
        let (gateway, assignment) = finished;
        let next_step = next_step(&outcome, history);
        if next_step != NextStep::Take {
            self.release_unknown(gateway, assignment, turn);
            let reason = if history.is_too_old {
                TOO_OLD
            } else {
                outcome.name()
            };
            log_retry(assignment, attempt, reason, turn);
        }
        match (next_step, outcome) {
            (NextStep::Take, ItemOutcome::Finished(text)) => {
                self.engines.item_completed(&attempt.instance);
                self.take_text(&attempt.item, text, finished, turn);
            }
            (NextStep::Take, _) => {}
            (NextStep::Retry(retry), outcome) => self.retry(attempt, outcome, retry, turn),
            (NextStep::Abandon(reason), _) => self.abandon(&attempt.item, reason, turn),
        }
    }

    /// An item waits again.
    fn retry(
        &mut self,
        attempt: &Attempt,
        outcome: ItemOutcome,
        retry: Retry,
        turn: &mut Turn<'_>,
    ) {
        self.judge_engine(&attempt.instance, retry.engine, turn);
        if let Some(open_item) = self.items.open_item_mut(&attempt.item) {
            if let Some(backoff) = retry.backoff {
                open_item.not_before = Some(turn.now + backoff);
            }
            open_item.failures += u32::from(retry.is_failure);
            match (retry.partial_text, outcome) {
                (PartialText::Drop, _) => open_item.partial_text = ItemText::default(),
                (PartialText::Replace, ItemOutcome::Interrupted { text, cause }) => {
                    open_item.partial_text = text;
                    if let BreakCause::Engine(Some(request)) = cause {
                        open_item.request = Some(request);
                    }
                }
                _ => {}
            }
        }
        self.items.enqueue(attempt.item.clone());
    }

    fn judge_engine(&mut self, instance: &InstanceId, action: EngineAction, turn: &mut Turn<'_>) {
        match action {
            EngineAction::Keep => {}
            EngineAction::Eject => self.eject(turn.now, instance),
            EngineAction::EjectUntilHeartbeat => {
                self.eject(turn.now, instance);
                self.engines.await_heartbeat(instance);
            }
            EngineAction::EjectAndPoll => {
                self.eject(turn.now, instance);
                self.ask_report(instance, turn);
            }
            EngineAction::Defer(duration) => {
                self.engines.defer_until(instance, turn.now + duration);
            }
        }
    }

    fn eject(&mut self, now: Instant, instance: &InstanceId) {
        let Some(engine) = self.engines.get(instance) else {
            return;
        };
        if let Some(until) = eject_until(now, engine.ejected_until, engine.faults) {
            self.engines.eject(instance, until);
        }
    }

    /// An attempt is over that this leader took to be over, because its gateway was unreachable. A whole
    /// text is a result all the same, whatever runs for the item meanwhile: the first one counts.
    fn on_forgotten_end(
        &mut self,
        (gateway, assignment): (GatewayId, AssignmentId),
        item: &ItemKey,
        outcome: ItemOutcome,
        turn: &mut Turn<'_>,
    ) {
        let open_item = self.items.open_item(item);
        let open = open_item.filter(|open_item| !open_item.has_result);
        let (Some(open_item), ItemOutcome::Finished(text)) = (open, outcome) else {
            return self.release_unknown(gateway, assignment, turn);
        };
        if is_too_old(&text, item, turn.state) {
            return self.release_unknown(gateway, assignment, turn);
        }
        if let Some(other) = open_item.assignment
            && let Some(attempt) = self.items.end(other)
        {
            self.note_end(&attempt);
            turn.release_attempt(attempt.gateway, other);
        }
        self.take_text(item, text, (gateway, assignment), turn);
        self.place_items(turn);
    }

    /// An attempt is of no use, and neither is the scoring that may have followed it.
    fn release_unknown(&self, gateway: GatewayId, assignment: AssignmentId, turn: &mut Turn<'_>) {
        turn.release_attempt(gateway, assignment);
        if !self.scorings.has(assignment) {
            turn.release_scoring(gateway, assignment);
        }
    }

    /// Its engine and its gateway have one item less.
    pub(crate) fn note_end(&mut self, attempt: &Attempt) {
        self.engines.item_ended(&attempt.instance);
        self.gateways.item_ended(attempt.gateway);
    }
}

/// Whether a text is of a version that its job does not allow.
fn is_too_old(text: &FinishedText, item: &ItemKey, state: &CoordinationState) -> bool {
    let job = state.jobs().get(&item.job);
    let oldest = job.map_or(0, |job| job.submission.min_version);
    !text.is_made_since(oldest)
}

fn log_retry(
    assignment: AssignmentId,
    attempt: &Attempt,
    reason: &'static str,
    turn: &mut Turn<'_>,
) {
    turn.log(Decision::ItemRetried {
        assignment,
        job: attempt.item.job.clone(),
        index: attempt.item.index,
        instance: attempt.instance.clone(),
        reason,
    });
}
