//! What follows from the end of a try at an item.

use super::decision_log::Decision;
use super::decisions::ejection::eject_until;
use super::decisions::expiry::is_silent;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::tables::items::Running;
use super::turn::Turn;
use crate::fingerprint::RequestFingerprint;
use crate::ids::{GatewayId, InstanceId, ItemKey};
use crate::jobs::{ItemState, ListedResult};
use crate::messages::{
    AssignmentId, BreakCause, CoordinatorMessage, ItemOutcome, NotRunReason, RunningItem,
};
use crate::state::{Command, CoordinationState};
use crate::text::{FinishedText, ItemText, ResultText};
use std::time::Duration;
use wingshore_types::Instant;

/// An item that was not run is not placed again for this long.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(30);
/// An item that is rejected since servers have ended under it is offered to a gateway again after
/// this time, for the case that it was let off. It is given up when its route says so, not earlier.
const REJECTED_PAUSE: Duration = Duration::from_secs(2);
/// An item that may be what ends engines waits this long, so that the last ending is weighed
/// (300 ms, at the next tick) before it could end one more.
const SUSPECT_PAUSE: Duration = Duration::from_millis(450);
/// An engine that did not take an item gets none for this long.
const REFUSED_PAUSE: Duration = Duration::from_millis(90);
/// An item that failed is not placed again for this long.
const FAILED_PAUSE: Duration = Duration::from_millis(100);

impl CoordinationLeader {
    /// A gateway runs an item that an earlier leader assigned.
    pub(crate) fn adopt(&mut self, gateway: GatewayId, running: RunningItem, turn: &mut Turn<'_>) {
        let RunningItem {
            assignment,
            item,
            instance,
        } = running;
        // A gateway that was welcomed twice tells twice.
        if self.items.is_running(assignment) {
            return;
        }
        let is_open = turn
            .state
            .jobs()
            .get(&item.job)
            .filter(|job| !job.ended && !job.is_listed(item.index))
            .is_some_and(|job| job.unscored(item.index).is_none());
        let is_free = self
            .items
            .progress(&item)
            .is_some_and(|progress| progress.assignment.is_none() && !progress.ended);
        if !is_open || !is_free {
            return turn.release_attempt(gateway, assignment);
        }
        self.items.take(&item);
        let job = turn.state.jobs().get(&item.job);
        let held = job.and_then(|job| job.kept(item.index));
        let held = held.map(ItemText::held).unwrap_or_default();
        let message = CoordinatorMessage::HandInFrom { assignment, held };
        turn.send(gateway, message);
        let model = job.and_then(|job| job.submission.model.clone());
        let running = Running::new(turn.now, item, gateway, instance, model);
        self.start(assignment, running);
    }

    /// Makes events of a long item durable.
    pub(crate) fn keep_text(
        &mut self,
        assignment: AssignmentId,
        after_events: u64,
        text: ItemText,
        turn: &mut Turn<'_>,
    ) {
        let Some(item) = self.items.item_of(assignment) else {
            return;
        };
        let command = Command::KeepText {
            item,
            after_events,
            text,
        };
        self.propose(command, FollowUp::Nothing, turn);
    }

    /// Tries that their gateways do not speak of any more are over.
    pub(crate) fn end_silent_items(&mut self, turn: &mut Turn<'_>) {
        let silent: Vec<AssignmentId> = self
            .items
            .running()
            .filter(|(_, running)| is_silent(turn.now, running.heard))
            .map(|(assignment, _)| *assignment)
            .collect();
        for assignment in silent {
            let Some(running) = self.items.end(assignment) else {
                continue;
            };
            self.note_end(&running);
            turn.release_attempt(running.gateway, assignment);
            let decision = Decision::ItemRetried {
                assignment,
                job: running.item.job.clone(),
                index: running.item.index,
                instance: running.instance,
                reason: "the gateway does not speak of it any more",
            };
            turn.log(decision);
            self.items.wait(running.item);
        }
    }

