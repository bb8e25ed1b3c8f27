//! Executions of single requests with scripted results of their claims and attempts.

mod common;

use common::{claim, router, specification};
use googletest::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;
use wingshore_request::{
    AnswerBody, AttemptEnd, AttemptFailure, ErrorCode, ExecutionInput, ExecutionLimits,
    ExecutionOutput, FailureKind, Faults, FinalAnswer, RequestExecution,
};
use wingshore_routing::RefusalCode;
use wingshore_types::protocol::claims::{ClaimOutcome, ClaimsReply, ClaimsRequest, StoredAnswer};
use wingshore_types::{Instant, Verdict};

#[derive(Clone, Copy, PartialEq)]
enum RequestKind {
    Repeatable,
    NoRepeat,
    Keyed,
}

/// Final answer of a request, reduced to what the tests compare.
#[derive(Debug, PartialEq)]
enum Outcome {
    Forward(u32),
    Replay,
    Error(ErrorCode, Verdict),
}

#[derive(Debug, PartialEq)]
struct Trace {
    attempts: u32,
    outcome: Outcome,
    settled: Option<ClaimOutcome>,
}

fn complete_answer(status: u16) -> AttemptEnd {
    AttemptEnd::Answered {
        status,
        body: AnswerBody::Complete,
        stored_answer: None,
    }
}

fn truncated_answer() -> AttemptEnd {
    AttemptEnd::Answered {
        status: 200,
        body: AnswerBody::Truncated,
        stored_answer: None,
    }
}

fn failed(kind: FailureKind) -> AttemptEnd {
    AttemptEnd::Failed(AttemptFailure {
        kind,
        message: String::new(),
        retry_after: Some(Duration::from_secs(3)),
    })
}

/// Executes a request on three servers with the scripted results of its claims and attempts.
fn run(kind: RequestKind, claims: &[ExecutionInput], ends: &[AttemptEnd]) -> Trace {
    let key = (kind == RequestKind::Keyed).then(|| claim("charge-1", "node-a", 1));
    let specification = specification(kind == RequestKind::NoRepeat, key);
    let limits = ExecutionLimits::default();
    let mut execution = RequestExecution::new(specification, limits, Faults::default());
    let mut router = router(3, 1);
    let mut claims = VecDeque::from(claims.to_vec());
    let mut ends = VecDeque::from(ends.to_vec());
    let mut now = Instant::from_millis(1);
    let mut inputs = VecDeque::from([ExecutionInput::Begin]);
    let mut answers = Vec::new();
    let mut settled = None;
    while let Some(input) = inputs.pop_front() {
        let mut outputs = Vec::new();
        execution.step(now, input, &mut router, &mut outputs);
        for output in outputs {
            match output {
                ExecutionOutput::Claim { .. } => inputs.extend(claims.pop_front()),
                ExecutionOutput::Send(send) => {
                    let attempt = send.attempt;
                    let end = ends
                        .pop_front()
                        .expect("the execution made more attempts than scripted");
                    inputs.push_back(ExecutionInput::AttemptEnded { attempt, end });
                }
                ExecutionOutput::WaitUntil(instant) => {
                    now = instant;
                    inputs.push_back(ExecutionInput::Tick);
                }
                ExecutionOutput::Settle { request, .. } => settled = Some(settled_outcome(request)),
                ExecutionOutput::Cancel { .. } => {}
                ExecutionOutput::Answer(answer) => answers.push(answer),
            }
        }
    }
    assert_that!(answers, len(eq(1)));
    Trace {
        attempts: execution.attempts(),
        outcome: outcome_of(answers.remove(0)),
        settled,
    }
}

fn settled_outcome(request: ClaimsRequest) -> ClaimOutcome {
    match request {
        ClaimsRequest::Settle { outcome, .. } => outcome,
        ClaimsRequest::Claim { .. } => panic!("expected a settlement, found a claim"),
    }
}

fn outcome_of(answer: FinalAnswer) -> Outcome {
    match answer {
        FinalAnswer::Forward { attempt } => Outcome::Forward(attempt),
        FinalAnswer::Replay(_) => Outcome::Replay,
        FinalAnswer::Error(error) => Outcome::Error(error.code, error.verdict),
    }
}

fn granted() -> Vec<ExecutionInput> {
    vec![ExecutionInput::ClaimAnswered(ClaimsReply::Granted)]
}

