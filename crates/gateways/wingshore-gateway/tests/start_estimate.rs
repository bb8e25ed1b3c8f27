//! Retry-After while a gateway has no configuration yet.
//!
//! Guards against callers that use up their retries before the site can serve: after all machines
//! of a site restarted, every refused request returned within 150 ms, while an election alone takes
//! 600 ms.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_gateway::StartEstimate;
use wingshore_types::Instant;

/// An election timeout of the coordinators: no leader is elected sooner after a restart.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// The longest time that a caller with a deadline of 1.5 s can be told to stay away.
const MAX_STAY: Duration = Duration::from_millis(1500);
/// Requests that arrive during a start.
const REQUESTS: u64 = 100;

fn at(milliseconds: u64) -> Instant {
    Instant::from_millis(milliseconds)
}

#[gtest]
fn no_refused_request_returns_before_a_leader_can_be_elected() {
    let mut estimate = StartEstimate::new(7);
    estimate.coordinator_reached(at(1000));
    for number in 0..REQUESTS {
        let now = at(1000 + number);
        let returns_at = now + estimate.retry_after(now, false);
        expect_that!(returns_at >= at(1000) + ELECTION_TIMEOUT, eq(true));
        expect_that!(returns_at <= at(1000) + MAX_STAY, eq(true));
    }
}

#[gtest]
fn requests_that_were_refused_together_return_apart() {
    let mut estimate = StartEstimate::new(7);
    estimate.coordinator_reached(at(1000));
    let mut returns: Vec<Duration> = (0..REQUESTS)
        .map(|_| estimate.retry_after(at(1100), false))
        .collect();
    returns.sort_unstable();
    let span = returns[returns.len() - 1] - returns[0];
    let widest = returns.windows(2).map(|pair| pair[1] - pair[0]).max();
    // Evenly: no gap is much wider than the span divided by the requests.
    expect_that!(widest, some(le(span * 3 / REQUESTS as u32)));
    expect_that!(span, ge(Duration::from_millis(150)));
}

#[gtest]
fn without_a_coordinator_the_whole_start_is_ahead() {
    let mut estimate = StartEstimate::new(7);
    expect_that!(estimate.retry_after(at(5000), false), ge(ELECTION_TIMEOUT));
    let later = estimate.retry_after(at(9000), false);
    expect_that!(later, le(Duration::from_millis(400)));
}

#[gtest]
fn an_overdue_start_is_asked_about_often() {
    let mut estimate = StartEstimate::new(7);
    estimate.coordinator_reached(at(1000));
    estimate.coordinator_reached(at(9000));
    expect_that!(
        estimate.retry_after(at(9000), false),
        le(Duration::from_millis(400))
    );
}

/// Guards against callers that are sent away for a second by a gateway that restarts alone, at a
/// site that serves.
#[gtest]
fn at_a_site_with_a_leader_requests_return_soon() {
    let mut estimate = StartEstimate::new(7);
    estimate.coordinator_reached(at(1000));
    expect_that!(
        estimate.retry_after(at(1010), true),
        le(Duration::from_millis(400))
    );
}
