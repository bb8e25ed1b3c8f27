//! The leader's side of scoring: texts without a score, scorings that gateways report, and their
//! outcomes. [`scoring_grants`](super::scoring_grants) decides when a text is scored.

use super::decision_log::Decision;
use super::decisions::expiry::is_silent;
use super::decisions::scoring_outcome::{FAILED_TOO_OFTEN, Failures, NextStep, backoff, next_step};
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::tables::scorings::OpenScoring;
use super::turn::Turn;
use crate::ids::{AssignmentId, GatewayId, ItemKey};
use crate::scoring::{NotScoredReason, RunningScoring, Scorer, ScoringDecision, ScoringOutcome};
use crate::state::{Command, CoordinationState};
use crate::text::FinishedText;
use wingshore_types::Instant;

impl CoordinationLeader {
    /// Returns the scorer of an item, if it has one.
    pub(crate) fn scorer_of<'a>(
        item: &ItemKey,
        state: &'a CoordinationState,
    ) -> Option<&'a Scorer> {
        let job = state.jobs().get(&item.job)?;
        job.item_contents(item.index)?.scorer.as_deref()
    }

    /// Stores the finished text of an item that is to be scored. The text is made durable while its
    /// score is already requested: by the gateway that produced it, or, if that gateway waits for
    /// grants, once a scoring is granted.
    pub(crate) fn store_unscored_text(
        &mut self,
        item: &ItemKey,
        text: FinishedText,
        (gateway, made_by): (GatewayId, AssignmentId),
        turn: &mut Turn<'_>,
    ) {
        self.items.finish(item);
        self.queue_or_start_scoring(item, gateway, made_by, turn);
        let command = Command::KeepUnscored {
            item: item.clone(),
            made_by,
            text,
        };
        let follow_up = FollowUp::UnscoredTextStored { gateway, made_by };
        self.propose(command, follow_up, turn);
        self.place_scorings(turn);
    }

    /// Queues the scoring of a new text, or counts it as under way where the gateway has started it.
    fn queue_or_start_scoring(
        &mut self,
        item: &ItemKey,
        gateway: GatewayId,
        made_by: AssignmentId,
        turn: &Turn<'_>,
    ) {
        // A gateway that finished the text without a leader may have started the scoring.
        if self.scorings.has(made_by) {
            return;
        }
        if self.gateways.waits_for_grants(gateway) {
            return self.scorings.enqueue(item.clone(), made_by, turn.now);
        }
        let running = OpenScoring {
            item: item.clone(),
            made_by,
            service: self.scoring_service(item, turn.state),
            gateway,
            last_reported_at: turn.now,
        };
        self.scorings.start(made_by, running);
    }

    /// Adopts a scoring that a gateway reports and that began under an earlier leader.
    pub(crate) fn adopt_scoring(
        &mut self,
        gateway: GatewayId,
        scoring: RunningScoring,
        turn: &mut Turn<'_>,
    ) {
        let RunningScoring {
            scoring,
            item,
            made_by,
        } = scoring;
        if self.scorings.under_way.contains_key(&scoring) {
            return;
        }
        let job = turn.state.jobs().get(&item.job).filter(|job| !job.ended);
        let kept = job.and_then(|job| job.unscored(item.index));
        let is_own_text = match kept {
            Some(kept) => kept.made_by == made_by,
            // The gateway that produced the text may deliver it right after this report.
            None => scoring == made_by && self.items.is_under_way(made_by),
        };
        // The end of the job may be proposed and not committed yet: then its items are gone.
        let is_open = self.items.open_item(&item).is_some()
            && job.is_some_and(|job| !job.is_listed(item.index));
        if !is_open || !is_own_text || self.scorings.is_assigned(&item) {
            return turn.release_scoring(gateway, scoring);
        }
        let running = OpenScoring {
            service: self.scoring_service(&item, turn.state),
            item,
            made_by,
            gateway,
            last_reported_at: turn.now,
        };
        self.scorings.start(scoring, running);
    }

    /// Records that a gateway still runs these scorings.
    pub(crate) fn on_scorings_running(&mut self, now: Instant, scorings: &[AssignmentId]) {
        for scoring in scorings {
            if let Some(running) = self.scorings.under_way.get_mut(scoring) {
                running.last_reported_at = now;
            }
        }
    }

    /// Queues the scorings of a lost gateway again, for texts that are durable or about to be.
    pub(crate) fn requeue_scorings_of_gateway(&mut self, now: Instant, gateway: GatewayId) {
        self.requeue_scorings(now, |running| running.gateway == gateway);
    }

    /// Ends the scorings that their gateways no longer report, and queues them again.
    pub(crate) fn end_silent_scorings(&mut self, now: Instant) {
        self.requeue_scorings(now, |running| is_silent(now, running.last_reported_at));
    }

    fn requeue_scorings(&mut self, now: Instant, is_lost: impl Fn(&OpenScoring) -> bool) {
        for (_, running) in self.scorings.take_running(is_lost) {
            // If the text never arrived, the item itself runs again instead.
            let open_item = self.items.open_item(&running.item);
            if open_item.is_some_and(|open_item| open_item.has_result) {
                self.scorings.enqueue(running.item, running.made_by, now);
            }
        }
    }

    /// Handles the end of a scoring at a gateway.
    pub(crate) fn on_scoring_ended(
        &mut self,
        gateway: GatewayId,
        scoring: AssignmentId,
        outcome: ScoringOutcome,
        turn: &mut Turn<'_>,
    ) {
        let Some(running) = self.scorings.under_way.remove(&scoring) else {
            return turn.release_scoring(gateway, scoring);
        };
        let OpenScoring {
            item,
            made_by,
            service,
            ..
        } = running;
        let reason = outcome.name();
        if let Some(service) = service.filter(|_| is_refusal(&outcome)) {
            self.scoring_services.count_refusal(&service);
        }
        let known = Failures {
            counted: committed_failures(&item, turn.state),
            max: self.max_scoring_failures(&item, turn.state),
            may_include_reported: scoring.epoch != self.epoch,
        };
        match next_step(outcome, known) {
            NextStep::Take(score) => self.list_scored(gateway, scoring, item, made_by, score, turn),
            NextStep::Abandon => {
                turn.release_scoring(gateway, scoring);
                self.abandon(&item, FAILED_TOO_OFTEN, turn);
            }
            NextStep::Retry { counted, failures } => {
                if counted.is_none() {
                    turn.release_scoring(gateway, scoring);
                }
                self.retry_scoring(scoring, &item, made_by, (reason, failures), turn);
                if let Some(failures) = counted {
                    let command = Command::CountScoringFailures {
                        item,
                        made_by,
                        failures,
                    };
                    let follow_up = FollowUp::ScoringFailuresCounted { gateway, scoring };
                    self.propose(command, follow_up, turn);
                }
            }
        }
        self.place_scorings(turn);
    }

    /// Proposes to list an item with its score. The gateway keeps the score until it is committed.
    fn list_scored(
        &mut self,
        gateway: GatewayId,
        scoring: AssignmentId,
        item: ItemKey,
        made_by: AssignmentId,
        score: String,
        turn: &mut Turn<'_>,
    ) {
        self.scorings.retries.remove(&item);
        let command = Command::ListScored {
            item: item.clone(),
            made_by,
            score,
        };
        let finished = (gateway, scoring);
        let follow_up = FollowUp::Scored { item, finished };
        self.propose(command, follow_up, turn);
    }

    fn retry_scoring(
        &mut self,
        scoring: AssignmentId,
        item: &ItemKey,
        made_by: AssignmentId,
        (reason, failures): (&'static str, u32),
        turn: &mut Turn<'_>,
    ) {
        let pause = backoff(self.scorings.count_retry(item));
        self.scorings
            .enqueue(item.clone(), made_by, turn.now + pause);
        let decision = ScoringDecision::Retried {
            scoring,
            item: item.clone(),
            reason,
            failures,
            pause,
        };
        turn.log(Decision::Scoring(decision));
    }

    /// Continues after a score was committed. The item is now listed, unless the stored text is
    /// from another attempt than the score; that text is then scored.
    pub(crate) fn on_scored(
        &mut self,
        item: &ItemKey,
        (gateway, scoring): (GatewayId, AssignmentId),
        turn: &mut Turn<'_>,
    ) {
        turn.release_scoring(gateway, scoring);
        let Some(job) = turn.state.jobs().get(&item.job) else {
            return;
        };
        if job.is_listed(item.index) {
            self.log_last_result(&item.job, turn);
            return self.answer_readers_of(&item.job, turn);
        }
        if let Some(unscored) = job.unscored(item.index)
            && !self.scorings.is_assigned(item)
        {
            self.scorings
                .enqueue(item.clone(), unscored.made_by, turn.now);
        }
    }

    fn max_scoring_failures(&self, item: &ItemKey, state: &CoordinationState) -> u32 {
        let scorer = Self::scorer_of(item, state);
        let route = scorer.and_then(|scorer| self.routes.find(&scorer.host, &scorer.path));
        route.map_or(u32::MAX, |route| route.max_attempts).max(1)
    }
}

/// Returns the number of failures of scoring servers that are committed for an item.
fn committed_failures(item: &ItemKey, state: &CoordinationState) -> u32 {
    let job = state.jobs().get(&item.job);
    let unscored = job.and_then(|job| job.unscored(item.index));
    unscored.map_or(0, |unscored| unscored.failures)
}

/// Returns whether no server accepted a scoring, or answered it in time.
fn is_refusal(outcome: &ScoringOutcome) -> bool {
    matches!(
        outcome,
        ScoringOutcome::NotScored(NotScoredReason::Refused | NotScoredReason::NoAnswer)
    )
}
