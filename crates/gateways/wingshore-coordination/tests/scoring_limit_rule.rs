//! The rule of the limit of scorings, without a leader around it.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordination::{
    ScoringAnswers, ScoringCapacity, ScoringLimit, ScoringOrder, is_scoring_urgent,
};
use wingshore_types::Instant;

const CAPACITY: ScoringCapacity = ScoringCapacity {
    slots: 18,
    live_in_flight: 0,
};

fn answers(in_time: u32, overloaded: u32) -> ScoringAnswers {
    ScoringAnswers {
        in_time,
        overloaded,
    }
}

/// Returns what a limit allows after these answers, which were reported at one-second intervals.
fn allowed_after(reports: &[ScoringAnswers]) -> u32 {
    let mut limit = ScoringLimit::default();
    for (second, report) in (1..).zip(reports) {
        limit.record(Instant::from_millis(second * 1000), CAPACITY, *report);
    }
    limit.allowed(CAPACITY, false)
}

#[gtest]
fn slots_less_live_requests_and_reserve_bound_the_limit() {
    let limit = ScoringLimit::default();
    for (slots, live, allowed, allowed_urgently) in [
        (18, 0, 15, 18),
        (18, 6, 9, 12),
        (18, 16, 1, 2),
        (18, 40, 1, 1),
        (6, 0, 5, 6),
        (1, 0, 1, 1),
        (0, 0, 1, 1),
    ] {
        let capacity = ScoringCapacity {
            slots,
            live_in_flight: live,
        };
        expect_that!(limit.allowed(capacity, false), eq(allowed));
        expect_that!(limit.allowed(capacity, true), eq(allowed_urgently));
    }
}

#[gtest]
fn a_few_late_answers_are_no_overload() {
    expect_that!(allowed_after(&[answers(0, 1)]), eq(15));
    expect_that!(allowed_after(&[answers(50, 3)]), eq(15));
}

#[gtest]
fn overload_lowers_the_limit_down_to_one() {
    expect_that!(allowed_after(&[answers(6, 4)]), eq(9));
    expect_that!(allowed_after(&[answers(0, 9); 20]), eq(1));
}

#[gtest]
fn reports_of_many_gateways_about_one_overload_count_together() {
    let mut limit = ScoringLimit::default();
    for _ in 0..4 {
        limit.record(Instant::from_millis(500), CAPACITY, answers(0, 1));
    }
    // Two signals lower it once, the next two once more.
    expect_that!(limit.allowed(CAPACITY, false), eq(5));
}

#[gtest]
fn the_limit_rises_by_one_for_each_full_round_and_is_then_unlimited_again() {
    let fallen = answers(6, 4);
    expect_that!(allowed_after(&[fallen, answers(9, 0)]), eq(10));
    expect_that!(allowed_after(&[fallen, answers(8, 0)]), eq(9));
    let mut reports = vec![fallen];
    reports.extend([answers(15, 0); 8]);
    expect_that!(allowed_after(&reports), eq(15));
}

#[gtest]
fn a_step_is_urgent_from_a_second_before_it_is_due() {
    let due = Instant::from_millis(5000);
    let at = |milliseconds| is_scoring_urgent(Instant::from_millis(milliseconds), Some(due));
    expect_that!(at(3999), is_false());
    expect_that!(at(4000), is_true());
    expect_that!(at(9000), is_true());
    expect_that!(is_scoring_urgent(due, None), is_false());
}

#[gtest]
fn texts_are_ordered_by_due_time_then_by_waiting_time() {
    let start = Instant::from_millis(1000);
    let later = start + Duration::from_millis(1);
    let ordered = [
        ScoringOrder::new(Some(start), start),
        ScoringOrder::new(Some(start), later),
        ScoringOrder::new(Some(later), start),
        ScoringOrder::new(None, start),
        ScoringOrder::new(None, later),
    ];
    expect_that!(ordered.is_sorted(), is_true());
}
