//! Exponential backoff: the initial value, the limit, and no overflow for any number of failures.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_types::doubled_backoff;

#[gtest]
fn backoff_doubles_up_to_the_limit() {
    let initial = Duration::from_millis(300);
    let limit = Duration::from_secs(2);
    let delays = [0, 1, 2, 3, 31, 32, u32::MAX].map(|failures| {
        let delay = doubled_backoff(initial, failures, limit);
        delay.as_millis()
    });
    expect_that!(delays, eq([300, 600, 1200, 2000, 2000, 2000, 2000]));
}

#[gtest]
fn backoff_without_a_limit_does_not_overflow() {
    let delay = doubled_backoff(Duration::MAX, 3, Duration::MAX);
    expect_that!(delay, eq(Duration::MAX));
}
