//! Whose silence it is: a coordinator that has stood still does not hold it against hundreds of
//! gateways, whose words wait to be read.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordinator::SilenceJudge;
use wingshore_types::Instant;

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

#[gtest]
fn silence_counts_while_looks_come_in_time() {
    let mut judge = SilenceJudge::default();
    for step in 0..50 {
        expect_that!(judge.silence_counts(at(step * 130)), eq(true));
    }
}

#[gtest]
fn after_the_process_has_stood_still_others_have_time_to_be_heard() {
    let mut judge = SilenceJudge::default();
    judge.silence_counts(at(0));
    expect_that!(judge.silence_counts(at(1200)), eq(false));
    expect_that!(judge.silence_counts(at(1300)), eq(false));
    expect_that!(judge.silence_counts(at(1500)), eq(false));
    expect_that!(judge.silence_counts(at(1600)), eq(false));
    expect_that!(judge.silence_counts(at(1700)), eq(true));
}
