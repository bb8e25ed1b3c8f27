//! What follows from the end of a try at an item.

use super::tables::items::Running;
use super::scoring::release_scoring;
use super::{CoordinationLeader, Decision, Effect, Outputs, Waiter, log};
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
use wingshore_types::machine::LeaderOutput;

/// A try or a scoring that its gateway does not speak of for this long is over. Gateways speak of all that
/// they run each 400 ms. Not measured.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_secs(2);
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
    pub(crate) fn adopt(
        &mut self,
        gateway: GatewayId,
        now: Instant,
        running: RunningItem,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let RunningItem {
            assignment,
            item,
            instance,
        } = running;
        // A gateway that was welcomed twice tells twice.
        if self.items.is_running(assignment) {
            return;
        }
        let is_open = state
            .jobs()
            .get(&item.job)
            .filter(|job| !job.ended && !job.is_listed(item.index))
            .is_some_and(|job| job.unscored(item.index).is_none());
        let is_free = self
            .items
            .progress(&item)
            .is_some_and(|progress| progress.assignment.is_none() && !progress.ended);
        if !is_open || !is_free {
            return release(gateway, assignment, out);
        }
        self.items.take(&item);
        let job = state.jobs().get(&item.job);
        let held = job.and_then(|job| job.kept(item.index));
        let held = held.map(ItemText::held).unwrap_or_default();
        let message = CoordinatorMessage::HandInFrom { assignment, held };
        out.push(LeaderOutput::Effect(Effect::ToGateway(gateway, message)));
        let model = job.and_then(|job| job.submission.model.clone());
        let running = Running::new(now, item, gateway, instance, model);
        self.start(assignment, running);
    }

    /// Makes events of a long item durable.
    pub(crate) fn keep_text(
        &mut self,
        assignment: AssignmentId,
        after_events: u64,
        text: ItemText,
        out: &mut Outputs,
    ) {
        let Some(item) = self.items.item_of(assignment) else {
            return;
        };
        let command = Command::KeepText {
            item,
            after_events,
            text,
        };
        self.propose(command, Waiter::Nobody, out);
    }

    /// Tries that their gateways do not speak of any more are over.
    pub(crate) fn end_silent_items(&mut self, now: Instant, out: &mut Outputs) {
        let silent: Vec<AssignmentId> = self
            .items
            .running()
            .filter(|(_, running)| now.since(running.heard) > SILENCE_LIMIT)
            .map(|(assignment, _)| *assignment)
            .collect();
        for assignment in silent {
            let Some(running) = self.items.end(assignment) else {
                continue;
            };
            self.note_end(&running);
            release(running.gateway, assignment, out);
            let decision = Decision::ItemRetried {
                assignment,
                job: running.item.job.clone(),
                index: running.item.index,
                instance: running.instance,
                reason: "the gateway does not speak of it any more",
            };
            log(decision, out);
            self.items.wait(running.item);
        }
    }

    pub(crate) fn on_item_ended(
        &mut self,
        now: Instant,
        gateway: GatewayId,
        (assignment, item): (AssignmentId, ItemKey),
        outcome: ItemOutcome,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let Some(running) = self.items.end(assignment) else {
            let finished = (gateway, assignment);
            return self.on_forgotten_end(now, finished, &item, outcome, state, out);
        };
        self.note_end(&running);
        let has_ended = self
            .items
            .progress(&running.item)
            .is_none_or(|progress| progress.ended);
        match outcome {
            ItemOutcome::Finished(text)
                if !has_ended && is_too_old(&text, &running.item, state) =>
            {
                self.release_unknown(gateway, assignment, out);
                self.begin_anew(now, assignment, &running, out);
            }
            ItemOutcome::Finished(text) if !has_ended => {
                self.engines.succeeded(&running.instance);
                let finished = (gateway, assignment);
                self.take_text(now, &running.item, text, finished, state, out);
            }
            outcome => {
                self.release_unknown(gateway, assignment, out);
                if !has_ended {
                    let decision = Decision::ItemRetried {
                        assignment,
                        job: running.item.job.clone(),
                        index: running.item.index,
                        instance: running.instance.clone(),
                        reason: outcome.name(),
                    };
                    log(decision, out);
                    self.take_outcome(now, &running, outcome, state, out);
                }
            }
        }
        self.place_items(now, state, out);
    }

    /// An engine made a text under a version that is older than the job allows: one that started
    /// again, or carried an order out late, may hold less than it is known for. Nothing of the text
    /// counts, and the engine is asked how it stands before it gets more.
    fn begin_anew(
        &mut self,
        now: Instant,
        assignment: AssignmentId,
        running: &Running,
        out: &mut Outputs,
    ) {
        let decision = Decision::ItemRetried {
            assignment,
            job: running.item.job.clone(),
            index: running.item.index,
            instance: running.instance.clone(),
            reason: "its text is of an older version than its job allows",
        };
        log(decision, out);
        self.pause_engine(now, &running.instance);
        self.ask_report(&running.instance, out);
        if let Some(progress) = self.items.progress_mut(&running.item) {
            progress.kept = ItemText::default();
        }
        self.items.wait(running.item.clone());
    }

    /// A try is over that this leader had given up, because its gateway was out of touch. A whole
    /// text is a result all the same, whatever runs for the item meanwhile: the first one counts.
    fn on_forgotten_end(
        &mut self,
        now: Instant,
        (gateway, assignment): (GatewayId, AssignmentId),
        item: &ItemKey,
        outcome: ItemOutcome,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let progress = self.items.progress(item);
        let open = progress.filter(|progress| !progress.ended);
        let (Some(progress), ItemOutcome::Finished(text)) = (open, outcome) else {
            return self.release_unknown(gateway, assignment, out);
        };
        if is_too_old(&text, item, state) {
            return self.release_unknown(gateway, assignment, out);
        }
        if let Some(other) = progress.assignment
            && let Some(running) = self.items.end(other)
        {
            self.note_end(&running);
            release(running.gateway, other, out);
        }
        self.take_text(now, item, text, (gateway, assignment), state, out);
        self.place_items(now, state, out);
    }

    /// A try has made the whole text of an item that has no result yet.
    fn take_text(
        &mut self,
        now: Instant,
        item: &ItemKey,
        text: FinishedText,
        finished: (GatewayId, AssignmentId),
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        if Self::scorer_of(item, state).is_some() {
            self.keep_unscored(now, item, text, finished, out);
        } else {
            self.list_success(item, text, finished, out);
        }
    }

    /// A try is of no use, and neither is the scoring that may have followed it.
    fn release_unknown(&self, gateway: GatewayId, assignment: AssignmentId, out: &mut Outputs) {
        release(gateway, assignment, out);
        if !self.scorings.has(assignment) {
            release_scoring(gateway, assignment, out);
        }
    }

    fn take_outcome(
        &mut self,
        now: Instant,
        running: &Running,
        outcome: ItemOutcome,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        match outcome {
            ItemOutcome::Interrupted { text, cause } => {
                if let Some(progress) = self.items.progress_mut(&running.item) {
                    progress.kept = text;
                }
                if let BreakCause::Engine(request) = cause {
                    self.pause_engine(now, &running.instance);
                    self.note_break(now, &running.item, request, state);
                }
                self.items.wait(running.item.clone());
            }
            ItemOutcome::NotRun(reason) => self.not_run(now, running, reason),
            ItemOutcome::Failed => self.failed(now, running, state, out),
            ItemOutcome::Impossible | ItemOutcome::Finished(_) => {
                self.abandon(
                    &running.item,
                    "the engine says that it can never be done",
                    out,
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
        self.engines.pause(now, instance);
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

    fn failed(
        &mut self,
        now: Instant,
        running: &Running,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let most = self.most_attempts(&running.item, state);
        let Some(progress) = self.items.progress_mut(&running.item) else {
            return;
        };
        progress.failures += 1;
        progress.not_before = Some(now + FAILED_PAUSE);
        if progress.failures >= most {
            return self.abandon(&running.item, "it failed as often as its route allows", out);
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
        out: &mut Outputs,
    ) {
        let result = ListedResult {
            index: item.index,
            state: ItemState::Succeeded,
            text: text.text,
            versions: text.versions,
            score: None,
        };
        self.list(item, result, Some(finished), out);
    }

    /// Gives an item up.
    pub(crate) fn abandon(&mut self, item: &ItemKey, reason: &'static str, out: &mut Outputs) {
        let decision = Decision::ItemAbandoned {
            job: item.job.clone(),
            index: item.index,
            reason,
        };
        log(decision, out);
        let result = ListedResult {
            index: item.index,
            state: ItemState::Abandoned,
            text: ResultText::default(),
            versions: Vec::new(),
            score: None,
        };
        for (gateway, scoring) in self.scorings.remove_item(item) {
            release_scoring(gateway, scoring, out);
        }
        self.list(item, result, None, out);
    }

    /// Proposes a result; the gateway that made it keeps it until it is committed.
    fn list(
        &mut self,
        item: &ItemKey,
        result: ListedResult,
        finished: Option<(GatewayId, AssignmentId)>,
        out: &mut Outputs,
    ) {
        self.items.finish(item);
        let job = item.job.clone();
        let command = Command::ListResult {
            job: job.clone(),
            result,
        };
        self.propose(command, Waiter::Result { job, finished }, out);
    }

    /// Its engine and its gateway have one item less.
    pub(crate) fn note_end(&mut self, running: &Running) {
        self.engines.ended(&running.instance);
        if let Some(known) = self.gateways.get_mut(&running.gateway) {
            known.running = known.running.saturating_sub(1);
        }
    }
}

/// Whether a text is of a version that its job does not allow.
fn is_too_old(text: &FinishedText, item: &ItemKey, state: &CoordinationState) -> bool {
    let job = state.jobs().get(&item.job);
    let oldest = job.map_or(0, |job| job.submission.min_version);
    !text.is_made_since(oldest)
}

/// Tells a gateway that a try is of no more use.
pub(crate) fn release(gateway: GatewayId, assignment: AssignmentId, out: &mut Outputs) {
    let message = CoordinatorMessage::Release { assignment };
    out.push(LeaderOutput::Effect(Effect::ToGateway(gateway, message)));
}