#[gtest]
fn attempts_are_retried_only_when_safe() {
    use FailureKind::{
        AnswerTooLarge, BadAnswer, ConnectFailed, ConnectionLost, LeaseLost, RefusedByServer,
        TimedOut,
    };
    use Outcome::{Error, Forward};
    use RequestKind::{Keyed, NoRepeat, Repeatable};
    use Verdict::{MayHaveRun, NotRun, Ran};
    let cases = vec![
        (Repeatable, vec![complete_answer(200)], 1, Forward(1)),
        (NoRepeat, vec![complete_answer(500)], 1, Forward(1)),
        (
            Repeatable,
            vec![failed(ConnectionLost), complete_answer(200)],
            2,
            Forward(2),
        ),
        (
            Repeatable,
            vec![truncated_answer(), complete_answer(200)],
            2,
            Forward(2),
        ),
        (
            NoRepeat,
            vec![failed(ConnectFailed), complete_answer(200)],
            2,
            Forward(2),
        ),
        (
            NoRepeat,
            vec![failed(RefusedByServer), complete_answer(200)],
            2,
            Forward(2),
        ),
        (
            Keyed,
            vec![failed(RefusedByServer), complete_answer(200)],
            2,
            Forward(2),
        ),
        (
            NoRepeat,
            vec![failed(ConnectionLost)],
            1,
            Error(ErrorCode::ConnectionLost, MayHaveRun),
        ),
        (
            Keyed,
            vec![failed(TimedOut)],
            1,
            Error(ErrorCode::DeadlineExceeded, MayHaveRun),
        ),
        (
            Keyed,
            vec![truncated_answer()],
            1,
            Error(ErrorCode::AnswerCut, MayHaveRun),
        ),
        (
            NoRepeat,
            vec![truncated_answer()],
            1,
            Error(ErrorCode::AnswerCut, MayHaveRun),
        ),
        (
            NoRepeat,
            vec![failed(BadAnswer)],
            1,
            Error(ErrorCode::BadAnswer, MayHaveRun),
        ),
        (
            Repeatable,
            vec![failed(AnswerTooLarge)],
            1,
            Error(ErrorCode::AnswerTooLarge, Ran),
        ),
        (
            Repeatable,
            vec![failed(LeaseLost)],
            1,
            Error(ErrorCode::LeaseLost, NotRun),
        ),
        (
            NoRepeat,
            vec![
                failed(RefusedByServer),
                failed(ConnectFailed),
                failed(RefusedByServer),
            ],
            3,
            Error(ErrorCode::RefusedByServer, NotRun),
        ),
        (
            Repeatable,
            vec![
                failed(ConnectionLost),
                failed(ConnectFailed),
                failed(ConnectFailed),
            ],
            3,
            Error(ErrorCode::ConnectFailed, MayHaveRun),
        ),
    ];
    for (kind, ends, attempts, outcome) in cases {
        let trace = run(kind, &granted(), &ends);
        expect_that!(trace.attempts, eq(attempts), "for {ends:?}");
        expect_that!(trace.outcome, eq(&outcome), "for {ends:?}");
    }
}

#[gtest]
fn claim_is_settled_with_the_known_outcome() {
    let cases = vec![
        (vec![complete_answer(200)], ClaimOutcome::Answered(None)),
        (
            vec![failed(FailureKind::ConnectionLost)],
            ClaimOutcome::Unknown,
        ),
        (vec![truncated_answer()], ClaimOutcome::Unknown),
        (
            vec![failed(FailureKind::AnswerTooLarge)],
            ClaimOutcome::Answered(None),
        ),
        (vec![failed(FailureKind::LeaseLost)], ClaimOutcome::NotRun),
        (
            vec![failed(FailureKind::ConnectFailed); 3],
            ClaimOutcome::NotRun,
        ),
    ];
    for (ends, settled) in cases {
        let trace = run(RequestKind::Keyed, &granted(), &ends);
        expect_that!(trace.settled, some(eq(&settled)), "for {ends:?}");
    }
}

