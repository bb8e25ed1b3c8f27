//! The rate of calls to the provider: it takes so many from the whole site, and answers more with 429.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordinator::CallRate;
use wingshore_types::Instant;

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

/// Calls that go out of one tried each millisecond.
fn calls(rate: &mut CallRate, from: u64, until: u64) -> usize {
    let tried = from..until;
    tried.filter(|millis| rate.takes(at(*millis))).count()
}

#[gtest]
fn calls_keep_within_half_of_what_the_provider_takes() {
    let mut rate = CallRate::new(50.0);
    // A burst of half a second first, then 25 a second.
    expect_that!(calls(&mut rate, 0, 1000), all![ge(25), le(39)]);
    expect_that!(calls(&mut rate, 1000, 11_000), all![ge(249), le(251)]);
}

#[gtest]
fn a_pause_is_made_up_for_by_one_burst_only() {
    let mut rate = CallRate::new(50.0);
    calls(&mut rate, 0, 1000);
    expect_that!(calls(&mut rate, 60_000, 60_001), eq(1));
    let burst = (0..100).filter(|_| rate.takes(at(60_002))).count();
    expect_that!(burst, le(13));
}
