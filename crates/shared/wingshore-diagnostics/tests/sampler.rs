//! Sampling of the log lines about successful requests.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_diagnostics::{LogBudget, RequestSampler};

const BUDGET: LogBudget = LogBudget {
    lines_per_second: 1000,
    reserved_for_failures: 100,
    sampled_lines_per_second: 100,
};

/// Samples `requests` requests per second for `seconds` seconds; returns the number of lines logged
/// in the last second.
fn lines_in_last_second(sampler: &mut RequestSampler, requests: u64, seconds: u64) -> u64 {
    let mut lines = 0;
    for second in 0..seconds {
        lines = 0;
        for number in 0..requests {
            let now = Duration::from_secs(second) + Duration::from_micros(number);
            lines += u64::from(sampler.should_log(now, &format!("{second}-{number}")));
        }
    }
    lines
}

#[gtest]
fn few_requests_are_all_logged() {
    let mut sampler = RequestSampler::new(BUDGET);
    expect_that!(lines_in_last_second(&mut sampler, 80, 5), eq(80));
}

#[gtest]
fn many_requests_are_logged_within_the_budget() {
    let mut sampler = RequestSampler::new(BUDGET);
    let lines = lines_in_last_second(&mut sampler, 10_000, 5);
    expect_that!(lines, all![gt(50), lt(200)]);
}

#[gtest]
fn after_a_load_peak_all_requests_are_logged_again() {
    let mut sampler = RequestSampler::new(BUDGET);
    lines_in_last_second(&mut sampler, 10_000, 3);
    let mut logged = 0;
    for second in 10..30 {
        logged = (0..40)
            .filter(|number| {
                sampler.should_log(Duration::from_secs(second), &format!("{second}-{number}"))
            })
            .count();
    }
    expect_that!(logged, eq(40));
}

#[gtest]
fn a_request_is_chosen_for_all_of_its_lines_or_none() {
    let mut sampler = RequestSampler::new(BUDGET);
    lines_in_last_second(&mut sampler, 10_000, 3);
    let now = Duration::from_secs(3);
    for number in 0..100 {
        let request = format!("request-{number}");
        let first = sampler.should_log(now, &request);
        expect_that!(sampler.should_log(now, &request), eq(first));
    }
}
