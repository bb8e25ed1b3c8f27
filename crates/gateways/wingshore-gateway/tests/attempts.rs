//! Retry decisions, classification of answers, and time limits of live requests.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_gateway::{
    AnswerFacts, AnswerKind, AttemptHistory, NextStep, OwnAnswer, RetryContext, RetryLimits,
    StopProgress, answer_deadline, classify_answer, connect_deadline, failure_answer,
    is_internal_error, is_request_admitted, is_stream_admitted, kept_until, next_step,
    request_timeout,
};
use wingshore_types::Instant;
use wingshore_types::verdict::Verdict;

const SAFE: RetryLimits = RetryLimits {
    is_repeatable: true,
    max_attempts: 3,
};
const UNSAFE: RetryLimits = RetryLimits {
    is_repeatable: false,
    max_attempts: 3,
};
/// Another server is left, the deadline has not passed, and there is no answer of the server.
const RETRY_POSSIBLE: RetryContext = RetryContext {
    is_suspect: false,
    has_other_server: true,
    is_past_deadline: false,
    has_server_answer: false,
};

fn history(verdicts: &[Verdict]) -> AttemptHistory {
    let mut history = AttemptHistory::default();
    for verdict in verdicts {
        history.record(*verdict);
    }
    history
}

#[gtest]
fn next_step_depends_on_route_history_and_context() {
    use Verdict::{MayHaveRun, NotRun, Ran};
    let answered = RetryContext {
        has_server_answer: true,
        ..RETRY_POSSIBLE
    };
    let last_server = RetryContext {
        has_other_server: false,
        ..RETRY_POSSIBLE
    };
    let late = RetryContext {
        is_past_deadline: true,
        ..RETRY_POSSIBLE
    };
    let suspect = RetryContext {
        is_suspect: true,
        ..RETRY_POSSIBLE
    };
    let refused = [NotRun; 5];
    let table: Vec<(&str, RetryLimits, &[Verdict], RetryContext, NextStep)> = vec![
        (
            "a refusal",
            UNSAFE,
            &[NotRun],
            RETRY_POSSIBLE,
            NextStep::Retry,
        ),
        (
            "three refusals",
            UNSAFE,
            &refused[..3],
            RETRY_POSSIBLE,
            NextStep::Retry,
        ),
        (
            "four refusals",
            SAFE,
            &refused[..4],
            RETRY_POSSIBLE,
            NextStep::GiveUp,
        ),
        (
            "refused by the last server",
            UNSAFE,
            &[NotRun],
            last_server,
            NextStep::GiveUp,
        ),
        (
            "refused, and out of time",
            UNSAFE,
            &[NotRun],
            late,
            NextStep::GiveUp,
        ),
        (
            "may have run, repeatable",
            SAFE,
            &[MayHaveRun],
            RETRY_POSSIBLE,
            NextStep::Retry,
        ),
        (
            "may have run, once only",
            UNSAFE,
            &[MayHaveRun],
            RETRY_POSSIBLE,
            NextStep::GiveUp,
        ),
        (
            "failed, once only",
            UNSAFE,
            &[Ran],
            answered,
            NextStep::ForwardAnswer,
        ),
        (
            "failed, repeatable",
            SAFE,
            &[Ran],
            answered,
            NextStep::Retry,
        ),
        (
            "attempts used up",
            SAFE,
            &[Ran, Ran, Ran],
            answered,
            NextStep::ForwardAnswer,
        ),
        (
            "attempts used up, no answer",
            SAFE,
            &[MayHaveRun; 3],
            RETRY_POSSIBLE,
            NextStep::GiveUp,
        ),
        (
            "a suspect that may have run",
            SAFE,
            &[MayHaveRun],
            suspect,
            NextStep::GiveUp,
        ),
        (
            "a suspect that was refused",
            SAFE,
            &[NotRun],
            suspect,
            NextStep::Retry,
        ),
        (
            "failed by the last server",
            SAFE,
            &[Ran],
            RetryContext {
                has_server_answer: true,
                ..last_server
            },
            NextStep::ForwardAnswer,
        ),
        (
            "failed late, with a server left",
            SAFE,
            &[Ran],
            RetryContext {
                has_server_answer: true,
                ..late
            },
            NextStep::GiveUp,
        ),
    ];
    for (case, limits, verdicts, context, expected) in table {
        let step = next_step(limits, history(verdicts), context);
        expect_that!(step, eq(expected), "{case}");
    }
}

#[gtest]
fn zero_max_attempts_count_as_one() {
    let limits = RetryLimits {
        is_repeatable: true,
        max_attempts: 0,
    };
    expect_that!(limits.may_retry(AttemptHistory::default()), eq(true));
    expect_that!(limits.may_retry(history(&[Verdict::MayHaveRun])), eq(false));
}

#[gtest]
fn the_answer_states_whether_the_request_may_have_run() {
    let (not_run, may_have_run) = (history(&[Verdict::NotRun]), history(&[Verdict::Ran]));
    let retry_after = Duration::from_millis(150);
    for is_late in [false, true] {
        let answer = failure_answer(not_run, false, is_late);
        expect_that!(answer, eq(OwnAnswer::NotRun(retry_after)));
        let answer = failure_answer(not_run, true, is_late);
        expect_that!(answer, eq(OwnAnswer::Rejected(Duration::from_secs(600))));
    }
    for is_rejected in [false, true] {
        let answer = failure_answer(may_have_run, is_rejected, true);
        expect_that!(answer, eq(OwnAnswer::OutOfTime));
        let answer = failure_answer(may_have_run, is_rejected, false);
        expect_that!(answer, eq(OwnAnswer::Broken));
    }
}

