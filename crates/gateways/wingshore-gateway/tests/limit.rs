//! The adaptive limit of scorings.

use googletest::prelude::*;
use wingshore_gateway::{ConcurrencyLimit, LoadSignal};
use wingshore_types::Instant;

/// Slots that are never the bound.
const PLENTY: usize = 1000;

/// How many may begin at once.
fn admitted(limit: &ConcurrencyLimit, most: usize) -> usize {
    let mut limit = limit.clone();
    let mut count = 0;
    while limit.allows(most) {
        limit.acquire();
        count += 1;
    }
    count
}

/// Fills the limit and ends all of them at `now`.
fn round(limit: &mut ConcurrencyLimit, now: Instant, signal: LoadSignal) {
    let mut begun = 0;
    while limit.allows(PLENTY) {
        limit.acquire();
        begun += 1;
    }
    for _ in 0..begun {
        limit.release(now, signal);
    }
}

#[gtest]
fn it_grows_while_answers_are_in_time_and_it_is_used() {
    let mut limit = ConcurrencyLimit::default();
    let before = admitted(&limit, PLENTY);
    for second in 0..20 {
        round(
            &mut limit,
            Instant::from_millis(second * 1000),
            LoadSignal::InTime,
        );
    }
    expect_that!(admitted(&limit, PLENTY), gt(before));
}

#[gtest]
fn it_does_not_grow_without_use() {
    let mut limit = ConcurrencyLimit::default();
    let before = admitted(&limit, PLENTY);
    for second in 0..1000 {
        limit.acquire();
        limit.release(Instant::from_millis(second * 1000), LoadSignal::InTime);
    }
    expect_that!(admitted(&limit, PLENTY), eq(before));
}

#[gtest]
fn it_falls_when_servers_are_overloaded_but_never_to_nothing() {
    let mut limit = ConcurrencyLimit::default();
    for second in 0..100 {
        round(
            &mut limit,
            Instant::from_millis(second * 1000),
            LoadSignal::Overload,
        );
    }
    expect_that!(admitted(&limit, PLENTY), eq(1));
}

#[gtest]
fn signs_that_come_together_count_once() {
    let mut limit = ConcurrencyLimit::default();
    round(&mut limit, Instant::from_millis(1), LoadSignal::Overload);
    expect_that!(admitted(&limit, PLENTY), gt(1));
}

#[gtest]
fn the_servers_slots_bound_it_and_one_may_always_begin() {
    let limit = ConcurrencyLimit::default();
    expect_that!(admitted(&limit, 2), eq(2));
    expect_that!(admitted(&limit, 0), eq(1));
}

#[gtest]
fn an_end_that_says_nothing_frees_a_place_and_leaves_the_limit() {
    let mut limit = ConcurrencyLimit::default();
    let before = admitted(&limit, PLENTY);
    round(&mut limit, Instant::from_millis(1), LoadSignal::None);
    expect_that!(admitted(&limit, PLENTY), eq(before));
    expect_that!(limit.allows(1), is_true());
}
