//! Policies: the meaning of engines' answers to items and of the ends of scorings, when texts are
//! uploaded, and the time limits of calls.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordination::{ItemId, JobId, NotScoredReason, Request, ScoringOutcome};
use wingshore_gateway::{
    AttemptHistory, ItemAnswer, LoadSignal, ScoringEnd, call_time_limit, classify_item_answer,
    end_with_answer, end_without_answer, is_upload_due, max_scorings,
};

#[gtest]
fn an_engines_answer_is_classified_by_its_status_and_end() {
    let table = [
        ((200, false, true), ItemAnswer::Finished),
        ((200, false, false), ItemAnswer::CutShort),
        ((200, true, true), ItemAnswer::NotRun),
        ((421, false, true), ItemAnswer::Mismatch),
        ((421, true, true), ItemAnswer::Mismatch),
        ((422, false, true), ItemAnswer::Impossible),
        ((503, true, true), ItemAnswer::NotRun),
        ((503, false, true), ItemAnswer::Failed),
        ((500, false, true), ItemAnswer::Failed),
    ];
    for ((status, says_not_run, ends_at_event_boundary), expected) in table {
        let answer = classify_item_answer(status, says_not_run, ends_at_event_boundary);
        expect_that!(
            answer,
            eq(expected),
            "{status} {says_not_run} {ends_at_event_boundary}"
        );
    }
}

#[gtest]
fn long_texts_are_uploaded_more_often() {
    expect_that!(is_upload_due(23, 0, false), eq(false));
    expect_that!(is_upload_due(24, 0, false), eq(true));
    expect_that!(is_upload_due(28, 24, false), eq(false));
    expect_that!(is_upload_due(29, 24, false), eq(true));
    expect_that!(is_upload_due(4, 0, true), eq(false));
    expect_that!(is_upload_due(5, 0, true), eq(true));
    expect_that!(is_upload_due(3, 9, true), eq(false));
}

#[gtest]
fn the_end_of_a_scoring_shows_its_outcome_and_the_load() {
    let fresh = AttemptHistory::default();
    let refused = AttemptHistory {
        refusals: 1,
        ..fresh
    };
    let silent = AttemptHistory {
        attempts: 1,
        may_have_run: true,
        ..fresh
    };
    let failed = AttemptHistory {
        attempts: 2,
        internal_errors: 2,
        may_have_run: true,
        ..fresh
    };
    let score = Some("0.5".to_owned());
    let scored = ScoringOutcome::Scored("0.5".to_owned());
    let no_answer = ScoringOutcome::NotScored(NotScoredReason::NoAnswer);
    let no_server = ScoringOutcome::NotScored(NotScoredReason::Refused);
    let failures = ScoringOutcome::Failed(2);
    let table = [
        (
            end_with_answer(score.clone(), fresh, true),
            &scored,
            LoadSignal::InTime,
        ),
        (
            end_with_answer(score.clone(), fresh, false),
            &scored,
            LoadSignal::Overload,
        ),
        (
            end_with_answer(score, refused, true),
            &scored,
            LoadSignal::Overload,
        ),
        (
            end_with_answer(None, fresh, true),
            &no_answer,
            LoadSignal::InTime,
        ),
        (end_without_answer(silent), &no_answer, LoadSignal::Overload),
        (
            end_without_answer(refused),
            &no_server,
            LoadSignal::Overload,
        ),
        (end_without_answer(failed), &failures, LoadSignal::None),
    ];
    for (ScoringEnd { outcome, signal }, expected, expected_signal) in table {
        expect_that!(outcome, eq(expected));
        expect_that!(signal, eq(expected_signal));
    }
    expect_that!(max_scorings(7), eq(3));
}

/// A stopping gateway gave calls more time than its stop left, and cut off those that were not
/// answered by then. A commit that is sent at the last moment and not answered would be uncertain,
/// whereas a refusal lets its client go to another gateway at once.
#[gtest]
fn a_call_has_no_longer_than_a_planned_stop_leaves() {
    let job = JobId::from("j");
    let read = Request::ReadJob {
        job: job.clone(),
        from: 0,
        wait: Duration::from_millis(400),
    };
    let item = Request::ReadItem {
        job: job.clone(),
        item: ItemId::from("i"),
    };
    let end = Request::EndJob(job);
    let table = [
        (&read, None, Some(1700)),
        (&read, Some(1701), Some(1700)),
        (&read, Some(1699), Some(1699)),
        (&read, Some(1), Some(1)),
        (&read, Some(0), None),
        (&item, None, Some(1300)),
        (&item, Some(1299), Some(1299)),
        (&item, Some(0), None),
        (&end, None, Some(2500)),
        (&end, Some(2499), Some(2499)),
        (&end, Some(701), Some(701)),
        (&end, Some(700), None),
        (&end, Some(0), None),
    ];
    for (request, stop_leaves, expected) in table {
        let time = call_time_limit(request, stop_leaves.map(Duration::from_millis));
        let expected = expected.map(Duration::from_millis);
        expect_that!(time, eq(expected), "{} {stop_leaves:?}", request.kind());
    }
}
