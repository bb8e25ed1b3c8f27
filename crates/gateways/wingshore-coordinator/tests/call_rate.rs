//! The rate limit of calls to the provider, which accepts a certain rate from the whole site and
//! answers calls beyond it with 429.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordinator::CallRate;
use wingshore_types::Instant;

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

/// Counts the calls that are allowed when one is tried each millisecond.
fn calls(rate: &mut CallRate, from: u64, until: u64) -> usize {
    let tried = from..until;
    tried.filter(|millis| rate.try_acquire(at(*millis))).count()
}

#[gtest]
fn calls_keep_within_half_of_the_rate_that_the_provider_accepts() {
    let mut rate = CallRate::new(50.0);
    // First a burst of half a second, then 25 calls per second.
    expect_that!(calls(&mut rate, 0, 1000), all![ge(25), le(39)]);
    expect_that!(calls(&mut rate, 1000, 11_000), all![ge(249), le(251)]);
}

#[gtest]
fn an_idle_time_allows_one_burst_only() {
    let mut rate = CallRate::new(50.0);
    calls(&mut rate, 0, 1000);
    expect_that!(calls(&mut rate, 60_000, 60_001), eq(1));
    let burst = (0..100).filter(|_| rate.try_acquire(at(60_002))).count();
    expect_that!(burst, le(13));
}
