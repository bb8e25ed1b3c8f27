//! One caller's request as a state machine.
//!
//! claim (when it has an idempotency key) -> attempts, each through the router -> settle the
//! claim -> final answer. A request that must not be repeated is sent again only after an attempt
//! that certainly did not run.

use crate::answer::{ErrorCode, FinalAnswer, RequestError};
use crate::attempt::{AnswerBody, AttemptEnd, AttemptFailure, FailureKind};
use crate::errors::{DEFAULT_RETRY_AFTER, attempt_error, claim_error, deadline_error};
use crate::faults::Faults;
use crate::specification::{ClaimIntent, ExecutionLimits, RequestSpecification};
use std::net::SocketAddr;
use wingshore_routing::{AttemptOutcome, Refusal, RefusalCode, Router, Ticket};
use wingshore_types::protocol::claims::{ClaimOutcome, ClaimsReply, ClaimsRequest, StoredAnswer};
use wingshore_types::{GroupId, Instant, ServerId, Verdict};

/// First status that counts as the server's own failure.
const FIRST_SERVER_ERROR: u16 = 500;

/// What an execution reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionInput {
    /// Begin.
    Begin,
    /// The claims group answered.
    ClaimAnswered(ClaimsReply),
    /// The claims group did not answer; the verdict says whether the claim may stand.
    ClaimFailed(Verdict),
    /// An attempt ended.
    AttemptEnded {
        /// Its number.
        attempt: u32,
        /// How.
        end: AttemptEnd,
    },
    /// The time asked for by [`ExecutionOutput::WaitUntil`], or any other, has come.
    Tick,
    /// The caller has gone: nobody wants the answer any more.
    CallerGone,
}

/// An attempt to be made now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendAttempt {
    /// Its number, from 1.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Give up then.
    pub deadline: Instant,
    /// Whether a connection of its own is wanted: on a reused one, a close by the server can
    /// cross the request, which then may have run.
    pub fresh_connection: bool,
}

/// What an execution wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutput {
    /// Ask a claims group and report its answer.
    Claim {
        /// The group.
        group: GroupId,
        /// The claim.
        request: ClaimsRequest,
    },
    /// Make an attempt and report its end.
    Send(SendAttempt),
    /// Send a tick at this time.
    WaitUntil(Instant),
    /// Tell a claims group how the claim ended; again until it has answered. Nothing waits.
    Settle {
        /// The group.
        group: GroupId,
        /// The settlement.
        request: ClaimsRequest,
    },
    /// Stop an attempt; its end is no longer wanted.
    Cancel {
        /// Its number.
        attempt: u32,
    },
    /// Give the caller its answer. The execution is over.
    Answer(FinalAnswer),
}

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
    /// Deliberate fault only: the claim follows the attempt.
    ClaimingLate {
        attempt: u32,
    },
    Over,
}

