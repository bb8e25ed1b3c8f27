//! State machine of one caller's request.
//!
//! Phases: claim (if the request has an idempotency key) -> attempts, each routed by the router ->
//! settlement of the claim -> final answer. A non-repeatable request is retried only after an
//! attempt that did not run.
//!
//! Invariants: no attempt of a keyed request starts before its claim is granted; at most one
//! attempt is in flight; each execution gives one final answer, unless its caller disconnects; a
//! claim is settled as not run only if no attempt can have run.

use crate::answer::{ErrorCode, FinalAnswer, RequestError};
use crate::attempt::{AnswerBody, AttemptEnd, AttemptFailure, FailureKind};
use crate::claim::{claim_output, outcome_of_verdict, settle_output};
use crate::errors::{DEFAULT_RETRY_AFTER, attempt_error, claim_error, deadline_error};
use crate::faults::Faults;
use crate::messages::{ExecutionInput, ExecutionOutput, SendAttempt};
use crate::outcome::{outcome_of_answer, outcome_of_failure};
use crate::retry::{backoff, may_retry, next_slot_poll};
use crate::specification::{ExecutionLimits, RequestSpecification};
use wingshore_routing::{AttemptOutcome, Refusal, RefusalCode, Router, Ticket};
use wingshore_types::protocol::claims::{ClaimOutcome, ClaimsReply, StoredAnswer};
use wingshore_types::{Instant, ServerId, Verdict};

/// An attempt in flight.
#[derive(Clone, Debug)]
struct InFlight {
    attempt: u32,
    ticket: Ticket,
    server: ServerId,
    sent_at: Instant,
}

#[derive(Clone, Debug)]
enum Phase {
    New,
    Claiming,
    Waiting {
        slot_until: Instant,
    },
    InFlight(InFlight),
    /// Used only by the injected fault `send_before_claim`: the claim follows the attempt.
    ClaimingLate {
        attempt: u32,
    },
    Over,
}

/// State machine of one caller's request; the module documentation describes its phases.
#[derive(Debug)]
pub struct RequestExecution {
    specification: RequestSpecification,
    limits: ExecutionLimits,
    faults: Faults,
    phase: Phase,
    attempts: u32,
    verdict: Verdict,
    last_failure: Option<AttemptFailure>,
}

impl RequestExecution {
    /// Creates an execution; [`ExecutionInput::Begin`] starts it.
    pub fn new(
        specification: RequestSpecification,
        limits: ExecutionLimits,
        faults: Faults,
    ) -> Self {
        Self {
            specification,
            limits,
            faults,
            phase: Phase::New,
            attempts: 0,
            verdict: Verdict::NotRun,
            last_failure: None,
        }
    }

