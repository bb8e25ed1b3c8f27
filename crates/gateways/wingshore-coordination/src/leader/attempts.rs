//! Attempts at items that run at gateways: adoption from an earlier leader, partial texts, ends.

use super::decision_log::Decision;
use super::decisions::ejection::eject_until;
use super::decisions::expiry::is_silent;
use super::decisions::gateway_choice::takes_refused_items;
use super::decisions::item_outcome::{
    EngineAction, ItemHistory, NextStep, PartialText, Retry, next_step,
};
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::tables::item::Attempt;
use super::turn::Turn;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey};
use crate::jobs::Job;
use crate::messages::{CoordinatorMessage, ItemOutcome, NotRunReason, RunningItem};
use crate::state::{Command, CoordinationState};
use crate::text::{FinishedText, ItemText};
use wingshore_types::Instant;

/// Logged reason for a retry after an attempt whose finished text is discarded.
const TEXT_TOO_OLD: &str = "the text was made by an older model version than the job allows";
/// Logged reason for a retry after an attempt that its gateway no longer reports.
const NO_LONGER_REPORTED: &str = "the gateway no longer reports the attempt";

impl CoordinationLeader {
    /// Adopts an attempt that a gateway reports and that an earlier leader assigned.
    pub(crate) fn adopt_attempt(
        &mut self,
        gateway: GatewayId,
        reported: RunningItem,
        turn: &mut Turn<'_>,
    ) {
        let RunningItem {
            assignment,
            item,
            instance,
        } = reported;
        // The gateway may have reconnected, and uploaded parts of the text may have been lost.
        if self.items.is_under_way(assignment) {
            return self.send_logged_prefix(assignment, turn);
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
        let model = job.and_then(|job| job.model().cloned());
        let attempt = Attempt::new(turn.now, item, gateway, instance, model);
        self.start(assignment, attempt);
        self.send_logged_prefix(assignment, turn);
    }

    /// Tells the gateway of an attempt which prefix of the text the log holds, so that it uploads
    /// the rest.
    pub(super) fn send_logged_prefix(&self, assignment: AssignmentId, turn: &mut Turn<'_>) {
        let Some(attempt) = self.items.attempt(assignment) else {
            return;
        };
        if let Some(open_item) = self.items.open_item(&attempt.item) {
            let held = open_item.held;
            let message = CoordinatorMessage::HandInFrom { assignment, held };
            turn.send(attempt.gateway, message);
        }
    }

    /// Proposes to store uploaded events of a long item. If they do not directly follow the events
    /// stored or proposed so far, an earlier upload was lost: the gateway is told from where to
    /// upload again.
    pub(crate) fn store_partial_text(
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
            return self.send_logged_prefix(assignment, turn);
        }
        open_item.held = open_item.held.extended_by(&text);
        let command = Command::KeepText {
            item,
            after_events,
            text,
        };
        self.propose(command, FollowUp::Nothing, turn);
    }

    /// Ends the attempts that their gateways no longer report, and queues their items again.
    pub(crate) fn end_silent_attempts(&mut self, turn: &mut Turn<'_>) {
        let silent: Vec<AssignmentId> = self
            .items
            .attempts()
            .filter(|(_, attempt)| is_silent(turn.now, attempt.last_reported_at))
            .map(|(assignment, _)| *assignment)
            .collect();
        for assignment in silent {
            if let Some(attempt) = self.items.end(assignment) {
                self.count_attempt_end(turn.now, &attempt);
                turn.release_attempt(attempt.gateway, assignment);
                log_retry(assignment, &attempt, NO_LONGER_REPORTED, turn);
                self.items.enqueue(attempt.item);
            }
        }
    }