    pub(crate) fn on_item_ended(
        &mut self,
        gateway: GatewayId,
        (assignment, item): (AssignmentId, ItemKey),
        outcome: ItemOutcome,
        turn: &mut Turn<'_>,
    ) {
        let Some(running) = self.items.end(assignment) else {
            let finished = (gateway, assignment);
            return self.on_forgotten_end(finished, &item, outcome, turn);
        };
        self.note_end(&running);
        let has_ended = self
            .items
            .progress(&running.item)
            .is_none_or(|progress| progress.ended);
        match outcome {
            ItemOutcome::Finished(text)
                if !has_ended && is_too_old(&text, &running.item, turn.state) =>
            {
                self.release_unknown(gateway, assignment, turn);
                self.begin_anew(assignment, &running, turn);
            }
            ItemOutcome::Finished(text) if !has_ended => {
                self.engines.succeeded(&running.instance);
                let finished = (gateway, assignment);
                self.take_text(&running.item, text, finished, turn);
            }
            outcome => {
                self.release_unknown(gateway, assignment, turn);
                if !has_ended {
                    let decision = Decision::ItemRetried {
                        assignment,
                        job: running.item.job.clone(),
                        index: running.item.index,
                        instance: running.instance.clone(),
                        reason: outcome.name(),
                    };
                    turn.log(decision);
                    self.take_outcome(&running, outcome, turn);
                }
            }
        }
        self.place_items(turn);
    }

    /// An engine made a text under a version that is older than the job allows: one that started
    /// again, or carried an order out late, may hold less than it is known for. Nothing of the text
    /// counts, and the engine is asked how it stands before it gets more.
    fn begin_anew(&mut self, assignment: AssignmentId, running: &Running, turn: &mut Turn<'_>) {
        let decision = Decision::ItemRetried {
            assignment,
            job: running.item.job.clone(),
            index: running.item.index,
            instance: running.instance.clone(),
            reason: "its text is of an older version than its job allows",
        };
        turn.log(decision);
        self.pause_engine(turn.now, &running.instance);
        self.ask_report(&running.instance, turn);
        if let Some(progress) = self.items.progress_mut(&running.item) {
            progress.kept = ItemText::default();
        }
        self.items.wait(running.item.clone());
    }

    /// A try is over that this leader had given up, because its gateway was out of touch. A whole
    /// text is a result all the same, whatever runs for the item meanwhile: the first one counts.
    fn on_forgotten_end(
        &mut self,
        (gateway, assignment): (GatewayId, AssignmentId),
        item: &ItemKey,
        outcome: ItemOutcome,
        turn: &mut Turn<'_>,
    ) {
        let progress = self.items.progress(item);
        let open = progress.filter(|progress| !progress.ended);
        let (Some(progress), ItemOutcome::Finished(text)) = (open, outcome) else {
            return self.release_unknown(gateway, assignment, turn);
        };
        if is_too_old(&text, item, turn.state) {
            return self.release_unknown(gateway, assignment, turn);
        }
        if let Some(other) = progress.assignment
            && let Some(running) = self.items.end(other)
        {
            self.note_end(&running);
            turn.release_attempt(running.gateway, other);
        }
        self.take_text(item, text, (gateway, assignment), turn);
        self.place_items(turn);
    }

    /// A try has made the whole text of an item that has no result yet.
    fn take_text(
        &mut self,
        item: &ItemKey,
        text: FinishedText,
        finished: (GatewayId, AssignmentId),
        turn: &mut Turn<'_>,
    ) {
        if Self::scorer_of(item, turn.state).is_some() {
            self.keep_unscored(item, text, finished, turn);
        } else {
            self.list_success(item, text, finished, turn);
        }
    }

    /// A try is of no use, and neither is the scoring that may have followed it.
    fn release_unknown(&self, gateway: GatewayId, assignment: AssignmentId, turn: &mut Turn<'_>) {
        turn.release_attempt(gateway, assignment);
        if !self.scorings.has(assignment) {
            turn.release_scoring(gateway, assignment);
        }
    }

    fn take_outcome(&mut self, running: &Running, outcome: ItemOutcome, turn: &mut Turn<'_>) {
        match outcome {
            ItemOutcome::Interrupted { text, cause } => {
                if let Some(progress) = self.items.progress_mut(&running.item) {
                    progress.kept = text;
                }
                if let BreakCause::Engine(request) = cause {
                    self.pause_engine(turn.now, &running.instance);
                    self.note_break(turn.now, &running.item, request, turn.state);
                }
                self.items.wait(running.item.clone());
            }
            ItemOutcome::NotRun(reason) => self.not_run(turn.now, running, reason),
            ItemOutcome::Failed => self.failed(running, turn),
            ItemOutcome::Impossible | ItemOutcome::Finished(_) => {
                self.abandon(
                    &running.item,
                    "the engine says that it can never be done",
                    turn,
                );
            }
        }
    }

