//! A coordinator that was stalled does not count that time as silence of its hundreds of gateways,
//! whose messages wait to be read.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordinator::StallDetector;
use wingshore_types::Instant;

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

#[gtest]
fn silence_counts_while_checks_come_in_time() {
    let mut detector = StallDetector::default();
    for step in 0..50 {
        expect_that!(detector.may_expire_peers(at(step * 130)), eq(true));
    }
}

#[gtest]
fn silence_counts_only_some_time_after_a_stall() {
    let mut detector = StallDetector::default();
    detector.may_expire_peers(at(0));
    expect_that!(detector.may_expire_peers(at(1200)), eq(false));
    expect_that!(detector.may_expire_peers(at(1300)), eq(false));
    expect_that!(detector.may_expire_peers(at(1500)), eq(false));
    expect_that!(detector.may_expire_peers(at(1600)), eq(false));
    expect_that!(detector.may_expire_peers(at(1700)), eq(true));
}
