//! Property tests with two nodes under arbitrary interleavings and losses: an at-most-once request
//! runs at most once, and a request reported as not run did not run. Each injected fault must be
//! detected.

mod common;

use common::{claim, router, run_property, specification};
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::{Strategy, any};
use proptest::test_runner::TestCaseError;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_request::{
    AnswerBody, AttemptEnd, AttemptFailure, ExecutionInput, ExecutionLimits, ExecutionOutput,
    FailureKind, Faults, FinalAnswer, RequestExecution,
};
use wingshore_routing::Router;
use wingshore_types::protocol::claims::{
    ClaimKey, ClaimOutcome, Claimant, ClaimsReply, ClaimsRequest,
};
use wingshore_types::{Instant, Verdict};

/// Requests in one run: two on each of the two nodes.
const REQUESTS: usize = 4;
/// Number of generated schedules for each property.
const CASES: u32 = 2_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Protection {
    /// All requests share one idempotency key: at most one execution in total.
    SharedKey,
    /// Each request is marked as non-repeatable: at most one execution of each.
    NoRepeat,
}

/// One step of a schedule: the request to advance, and a number that selects the result of its
/// pending action.
type ScheduleStep = (usize, u8);

fn schedules() -> impl Strategy<Value = Vec<ScheduleStep>> {
    vec((0..REQUESTS, any::<u8>()), 8..80)
}

/// State of a key in the claims group.
#[derive(Clone, Debug, PartialEq)]
enum ClaimState {
    ClaimedBy(Claimant),
    Answered,
    Unknown,
}

#[derive(Default)]
struct ClaimsModel {
    keys: BTreeMap<ClaimKey, ClaimState>,
}

impl ClaimsModel {
    fn handle(&mut self, request: ClaimsRequest) -> ClaimsReply {
        match request {
            ClaimsRequest::Claim { key, claimant, .. } => match self.keys.get(&key) {
                Some(ClaimState::ClaimedBy(holder)) if *holder == claimant => ClaimsReply::Granted,
                Some(ClaimState::ClaimedBy(_) | ClaimState::Unknown) => {
                    ClaimsReply::Taken { retry_after_ms: 1 }
                }
                Some(ClaimState::Answered) => ClaimsReply::Answered(None),
                None => {
                    self.keys.insert(key, ClaimState::ClaimedBy(claimant));
                    ClaimsReply::Granted
                }
            },
            ClaimsRequest::Settle {
                key,
                claimant,
                outcome,
            } => {
                if self.keys.get(&key) == Some(&ClaimState::ClaimedBy(claimant)) {
                    match outcome {
                        ClaimOutcome::NotRun => self.keys.remove(&key),
                        ClaimOutcome::Answered(_) => self.keys.insert(key, ClaimState::Answered),
                        ClaimOutcome::Unknown => self.keys.insert(key, ClaimState::Unknown),
                    };
                }
                ClaimsReply::Settled
            }
        }
    }
}

/// The next action of a request in the simulation.
enum Pending {
    Input(ExecutionInput),
    Claim(ClaimsRequest),
    Attempt(u32),
}

struct Request {
    execution: RequestExecution,
    node: usize,
    pending: Option<Pending>,
    executions: u32,
    truncated_answers: Vec<u32>,
    answer: Option<FinalAnswer>,
}

struct Simulation {
    routers: [Router; 2],
    claims: ClaimsModel,
    requests: Vec<Request>,
    now: Instant,
}

impl Simulation {
    fn new(protection: Protection, faults: Faults) -> Self {
        let requests = (0..REQUESTS).map(|number| {
            let node = number % 2;
            let claim = (protection == Protection::SharedKey)
                .then(|| claim("charge-1", &format!("node-{node}"), number as u64));
            let specification = specification(protection == Protection::NoRepeat, claim);
            Request {
                execution: RequestExecution::new(specification, ExecutionLimits::default(), faults),
                node,
                pending: Some(Pending::Input(ExecutionInput::Begin)),
                executions: 0,
                truncated_answers: Vec::new(),
                answer: None,
            }
        });
        Self {
            routers: [router(3, 1), router(3, 2)],
            claims: ClaimsModel::default(),
            requests: requests.collect(),
            now: Instant::from_millis(1),
        }
    }

    fn advance(&mut self, (number, result_selector): ScheduleStep) {
        self.now = self.now + Duration::from_millis(20);
        let input = match self.requests[number].pending.take() {
            None => return,
            Some(Pending::Input(input)) => input,
            Some(Pending::Claim(request)) => self.execute_claim(request, result_selector),
            Some(Pending::Attempt(attempt)) => {
                self.execute_attempt(number, attempt, result_selector)
            }
        };
        let request = &mut self.requests[number];
        let mut outputs = Vec::new();
        let router = &mut self.routers[request.node];
        request
            .execution
            .step(self.now, input, router, &mut outputs);
        for output in outputs {
            self.handle_output(number, output, result_selector);
        }
    }