    /// Handles the end of an attempt at an item.
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
            return self.on_unknown_attempt_ended(finished, item, outcome, turn);
        };
        self.count_attempt_end(turn.now, &attempt);
        if matches!(outcome, ItemOutcome::NotRun(NotRunReason::Rejected)) {
            self.record_refusal(gateway, &attempt.item);
        }
        match self.history_of(&attempt.item, &outcome, turn.state) {
            Some(history) => self.attempt_ended(finished, &attempt, outcome, history, turn),
            None => self.release_attempt_and_scoring(gateway, assignment, turn),
        }
        self.place_items(turn);
    }

    /// Records that a gateway of an earlier build has refused an item because servers had crashed
    /// under it.
    fn record_refusal(&mut self, gateway: GatewayId, item: &ItemKey) {
        self.gateways.record_refusal_of_crashed_item(gateway);
        if let Some(open_item) = self.items.open_item_mut(item) {
            open_item.is_refused_as_crashed = true;
        }
    }

    /// Collects the data by which the outcome of an attempt is judged; `None` if the item is not
    /// open or already has a result.
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
        let request = outcome.possible_cause();
        let has_crashed_servers =
            request.is_some_and(|request| self.has_crashed_servers(request, state));
        Some(ItemHistory {
            is_too_old,
            failures: open_item.failures,
            max_failures: self.max_failures(item, state),
            has_crashed_servers,
            may_go_to_other_gateway: takes_refused_items(&self.gateways),
        })
    }

    fn has_crashed_servers(&self, request: RequestFingerprint, state: &CoordinationState) -> bool {
        self.evidence.is_pending(request) || state.evidence().crash_count(request) > 0
    }

    fn max_failures(&self, item: &ItemKey, state: &CoordinationState) -> u32 {
        let attempts = state.jobs().get(&item.job).and_then(|job| {
            let submission = job.open_contents()?;
            let path = &submission.items.get(item.index as usize)?.path;
            Some(self.routes.find(&submission.host, path)?.max_attempts)
        });
        attempts.unwrap_or(1).max(1)
    }

    /// Handles the end of an attempt at an item that has no result yet.
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
            self.release_attempt_and_scoring(gateway, assignment, turn);
            let reason = if history.is_too_old {
                TEXT_TOO_OLD
            } else {
                outcome.name()
            };
            log_retry(assignment, attempt, reason, turn);
        }
        match (next_step, outcome) {
            (NextStep::Take, ItemOutcome::Finished(text)) => {
                self.engines.item_completed(&attempt.instance);
                self.record_run_time(turn.now, attempt);
                self.record_event_size(turn.now, attempt, turn.state);
                self.accept_text(&attempt.item, text, finished, turn);
            }
            (NextStep::Take, _) => {}
            (NextStep::Retry(retry), outcome) => self.retry(attempt, outcome, retry, turn),
            (NextStep::Abandon(reason), _) => self.abandon(&attempt.item, reason, turn),
        }
    }

    /// Queues an item again after a failed attempt.
    fn retry(
        &mut self,
        attempt: &Attempt,
        outcome: ItemOutcome,
        retry: Retry,
        turn: &mut Turn<'_>,
    ) {
        self.apply_engine_action(&attempt.instance, retry.engine, turn);
        if let Some(open_item) = self.items.open_item_mut(&attempt.item) {
            if let Some(backoff) = retry.backoff {
                open_item.not_before = Some(turn.now + backoff);
            }
            open_item.failures += u32::from(retry.is_failure);
            match (retry.partial_text, outcome) {
                (PartialText::Drop, _) => open_item.partial_text = ItemText::default(),
                (PartialText::Replace, ItemOutcome::Interrupted { text, .. }) => {
                    open_item.partial_text = text;
                }
                _ => {}
            }
        }
        self.items.enqueue(attempt.item.clone());
    }

    fn apply_engine_action(
        &mut self,
        instance: &InstanceId,
        action: EngineAction,
        turn: &mut Turn<'_>,
    ) {
        match action {
            EngineAction::Keep => {}
            EngineAction::Eject => self.eject(turn.now, instance),
            EngineAction::EjectUntilHeartbeat => {
                self.eject(turn.now, instance);
                self.engines.await_heartbeat(instance);
            }
            EngineAction::EjectAndPoll => {
                self.eject(turn.now, instance);
                self.poll_engine(instance, turn);
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

    /// Handles the end of an attempt that this leader had already ended because its gateway was
    /// unreachable. A finished text is accepted nevertheless, and ends any attempt that replaced
    /// it: the first finished text counts.
    fn on_unknown_attempt_ended(
        &mut self,
        (gateway, assignment): (GatewayId, AssignmentId),
        item: &ItemKey,
        outcome: ItemOutcome,
        turn: &mut Turn<'_>,
    ) {
        let open_item = self.items.open_item(item);
        let open = open_item.filter(|open_item| !open_item.has_result);
        let (Some(open_item), ItemOutcome::Finished(text)) = (open, outcome) else {
            return self.release_attempt_and_scoring(gateway, assignment, turn);
        };
        if is_too_old(&text, item, turn.state) {
            return self.release_attempt_and_scoring(gateway, assignment, turn);
        }
        if let Some(other) = open_item.assignment
            && let Some(attempt) = self.items.end(other)
        {
            self.count_attempt_end(turn.now, &attempt);
            turn.release_attempt(attempt.gateway, other);
        }
        self.accept_text(item, text, (gateway, assignment), turn);
        self.place_items(turn);
    }

    /// Releases an attempt, and the scoring that its gateway may have started for its text.
    pub(super) fn release_attempt_and_scoring(
        &self,
        gateway: GatewayId,
        assignment: AssignmentId,
        turn: &mut Turn<'_>,
    ) {
        turn.release_attempt(gateway, assignment);
        if !self.scorings.has(assignment) {
            turn.release_scoring(gateway, assignment);
        }
    }

    /// Updates the counts of running items of an ended attempt's engine and gateway.
    pub(crate) fn count_attempt_end(&mut self, now: Instant, attempt: &Attempt) {
        self.correct_share(now, attempt);
        self.engines.item_ended(&attempt.instance);
        self.gateways.item_ended(attempt.gateway);
    }
}

/// Returns whether a text was made by an older model version than its job allows.
fn is_too_old(text: &FinishedText, item: &ItemKey, state: &CoordinationState) -> bool {
    let job = state.jobs().get(&item.job);
    let oldest = job.map_or(0, Job::min_version);
    !text.all_versions_since(oldest)
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
