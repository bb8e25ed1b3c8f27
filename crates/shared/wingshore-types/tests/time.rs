//! Pauses that double: the first, the limit, and no overflow however many failures there were.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_types::doubled_backoff;

#[gtest]
fn pauses_double_up_to_the_longest() {
    let first = Duration::from_millis(300);
    let longest = Duration::from_secs(2);
    let pauses = [0, 1, 2, 3, 31, 32, u32::MAX].map(|failures| {
        let pause = doubled_backoff(first, failures, longest);
        pause.as_millis()
    });
    expect_that!(pauses, eq([300, 600, 1200, 2000, 2000, 2000, 2000]));
}

#[gtest]
fn a_pause_without_a_limit_does_not_overflow() {
    let pause = doubled_backoff(Duration::MAX, 3, Duration::MAX);
    expect_that!(pause, eq(Duration::MAX));
}