    fn execute_claim(&mut self, request: ClaimsRequest, result_selector: u8) -> ExecutionInput {
        match result_selector % 4 {
            0 => ExecutionInput::ClaimFailed(Verdict::NotRun),
            1 => {
                self.claims.handle(request);
                ExecutionInput::ClaimFailed(Verdict::MayHaveRun)
            }
            _ => ExecutionInput::ClaimAnswered(self.claims.handle(request)),
        }
    }

    fn execute_attempt(
        &mut self,
        number: usize,
        attempt: u32,
        result_selector: u8,
    ) -> ExecutionInput {
        let request = &mut self.requests[number];
        let (runs, end) = match result_selector % 8 {
            0 => (false, failed(FailureKind::ConnectFailed)),
            1 => (false, failed(FailureKind::RefusedByServer)),
            2 => (false, failed(FailureKind::ConnectionLost)),
            3 => (true, failed(FailureKind::ConnectionLost)),
            4 => (true, failed(FailureKind::TimedOut)),
            5 => (true, answered(AnswerBody::Truncated)),
            _ => (true, answered(AnswerBody::Complete)),
        };
        request.executions += u32::from(runs);
        if result_selector % 8 == 5 {
            request.truncated_answers.push(attempt);
        }
        ExecutionInput::AttemptEnded { attempt, end }
    }

    fn handle_output(&mut self, number: usize, output: ExecutionOutput, result_selector: u8) {
        let request = &mut self.requests[number];
        match output {
            ExecutionOutput::Claim { request: claim, .. } => {
                request.pending = Some(Pending::Claim(claim));
            }
            ExecutionOutput::Send(send) => request.pending = Some(Pending::Attempt(send.attempt)),
            ExecutionOutput::WaitUntil(_) => {
                request.pending = Some(Pending::Input(ExecutionInput::Tick));
            }
            // One settlement in four is lost.
            ExecutionOutput::Settle {
                request: settle, ..
            } if result_selector % 4 != 3 => {
                self.claims.handle(settle);
            }
            ExecutionOutput::Settle { .. } | ExecutionOutput::Cancel { .. } => {}
            ExecutionOutput::Answer(answer) => {
                assert!(
                    request.answer.is_none(),
                    "the execution gave two final answers"
                );
                request.answer = Some(answer);
            }
        }
    }

    fn check(&self, protection: Protection) -> Result<(), TestCaseError> {
        let executions: Vec<u32> = self.requests.iter().map(|one| one.executions).collect();
        let at_most_once = match protection {
            Protection::SharedKey => executions.iter().sum::<u32>() <= 1,
            Protection::NoRepeat => executions.iter().all(|count| *count <= 1),
        };
        proptest::prop_assert!(at_most_once, "executed more than once: {executions:?}");
        for request in &self.requests {
            match &request.answer {
                Some(FinalAnswer::Error(error)) if error.verdict == Verdict::NotRun => {
                    proptest::prop_assert_eq!(
                        request.executions,
                        0,
                        "the request was reported as not run, but it ran"
                    );
                }
                Some(FinalAnswer::Forward { attempt }) => {
                    let is_truncated = request.truncated_answers.contains(attempt);
                    proptest::prop_assert!(
                        !is_truncated,
                        "a truncated answer was forwarded as complete"
                    );
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn failed(kind: FailureKind) -> AttemptEnd {
    AttemptEnd::Failed(AttemptFailure {
        kind,
        message: String::new(),
        retry_after: None,
    })
}

fn answered(body: AnswerBody) -> AttemptEnd {
    AttemptEnd::Answered {
        status: 200,
        body,
        stored_answer: None,
    }
}

fn property_holds(protection: Protection, faults: Faults) -> bool {
    run_property(CASES, schedules(), |schedule| {
        let mut simulation = Simulation::new(protection, faults);
        for step in schedule {
            simulation.advance(step);
        }
        simulation.check(protection)
    })
    .is_ok()
}

#[gtest]
fn requests_run_at_most_once_despite_losses() {
    for protection in [Protection::SharedKey, Protection::NoRepeat] {
        expect_that!(
            property_holds(protection, Faults::default()),
            eq(true),
            "{protection:?}"
        );
    }
}

#[gtest]
fn each_injected_fault_is_detected() {
    let none = Faults::default();
    let cases = [
        (
            Protection::NoRepeat,
            Faults {
                retry_on_may_have_run: true,
                ..none
            },
        ),
        (
            Protection::SharedKey,
            Faults {
                send_before_claim: true,
                ..none
            },
        ),
        (
            Protection::NoRepeat,
            Faults {
                accept_truncated_body: true,
                ..none
            },
        ),
    ];
    for (protection, faults) in cases {
        expect_that!(property_holds(protection, faults), eq(false), "{faults:?}");
    }
}