#[gtest]
fn no_attempt_is_sent_without_a_granted_claim() {
    let kept = StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"charged".to_vec(),
    };
    let error = |code, verdict| Outcome::Error(code, verdict);
    let answered = ExecutionInput::ClaimAnswered;
    let cases = vec![
        (
            answered(ClaimsReply::Answered(Some(kept))),
            Outcome::Replay,
            None,
        ),
        (
            answered(ClaimsReply::Answered(None)),
            error(ErrorCode::AlreadyRan, Verdict::Ran),
            None,
        ),
        (
            answered(ClaimsReply::Taken { retry_after_ms: 9 }),
            error(ErrorCode::KeyTaken, Verdict::MayHaveRun),
            None,
        ),
        (
            answered(ClaimsReply::Mismatch),
            error(ErrorCode::KeyMismatch, Verdict::NotRun),
            None,
        ),
        (
            answered(ClaimsReply::Full { retry_after_ms: 9 }),
            error(ErrorCode::ClaimsFull, Verdict::NotRun),
            None,
        ),
        (
            ExecutionInput::ClaimFailed(Verdict::NotRun),
            error(ErrorCode::ClaimsUnavailable, Verdict::NotRun),
            None,
        ),
        (
            ExecutionInput::ClaimFailed(Verdict::MayHaveRun),
            error(ErrorCode::ClaimsUnavailable, Verdict::NotRun),
            Some(ClaimOutcome::NotRun),
        ),
    ];
    for (claim, outcome, settled) in cases {
        let trace = run(RequestKind::Keyed, &[claim], &[]);
        let expected = Trace {
            attempts: 0,
            outcome,
            settled,
        };
        expect_that!(trace, eq(&expected));
    }
}

#[gtest]
fn request_without_a_server_is_refused_immediately_as_not_run() {
    let specification = specification(false, None);
    let limits = ExecutionLimits::default();
    let mut execution = RequestExecution::new(specification, limits, Faults::default());
    let mut outputs = Vec::new();
    let now = Instant::from_millis(1);
    execution.step(now, ExecutionInput::Begin, &mut router(0, 1), &mut outputs);
    assert_that!(outputs, len(eq(1)));
    let ExecutionOutput::Answer(FinalAnswer::Error(error)) = &outputs[0] else {
        return fail!("not an error: {outputs:?}").expect("the request must be refused");
    };
    expect_that!(error.code, eq(ErrorCode::Routing(RefusalCode::NoServer)));
    expect_that!(error.verdict, eq(Verdict::NotRun));
    expect_that!(error.retry_after, some(anything()));
}

#[gtest]
fn deadline_in_flight_cancels_the_attempt_and_reports_may_have_run() {
    let specification = specification(true, None);
    let limits = ExecutionLimits::default();
    let mut execution = RequestExecution::new(specification, limits, Faults::default());
    let mut router = router(1, 1);
    let mut outputs = Vec::new();
    execution.step(
        Instant::ZERO,
        ExecutionInput::Begin,
        &mut router,
        &mut outputs,
    );
    outputs.clear();
    let late = Instant::ZERO + common::DEADLINE;
    execution.step(late, ExecutionInput::Tick, &mut router, &mut outputs);
    assert_that!(outputs, len(eq(2)));
    expect_that!(outputs[0], eq(&ExecutionOutput::Cancel { attempt: 1 }));
    let ExecutionOutput::Answer(answer) = outputs.remove(1) else {
        return fail!("no answer").expect("the request must be answered");
    };
    let expected = Outcome::Error(ErrorCode::DeadlineExceeded, Verdict::MayHaveRun);
    expect_that!(outcome_of(answer), eq(&expected));
    let attempt = 1;
    let end = complete_answer(200);
    let late_end = ExecutionInput::AttemptEnded { attempt, end };
    outputs.clear();
    execution.step(late, late_end, &mut router, &mut outputs);
    expect_that!(outputs, is_empty());
}

#[gtest]
fn caller_disconnect_cancels_the_attempt_and_keeps_the_key_claimed() {
    let specification = specification(false, Some(claim("charge-1", "node-a", 1)));
    let limits = ExecutionLimits::default();
    let mut execution = RequestExecution::new(specification, limits, Faults::default());
    let mut router = router(1, 1);
    let mut outputs = Vec::new();
    let now = Instant::ZERO;
    let granted = ExecutionInput::ClaimAnswered(ClaimsReply::Granted);
    for input in [ExecutionInput::Begin, granted] {
        execution.step(now, input, &mut router, &mut outputs);
    }
    outputs.clear();
    execution.step(
        now,
        ExecutionInput::CallerDisconnected,
        &mut router,
        &mut outputs,
    );
    assert_that!(outputs, len(eq(2)));
    expect_that!(outputs[0], eq(&ExecutionOutput::Cancel { attempt: 1 }));
    let ExecutionOutput::Settle { request, .. } = outputs.remove(1) else {
        return fail!("no settlement").expect("the claim must be settled");
    };
    expect_that!(settled_outcome(request), eq(&ClaimOutcome::Unknown));
    expect_that!(execution.is_over(), eq(true));
}