    /// An engine broke an item off. Where one has ended under it a moment before, or a while ago, it
    /// may be the cause of both: it waits until that is weighed.
    fn note_break(
        &mut self,
        now: Instant,
        item: &ItemKey,
        request: Option<RequestFingerprint>,
        state: &CoordinationState,
    ) {
        let Some(request) = request else {
            return;
        };
        let may_be_cause =
            self.evidence.is_pending(request) || state.evidence().ended_under(request) > 0;
        if let Some(progress) = self.items.progress_mut(item) {
            progress.request = Some(request);
            if may_be_cause {
                progress.not_before = Some(now + SUSPECT_PAUSE);
            }
        }
    }

    fn pause_engine(&mut self, now: Instant, instance: &InstanceId) {
        let Some(engine) = self.engines.get(instance) else {
            return;
        };
        if let Some(until) = eject_until(now, engine.paused_until, engine.faults) {
            self.engines.eject(instance, until);
        }
    }

    fn not_run(&mut self, now: Instant, running: &Running, reason: NotRunReason) {
        match reason {
            NotRunReason::Unreachable => self.pause_engine(now, &running.instance),
            NotRunReason::Ended => {
                self.pause_engine(now, &running.instance);
                self.engines.await_heartbeat(&running.instance);
            }
            NotRunReason::Full | NotRunReason::Mismatch => {
                let until = now + REFUSED_PAUSE;
                self.engines.pause_until(&running.instance, until);
            }
            NotRunReason::Stopping | NotRunReason::Rejected => {}
        }
        let pause = match reason {
            NotRunReason::Rejected => REJECTED_PAUSE,
            _ => NOT_RUN_PAUSE,
        };
        if let Some(progress) = self.items.progress_mut(&running.item) {
            progress.not_before = Some(now + pause);
        }
        self.items.wait(running.item.clone());
    }

    fn failed(&mut self, running: &Running, turn: &mut Turn<'_>) {
        let most = self.most_attempts(&running.item, turn.state);
        let Some(progress) = self.items.progress_mut(&running.item) else {
            return;
        };
        progress.failures += 1;
        progress.not_before = Some(turn.now + FAILED_PAUSE);
        if progress.failures >= most {
            return self.abandon(
                &running.item,
                "it failed as often as its route allows",
                turn,
            );
        }
        self.items.wait(running.item.clone());
    }

    fn most_attempts(&self, item: &ItemKey, state: &CoordinationState) -> u32 {
        let attempts = state.jobs().get(&item.job).and_then(|job| {
            let path = &job.submission.items.get(item.index as usize)?.path;
            Some(self.routes.find(&job.submission.host, path)?.max_attempts)
        });
        attempts.unwrap_or(1).max(1)
    }

    fn list_success(
        &mut self,
        item: &ItemKey,
        text: FinishedText,
        finished: (GatewayId, AssignmentId),
        turn: &mut Turn<'_>,
    ) {
        let result = ListedResult {
            index: item.index,
            state: ItemState::Succeeded,
            text: text.text,
            versions: text.versions,
            score: None,
        };
        self.list(item, result, Some(finished), turn);
    }

    /// Gives an item up.
    pub(crate) fn abandon(&mut self, item: &ItemKey, reason: &'static str, turn: &mut Turn<'_>) {
        let decision = Decision::ItemAbandoned {
            job: item.job.clone(),
            index: item.index,
            reason,
        };
        turn.log(decision);
        let result = ListedResult {
            index: item.index,
            state: ItemState::Abandoned,
            text: ResultText::default(),
            versions: Vec::new(),
            score: None,
        };
        for (gateway, scoring) in self.scorings.remove_item(item) {
            turn.release_scoring(gateway, scoring);
        }
        self.list(item, result, None, turn);
    }

    /// Proposes a result; the gateway that made it keeps it until it is committed.
    fn list(
        &mut self,
        item: &ItemKey,
        result: ListedResult,
        finished: Option<(GatewayId, AssignmentId)>,
        turn: &mut Turn<'_>,
    ) {
        self.items.finish(item);
        let job = item.job.clone();
        let command = Command::ListResult {
            job: job.clone(),
            result,
        };
        self.propose(command, FollowUp::Result { job, finished }, turn);
    }

    /// Its engine and its gateway have one item less.
    pub(crate) fn note_end(&mut self, running: &Running) {
        self.engines.ended(&running.instance);
        self.gateways.item_ended(running.gateway);
    }
}

/// Whether a text is of a version that its job does not allow.
fn is_too_old(text: &FinishedText, item: &ItemKey, state: &CoordinationState) -> bool {
    let job = state.jobs().get(&item.job);
    let oldest = job.map_or(0, |job| job.submission.min_version);
    !text.is_made_since(oldest)
}
