//! The adaptive concurrency limit of scorings.

use googletest::prelude::*;
use wingshore_gateway::{ConcurrencyLimit, LoadSignal};
use wingshore_types::Instant;

/// An upper bound that is never reached, in scorings.
const UNBOUNDED: usize = 1000;

/// Returns how many scorings may start at once.
fn admitted(limit: &ConcurrencyLimit, max: usize) -> usize {
    let mut limit = limit.clone();
    let mut count = 0;
    while limit.allows(max) {
        limit.acquire();
        count += 1;
    }
    count
}

/// Starts as many scorings as the limit allows, and ends all of them at `now` with `signal`.
fn fill_and_release(limit: &mut ConcurrencyLimit, now: Instant, signal: LoadSignal) {
    let mut begun = 0;
    while limit.allows(UNBOUNDED) {
        limit.acquire();
        begun += 1;
    }
    for _ in 0..begun {
        limit.release(now, signal);
    }
}

#[gtest]
fn the_limit_grows_while_it_is_used_and_answers_are_in_time() {
    let mut limit = ConcurrencyLimit::default();
    let before = admitted(&limit, UNBOUNDED);
    for second in 0..20 {
        fill_and_release(
            &mut limit,
            Instant::from_millis(second * 1000),
            LoadSignal::InTime,
        );
    }
    expect_that!(admitted(&limit, UNBOUNDED), gt(before));
}

#[gtest]
fn the_limit_does_not_grow_while_unused() {
    let mut limit = ConcurrencyLimit::default();
    let before = admitted(&limit, UNBOUNDED);
    for second in 0..1000 {
        limit.acquire();
        limit.release(Instant::from_millis(second * 1000), LoadSignal::InTime);
    }
    expect_that!(admitted(&limit, UNBOUNDED), eq(before));
}

#[gtest]
fn the_limit_falls_on_overload_but_not_below_one() {
    let mut limit = ConcurrencyLimit::default();
    for second in 0..100 {
        fill_and_release(
            &mut limit,
            Instant::from_millis(second * 1000),
            LoadSignal::Overload,
        );
    }
    expect_that!(admitted(&limit, UNBOUNDED), eq(1));
}

#[gtest]
fn simultaneous_overload_signals_count_once() {
    let mut limit = ConcurrencyLimit::default();
    fill_and_release(&mut limit, Instant::from_millis(1), LoadSignal::Overload);
    expect_that!(admitted(&limit, UNBOUNDED), gt(1));
}

#[gtest]
fn slots_bound_the_limit_and_one_scoring_is_always_allowed() {
    let limit = ConcurrencyLimit::default();
    expect_that!(admitted(&limit, 2), eq(2));
    expect_that!(admitted(&limit, 0), eq(1));
}

#[gtest]
fn an_end_without_a_signal_frees_a_place_and_keeps_the_limit() {
    let mut limit = ConcurrencyLimit::default();
    let before = admitted(&limit, UNBOUNDED);
    fill_and_release(&mut limit, Instant::from_millis(1), LoadSignal::None);
    expect_that!(admitted(&limit, UNBOUNDED), eq(before));
    expect_that!(limit.allows(1), is_true());
}