    /// Returns whether the final answer was given or the caller disconnected.
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Over)
    }

    /// Returns the number of attempts made so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Handles one input and appends the resulting outputs to `out`. Inputs that are not valid in
    /// the current phase, for instance the end of a cancelled attempt, are ignored.
    pub fn step(
        &mut self,
        now: Instant,
        input: ExecutionInput,
        router: &mut Router,
        out: &mut Vec<ExecutionOutput>,
    ) {
        match input {
            ExecutionInput::Begin => self.begin(now, router, out),
            ExecutionInput::ClaimAnswered(reply) => self.on_claim(now, reply, router, out),
            ExecutionInput::ClaimFailed(verdict) => self.on_claim_failed(verdict, out),
            ExecutionInput::AttemptEnded { attempt, end } => {
                self.on_attempt_ended(now, attempt, end, router, out);
            }
            ExecutionInput::Tick => self.on_tick(now, router, out),
            ExecutionInput::CallerDisconnected => self.on_caller_disconnected(now, router, out),
        }
    }

    fn begin(&mut self, now: Instant, router: &mut Router, out: &mut Vec<ExecutionOutput>) {
        if !matches!(self.phase, Phase::New) {
            return;
        }
        match &self.specification.claim {
            Some(claim) if !self.faults.send_before_claim => {
                out.push(claim_output(claim));
                self.phase = Phase::Claiming;
            }
            _ => self.try_admit(now, now + self.limits.slot_wait, router, out),
        }
    }

    fn on_claim(
        &mut self,
        now: Instant,
        reply: ClaimsReply,
        router: &mut Router,
        out: &mut Vec<ExecutionOutput>,
    ) {
        if let Phase::ClaimingLate { attempt } = self.phase {
            return self.finish(FinalAnswer::Forward { attempt }, out);
        }
        if !matches!(self.phase, Phase::Claiming) {
            return;
        }
        match reply {
            ClaimsReply::Granted => {
                self.try_admit(now, now + self.limits.slot_wait, router, out);
            }
            ClaimsReply::Answered(Some(stored_answer)) => {
                self.finish(FinalAnswer::Replay(stored_answer), out)
            }
            ClaimsReply::Settled => self.on_claim_failed(Verdict::MayHaveRun, out),
            refused => self.finish(FinalAnswer::Error(claim_error(&refused)), out),
        }
    }

    fn on_claim_failed(&mut self, verdict: Verdict, out: &mut Vec<ExecutionOutput>) {
        if !matches!(self.phase, Phase::Claiming | Phase::ClaimingLate { .. }) {
            return;
        }
        // No attempt was sent, but the claims group may have recorded the key for this claimant.
        if verdict != Verdict::NotRun {
            self.settle(ClaimOutcome::NotRun, out);
        }
        let error = RequestError {
            code: ErrorCode::ClaimsUnavailable,
            verdict: self.verdict,
            message: "the group that keeps idempotency keys did not answer in time".to_owned(),
            retry_after: Some(DEFAULT_RETRY_AFTER),
        };
        self.finish(FinalAnswer::Error(error), out);
    }

    /// Asks the router for a server; then sends the request, waits for a slot or fails the request.
    fn try_admit(
        &mut self,
        now: Instant,
        slot_until: Instant,
        router: &mut Router,
        out: &mut Vec<ExecutionOutput>,
    ) {
        let admitted = router
            .admit(now, &self.specification.route)
            .or_else(|refusal| self.admit_including_excluded(now, refusal, router));
        match admitted {
            Ok(admitted) => {
                self.attempts += 1;
                out.push(ExecutionOutput::Send(SendAttempt {
                    attempt: self.attempts,
                    server: admitted.server.clone(),
                    address: admitted.address,
                    deadline: self.specification.route.deadline,
                    fresh_connection: self.specification.is_at_most_once(),
                }));
                self.phase = Phase::InFlight(InFlight {
                    attempt: self.attempts,
                    ticket: admitted.ticket,
                    server: admitted.server,
                    sent_at: now,
                });
            }
            Err(refusal) => self.on_refusal(now, slot_until, refusal, out),
        }
    }

    /// Retries the admission with the excluded servers when no other server is available.
    fn admit_including_excluded(
        &mut self,
        now: Instant,
        refusal: Refusal,
        router: &mut Router,
    ) -> Result<wingshore_routing::Admitted, Refusal> {
        let route = &mut self.specification.route;
        if route.excluded.is_empty() || refusal.code != RefusalCode::NoServer {
            return Err(refusal);
        }
        route.excluded.clear();
        router.admit(now, route)
    }

    fn on_refusal(
        &mut self,
        now: Instant,
        slot_until: Instant,
        refusal: Refusal,
        out: &mut Vec<ExecutionOutput>,
    ) {
        let deadline = self.specification.route.deadline;
        let next_poll = next_slot_poll(&self.limits, now, refusal.code, slot_until, deadline);
        if let Some(next_poll) = next_poll {
            self.phase = Phase::Waiting { slot_until };
            out.push(ExecutionOutput::WaitUntil(next_poll));
            return;
        }
        let error = RequestError::from_refusal(refusal, self.verdict);
        self.fail(error, out);
    }

    fn on_attempt_ended(
        &mut self,
        now: Instant,
        attempt: u32,
        end: AttemptEnd,
        router: &mut Router,
        out: &mut Vec<ExecutionOutput>,
    ) {
        let Phase::InFlight(in_flight) = &self.phase else {
            return;
        };
        if in_flight.attempt != attempt {
            return;
        }
        let in_flight = in_flight.clone();
        match end {
            AttemptEnd::Answered {
                status,
                body,
                stored_answer,
            } if body == AnswerBody::Complete || self.faults.accept_truncated_body => {
                let latency = now.since(in_flight.sent_at);
                router.on_finished(now, in_flight.ticket, outcome_of_answer(status, latency));
                self.on_answer(attempt, stored_answer, out);
            }
            AttemptEnd::Answered { .. } => {
                let failure = AttemptFailure {
                    kind: FailureKind::AnswerCut,
                    message: format!("the answer of `{}` was cut short", in_flight.server),
                    retry_after: None,
                };
                self.on_failure(now, in_flight, failure, router, out);
            }
            AttemptEnd::Failed(failure) => self.on_failure(now, in_flight, failure, router, out),
        }
    }

    fn on_answer(
        &mut self,
        attempt: u32,
        stored_answer: Option<StoredAnswer>,
        out: &mut Vec<ExecutionOutput>,
    ) {
        if let (Some(claim), true) = (&self.specification.claim, self.faults.send_before_claim) {
            out.push(claim_output(claim));
            self.phase = Phase::ClaimingLate { attempt };
            return;
        }
        self.settle(ClaimOutcome::Answered(stored_answer), out);
        self.finish(FinalAnswer::Forward { attempt }, out);
    }

    fn on_failure(
        &mut self,
        now: Instant,
        in_flight: InFlight,
        failure: AttemptFailure,
        router: &mut Router,
        out: &mut Vec<ExecutionOutput>,
    ) {
        let verdict = failure.kind.verdict();
        router.on_finished(now, in_flight.ticket, outcome_of_failure(failure.kind));
        self.verdict = self.verdict.worse(verdict);
        self.last_failure = Some(failure.clone());
        let is_lease_lost = failure.kind == FailureKind::LeaseLost;
        if !is_lease_lost && self.is_retry_allowed(now, verdict, router) {
            return self.schedule_retry(now, in_flight.server, out);
        }
        let expired = now >= self.specification.route.deadline;
        let error = attempt_error(&failure, self.verdict, expired);
        self.fail(error, out);
    }

    fn is_retry_allowed(&self, now: Instant, verdict: Verdict, router: &mut Router) -> bool {
        let mut route = self.specification.route.clone();
        route.no_repeat = self.specification.is_at_most_once();
        if self.faults.retry_on_may_have_run {
            route.no_repeat = false;
        }
        may_retry(&self.limits, self.attempts, route.no_repeat, verdict)
            && router.may_retry(now, &route, verdict)
    }

    fn schedule_retry(&mut self, now: Instant, failed: ServerId, out: &mut Vec<ExecutionOutput>) {
        self.specification.route.excluded.push(failed);
        let resume_at = now + backoff(&self.limits, self.attempts);
        self.phase = Phase::Waiting {
            slot_until: resume_at + self.limits.slot_wait,
        };
        out.push(ExecutionOutput::WaitUntil(resume_at));
    }

    fn on_tick(&mut self, now: Instant, router: &mut Router, out: &mut Vec<ExecutionOutput>) {
        let expired = now >= self.specification.route.deadline;
        match &self.phase {
            Phase::Waiting { slot_until } if !expired => {
                self.try_admit(now, *slot_until, router, out);
            }
            Phase::Waiting { .. } => self.fail(deadline_error(self.verdict), out),
            Phase::InFlight(in_flight) if expired => {
                let in_flight = in_flight.clone();
                let failed = AttemptOutcome::Failed(Verdict::MayHaveRun);
                router.on_finished(now, in_flight.ticket, failed);
                self.verdict = self.verdict.worse(Verdict::MayHaveRun);
                out.push(ExecutionOutput::Cancel {
                    attempt: in_flight.attempt,
                });
                self.fail(deadline_error(self.verdict), out);
            }
            _ => {}
        }
    }

    fn on_caller_disconnected(
        &mut self,
        now: Instant,
        router: &mut Router,
        out: &mut Vec<ExecutionOutput>,
    ) {
        match &self.phase {
            Phase::New | Phase::Over => {}
            Phase::InFlight(in_flight) => {
                router.on_finished(now, in_flight.ticket, AttemptOutcome::Cancelled);
                out.push(ExecutionOutput::Cancel {
                    attempt: in_flight.attempt,
                });
                self.settle(ClaimOutcome::Unknown, out);
            }
            Phase::Claiming | Phase::Waiting { .. } => self.settle_by_verdict(out),
            Phase::ClaimingLate { .. } => self.settle(ClaimOutcome::Unknown, out),
        }
        self.phase = Phase::Over;
    }

    fn fail(&mut self, error: RequestError, out: &mut Vec<ExecutionOutput>) {
        self.settle_by_verdict(out);
        self.finish(FinalAnswer::Error(error), out);
    }

    fn settle_by_verdict(&self, out: &mut Vec<ExecutionOutput>) {
        self.settle(outcome_of_verdict(self.verdict), out);
    }

    fn settle(&self, outcome: ClaimOutcome, out: &mut Vec<ExecutionOutput>) {
        if let Some(claim) = &self.specification.claim {
            out.push(settle_output(claim, outcome));
        }
    }

    fn finish(&mut self, mut answer: FinalAnswer, out: &mut Vec<ExecutionOutput>) {
        if let (FinalAnswer::Error(error), true) =
            (&mut answer, self.faults.report_failures_as_not_run)
        {
            error.verdict = Verdict::NotRun;
        }
        out.push(ExecutionOutput::Answer(answer));
        self.phase = Phase::Over;
    }
}
