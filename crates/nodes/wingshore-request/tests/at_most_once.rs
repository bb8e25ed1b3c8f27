//! Two nodes, any interleaving, any loss: what must not be repeated runs at most once, and what is
//! called not run did not run. Each deliberate fault is found.

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

/// Requests in one run: two nodes, each asked twice.
const REQUESTS: usize = 4;
/// Cases of each property.
const CASES: u32 = 2_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Protection {
    /// All requests carry one key: one execution in all.
    SharedKey,
    /// Each request is marked as not to be repeated: one execution each.
    NoRepeat,
}

/// One step of a schedule: whose turn it is, and what happens to what it does.
type Turn = (usize, u8);

fn schedules() -> impl Strategy<Value = Vec<Turn>> {
    vec((0..REQUESTS, any::<u8>()), 8..80)
}

/// What the claims group holds for a key.
#[derive(Clone, Debug, PartialEq)]
enum Held {
    By(Claimant),
    Answered,
    Unknown,
}

#[derive(Default)]
struct ClaimsModel {
    keys: BTreeMap<ClaimKey, Held>,
}

impl ClaimsModel {
    fn ask(&mut self, request: ClaimsRequest) -> ClaimsReply {
        match request {
            ClaimsRequest::Claim { key, claimant, .. } => match self.keys.get(&key) {
                Some(Held::By(holder)) if *holder == claimant => ClaimsReply::Granted,
                Some(Held::By(_) | Held::Unknown) => ClaimsReply::Taken { retry_after_ms: 1 },
                Some(Held::Answered) => ClaimsReply::Answered(None),
                None => {
                    self.keys.insert(key, Held::By(claimant));
                    ClaimsReply::Granted
                }
            },
            ClaimsRequest::Settle {
                key,
                claimant,
                outcome,
            } => {
                if self.keys.get(&key) == Some(&Held::By(claimant)) {
                    match outcome {
                        ClaimOutcome::NotRun => self.keys.remove(&key),
                        ClaimOutcome::Answered(_) => self.keys.insert(key, Held::Answered),
                        ClaimOutcome::Unknown => self.keys.insert(key, Held::Unknown),
                    };
                }
                ClaimsReply::Settled
            }
        }
    }
}

/// What a request does next in the world outside.
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
    cut_answers: Vec<u32>,
    answer: Option<FinalAnswer>,
}

struct World {
    routers: [Router; 2],
    claims: ClaimsModel,
    requests: Vec<Request>,
    now: Instant,
}

impl World {
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
                cut_answers: Vec::new(),
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

    fn turn(&mut self, (number, fate): Turn) {
        self.now = self.now + Duration::from_millis(20);
        let input = match self.requests[number].pending.take() {
            None => return,
            Some(Pending::Input(input)) => input,
            Some(Pending::Claim(request)) => self.meet_claim(request, fate),
            Some(Pending::Attempt(attempt)) => self.meet_attempt(number, attempt, fate),
        };
        let request = &mut self.requests[number];
        let mut outputs = Vec::new();
        let router = &mut self.routers[request.node];
        request
            .execution
            .step(self.now, input, router, &mut outputs);
        for output in outputs {
            self.carry_out(number, output, fate);
        }
    }

    fn meet_claim(&mut self, request: ClaimsRequest, fate: u8) -> ExecutionInput {
        match fate % 4 {
            0 => ExecutionInput::ClaimFailed(Verdict::NotRun),
            1 => {
                self.claims.ask(request);
                ExecutionInput::ClaimFailed(Verdict::MayHaveRun)
            }
            _ => ExecutionInput::ClaimAnswered(self.claims.ask(request)),
        }
    }

    fn meet_attempt(&mut self, number: usize, attempt: u32, fate: u8) -> ExecutionInput {
        let request = &mut self.requests[number];
        let (runs, end) = match fate % 8 {
            0 => (false, failed(FailureKind::ConnectFailed)),
            1 => (false, failed(FailureKind::RefusedByServer)),
            2 => (false, failed(FailureKind::ConnectionLost)),
            3 => (true, failed(FailureKind::ConnectionLost)),
            4 => (true, failed(FailureKind::TimedOut)),
            5 => (true, answered(AnswerBody::Cut)),
            _ => (true, answered(AnswerBody::Whole)),
        };
        request.executions += u32::from(runs);
        if fate % 8 == 5 {
            request.cut_answers.push(attempt);
        }
        ExecutionInput::AttemptEnded { attempt, end }
    }

    fn carry_out(&mut self, number: usize, output: ExecutionOutput, fate: u8) {
        let request = &mut self.requests[number];
        match output {
            ExecutionOutput::Claim { request: claim, .. } => {
                request.pending = Some(Pending::Claim(claim));
            }
            ExecutionOutput::Send(send) => request.pending = Some(Pending::Attempt(send.attempt)),
            ExecutionOutput::WaitUntil(_) => {
                request.pending = Some(Pending::Input(ExecutionInput::Tick));
            }
            // One settlement in four never arrives.
            ExecutionOutput::Settle {
                request: settle, ..
            } if fate % 4 != 3 => {
                self.claims.ask(settle);
            }
            ExecutionOutput::Settle { .. } | ExecutionOutput::Cancel { .. } => {}
            ExecutionOutput::Answer(answer) => {
                assert!(request.answer.is_none(), "two final answers");
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
        proptest::prop_assert!(at_most_once, "ran more than once: {executions:?}");
        for request in &self.requests {
            match &request.answer {
                Some(FinalAnswer::Error(error)) if error.verdict == Verdict::NotRun => {
                    proptest::prop_assert_eq!(request.executions, 0, "not run, but it ran");
                }
                Some(FinalAnswer::Forward { attempt }) => {
                    let is_cut = request.cut_answers.contains(attempt);
                    proptest::prop_assert!(!is_cut, "a cut answer was given as whole");
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
        kept: None,
    }
}

fn holds(protection: Protection, faults: Faults) -> bool {
    run_property(CASES, schedules(), |schedule| {
        let mut world = World::new(protection, faults);
        for turn in schedule {
            world.turn(turn);
        }
        world.check(protection)
    })
    .is_ok()
}

#[gtest]
fn requests_run_at_most_once_whatever_is_lost() {
    for protection in [Protection::SharedKey, Protection::NoRepeat] {
        expect_that!(
            holds(protection, Faults::default()),
            eq(true),
            "{protection:?}"
        );
    }
}

#[gtest]
fn each_deliberate_fault_is_found() {
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
                accept_short_body: true,
                ..none
            },
        ),
    ];
    for (protection, faults) in cases {
        expect_that!(holds(protection, faults), eq(false), "{faults:?}");
    }
}