/// The owner of an answer is decided before (`answer_matching`), so that the facts are those of the
/// request's own answer.
#[gtest]
fn own_answers_are_classified_by_their_head() {
    let facts = |status, says_not_run| AnswerFacts {
        status,
        says_not_run,
    };
    let (refused, failed) = (Some(Verdict::NotRun), Some(Verdict::Ran));
    let table = [
        (facts(200, false), AnswerKind::Usable, None),
        (facts(404, false), AnswerKind::Usable, None),
        (facts(422, false), AnswerKind::Usable, None),
        (facts(500, false), AnswerKind::ServerFailed, failed),
        (facts(503, false), AnswerKind::ServerFailed, failed),
        (facts(421, false), AnswerKind::Refused, refused),
        (facts(421, true), AnswerKind::Refused, refused),
        (facts(503, true), AnswerKind::Refused, refused),
        (facts(500, true), AnswerKind::Refused, refused),
    ];
    for (facts, kind, verdict) in table {
        expect_that!(classify_answer(facts), eq(kind), "{facts:?}");
        expect_that!(kind.verdict(), eq(verdict), "{facts:?}");
    }
    expect_that!(is_internal_error(500), eq(true));
    expect_that!(is_internal_error(503), eq(false));
}

#[gtest]
fn a_request_ends_before_its_callers_deadline() {
    let route = Duration::from_secs(2);
    expect_that!(request_timeout(route, None), eq(route));
    let deadline = |millis| Some(Duration::from_millis(millis));
    expect_that!(request_timeout(route, deadline(9000)), eq(route));
    let expected = Duration::from_millis(980);
    expect_that!(request_timeout(route, deadline(1000)), eq(expected));
    expect_that!(request_timeout(route, deadline(5)), eq(Duration::ZERO));
}

#[gtest]
fn only_a_repeatable_request_has_an_attempt_timeout() {
    let now = Instant::from_millis(1000);
    let until = Instant::from_millis(9000);
    let target = Duration::from_millis(400);
    let early = Instant::from_millis(1800);
    let deadline = |limits, attempts| answer_deadline(now, until, limits, attempts, target);
    expect_that!(deadline(SAFE, 0), eq(early));
    expect_that!(deadline(SAFE, 1), eq(early));
    expect_that!(deadline(SAFE, 2), eq(until));
    expect_that!(deadline(UNSAFE, 0), eq(until));
    let soon = Instant::from_millis(1100);
    expect_that!(answer_deadline(now, soon, SAFE, 0, target), eq(soon));
    let connected = Instant::from_millis(1300);
    expect_that!(connect_deadline(now, until), eq(connected));
    expect_that!(connect_deadline(now, soon), eq(soon));
}

#[gtest]
fn a_late_attempt_is_looked_at_again_until_the_deadline_of_its_request() {
    let now = Instant::from_millis(1000);
    let until = Instant::from_millis(2000);
    let after = |target| kept_until(now, until, Duration::from_millis(target));
    expect_that!(after(150), eq(Instant::from_millis(1300)));
    expect_that!(after(600), eq(until));
    expect_that!(after(0), gt(now));
}

/// A request that is passed on although it cannot end before a planned stop does is lost to its
/// caller, if it must not be repeated.
#[gtest]
fn a_request_that_does_not_fit_into_a_stop_is_not_admitted() {
    let table = [
        (7400, 60_000, 2500, true),
        (2700, 60_000, 2500, true),
        (2699, 60_000, 2500, false),
        (2699, 1500, 2500, true),
        (1699, 1500, 2500, false),
        (699, 1500, 20, true),
        (219, 1500, 20, false),
        (0, 1500, 0, false),
    ];
    for (left, limit, usual, expected) in table {
        let [left, limit, usual] = [left, limit, usual].map(Duration::from_millis);
        let elapsed = Duration::from_secs(5);
        let stop = StopProgress { elapsed, left };
        let is_admitted = is_request_admitted(limit, Some(usual), stop);
        expect_that!(is_admitted, eq(expected), "{left:?} {limit:?} {usual:?}");
        let is_answer_in_time = left >= Duration::from_millis(200);
        let is_admitted = is_request_admitted(limit, None, stop);
        expect_that!(is_admitted, eq(is_answer_in_time), "{left:?} {limit:?}");
    }
}

/// A stream that has started can only be interrupted when a planned stop ends. The requirements
/// allow this only for requests sent within 3 s after the SIGTERM.
#[gtest]
fn a_stream_that_may_outlast_a_stop_is_admitted_only_early_in_it() {
    let table = [
        (0, 7400, 60_000, true),
        (2500, 4900, 60_000, true),
        (2501, 4899, 60_000, false),
        (2501, 4899, 4900, false),
        (2501, 4899, 4899, true),
        (7400, 0, 1, false),
    ];
    for (elapsed, left, limit, expected) in table {
        let stop = StopProgress {
            elapsed: Duration::from_millis(elapsed),
            left: Duration::from_millis(left),
        };
        let is_admitted = is_stream_admitted(Duration::from_millis(limit), stop);
        expect_that!(is_admitted, eq(expected), "{stop:?} {limit}");
    }
}