/// One caller's request; see the module's page.
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
    /// An execution that has not begun.
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

    /// Whether the final answer was given, or the caller has gone.
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Over)
    }

    /// Attempts made so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Handles one input, pushing what follows from it. Inputs that do not fit the phase, for
    /// instance the end of an attempt that was cancelled, are ignored.
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
            ExecutionInput::CallerGone => self.on_caller_gone(now, router, out),
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
            _ => self.look_for_server(now, now + self.limits.slot_wait, router, out),
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
                self.look_for_server(now, now + self.limits.slot_wait, router, out);
            }
            ClaimsReply::Answered(Some(kept)) => self.finish(FinalAnswer::Replay(kept), out),
            ClaimsReply::Settled => self.on_claim_failed(Verdict::MayHaveRun, out),
            refused => self.finish(FinalAnswer::Error(claim_error(&refused)), out),
        }
    }

    fn on_claim_failed(&mut self, verdict: Verdict, out: &mut Vec<ExecutionOutput>) {
        if !matches!(self.phase, Phase::Claiming | Phase::ClaimingLate { .. }) {
            return;
        }
        // Nothing has left for a back end, yet the key may be held under this claimant.
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

    /// Asks the router for a server; sends, waits for a slot, or gives up.
    fn look_for_server(
        &mut self,
        now: Instant,
        slot_until: Instant,
        router: &mut Router,
        out: &mut Vec<ExecutionOutput>,
    ) {
        let admitted = router
            .admit(now, &self.specification.route)
            .or_else(|refusal| self.admit_among_excluded(now, refusal, router));
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

    /// Servers that failed the request are better than none.
    fn admit_among_excluded(
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
        let next_look = now + self.limits.slot_poll;
        let waits = refusal.code == RefusalCode::NoCapacity
            && next_look < slot_until
            && next_look < self.specification.route.deadline;
        if waits {
            self.phase = Phase::Waiting { slot_until };
            out.push(ExecutionOutput::WaitUntil(next_look));
            return;
        }
        let error = RequestError::from_refusal(refusal, self.verdict);
        self.give_up(error, out);
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
            AttemptEnd::Answered { status, body, kept }
                if body == AnswerBody::Whole || self.faults.accept_short_body =>
            {
                router.on_finished(now, in_flight.ticket, outcome_of(now, &in_flight, status));
                self.on_answer(attempt, kept, out);
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
        kept: Option<StoredAnswer>,
        out: &mut Vec<ExecutionOutput>,
    ) {
        if let (Some(claim), true) = (&self.specification.claim, self.faults.send_before_claim) {
            out.push(claim_output(claim));
            self.phase = Phase::ClaimingLate { attempt };
            return;
        }
        self.settle(ClaimOutcome::Answered(kept), out);
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
        let outcome = match failure.kind {
            FailureKind::RefusedByServer => AttemptOutcome::Refused,
            FailureKind::LeaseLost => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Failed(verdict),
        };
        router.on_finished(now, in_flight.ticket, outcome);
        self.verdict = self.verdict.worse(verdict);
        self.last_failure = Some(failure.clone());
        let is_own_fault = failure.kind == FailureKind::LeaseLost;
        if !is_own_fault && self.may_send_again(now, verdict, router) {
            return self.wait_before_retry(now, in_flight.server, out);
        }
        let expired = now >= self.specification.route.deadline;
        let error = attempt_error(&failure, self.verdict, expired);
        self.give_up(error, out);
    }

    fn may_send_again(&self, now: Instant, verdict: Verdict, router: &mut Router) -> bool {
        let mut route = self.specification.route.clone();
        route.no_repeat = self.specification.is_at_most_once();
        if self.faults.retry_on_may_have_run {
            route.no_repeat = false;
        }
        let allowed = !route.no_repeat || verdict.allows_retry_of_no_repeat();
        allowed && self.attempts < self.limits.attempts && router.may_retry(now, &route, verdict)
    }

    fn wait_before_retry(
        &mut self,
        now: Instant,
        failed: ServerId,
        out: &mut Vec<ExecutionOutput>,
    ) {
        self.specification.route.excluded.push(failed);
        let doublings = self.attempts.saturating_sub(1).min(10);
        let resume_at = now + self.limits.backoff * (1 << doublings);
        self.phase = Phase::Waiting {
            slot_until: resume_at + self.limits.slot_wait,
        };
        out.push(ExecutionOutput::WaitUntil(resume_at));
    }

    fn on_tick(&mut self, now: Instant, router: &mut Router, out: &mut Vec<ExecutionOutput>) {
        let expired = now >= self.specification.route.deadline;
        match &self.phase {
            Phase::Waiting { slot_until } if !expired => {
                self.look_for_server(now, *slot_until, router, out);
            }
            Phase::Waiting { .. } => self.give_up(deadline_error(self.verdict), out),
            Phase::InFlight(in_flight) if expired => {
                let in_flight = in_flight.clone();
                let failed = AttemptOutcome::Failed(Verdict::MayHaveRun);
                router.on_finished(now, in_flight.ticket, failed);
                self.verdict = self.verdict.worse(Verdict::MayHaveRun);
                out.push(ExecutionOutput::Cancel {
                    attempt: in_flight.attempt,
                });
                self.give_up(deadline_error(self.verdict), out);
            }
            _ => {}
        }
    }

    fn on_caller_gone(
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

    fn give_up(&mut self, error: RequestError, out: &mut Vec<ExecutionOutput>) {
        self.settle_by_verdict(out);
        self.finish(FinalAnswer::Error(error), out);
    }

    /// Frees the key only when no attempt can have run.
    fn settle_by_verdict(&self, out: &mut Vec<ExecutionOutput>) {
        let outcome = match self.verdict {
            Verdict::NotRun => ClaimOutcome::NotRun,
            Verdict::MayHaveRun => ClaimOutcome::Unknown,
            Verdict::Ran => ClaimOutcome::Answered(None),
        };
        self.settle(outcome, out);
    }

    fn settle(&self, outcome: ClaimOutcome, out: &mut Vec<ExecutionOutput>) {
        let Some(claim) = &self.specification.claim else {
            return;
        };
        out.push(ExecutionOutput::Settle {
            group: claim.group,
            request: ClaimsRequest::Settle {
                key: claim.key.clone(),
                claimant: claim.claimant.clone(),
                outcome,
            },
        });
    }

    fn finish(&mut self, mut answer: FinalAnswer, out: &mut Vec<ExecutionOutput>) {
        if let (FinalAnswer::Error(error), true) = (&mut answer, self.faults.deny_having_run) {
            error.verdict = Verdict::NotRun;
        }
        out.push(ExecutionOutput::Answer(answer));
        self.phase = Phase::Over;
    }
}

fn claim_output(claim: &ClaimIntent) -> ExecutionOutput {
    ExecutionOutput::Claim {
        group: claim.group,
        request: ClaimsRequest::Claim {
            key: claim.key.clone(),
            fingerprint: claim.fingerprint,
            claimant: claim.claimant.clone(),
        },
    }
}

/// What the router learns from a whole answer: a server error counts against the server.
fn outcome_of(now: Instant, in_flight: &InFlight, status: u16) -> AttemptOutcome {
    if status >= FIRST_SERVER_ERROR {
        return AttemptOutcome::Failed(Verdict::Ran);
    }
    AttemptOutcome::Success {
        latency: now.since(in_flight.sent_at),
    }
}
