//! The data path under the simulator: all promises hold, and for each promise a deliberate fault
//! is caught.

use googletest::prelude::*;
use wingshore_lab::sim::data_site::SimFaults;
use wingshore_lab::sim::node::NodeFaults;
use wingshore_lab::sim::replica::ReplicaFaults;
use wingshore_lab::sim::scenarios::{self, Scenario};

/// Seeds within which a deliberate fault must be caught.
const SEEDS: u64 = 20;

fn scenario(name: &str) -> Scenario {
    let found = scenarios::all()
        .into_iter()
        .find(|known| known.name == name);
    found.expect("a known scenario")
}

/// The first seed that breaks `promise`.
fn first_catch(name: &str, promise: &str, faults: SimFaults) -> Option<u64> {
    let scenario = scenario(name);
    (0..SEEDS).find(|seed| {
        let outcome = scenarios::run(&scenario, *seed, faults, false);
        let mut broken = outcome.violations.iter();
        broken.any(|(found, _)| found == promise)
    })
}

fn node(set: impl Fn(&mut NodeFaults)) -> SimFaults {
    let mut faults = NodeFaults::default();
    set(&mut faults);
    faults.into()
}

fn replica(set: impl Fn(&mut ReplicaFaults)) -> SimFaults {
    let mut faults = ReplicaFaults::default();
    set(&mut faults);
    faults.into()
}

#[gtest]
fn each_deliberate_fault_is_caught() {
    let cases = [
        (
            "versions_true",
            "data-calm",
            node(|faults| faults.rollout.stamp_latest_version = true),
        ),
        (
            "versions_true",
            "engine-crash",
            node(|faults| faults.rollout.finish_interrupted_streams = true),
        ),
        (
            "staleness_bound",
            "late-finishes",
            replica(|faults| faults.ledger.hand_over_without_age_check = true),
        ),
        (
            "exactly_once",
            "late-finishes",
            replica(|faults| faults.ledger.accept_second_finish = true),
        ),
        (
            "exactly_once",
            "trainer-killed",
            replica(|faults| faults.ledger.forget_handover = true),
        ),
        (
            "exactly_once",
            "ledger-leader-lost",
            replica(|faults| faults.ledger.answer_before_commit = true),
        ),
        (
            "whole_answers",
            "live-trouble",
            node(|faults| faults.request.accept_truncated_body = true),
        ),
        (
            "not_run_true",
            "live-trouble",
            node(|faults| faults.request.report_failures_as_not_run = true),
        ),
        (
            "no_repeat",
            "live-trouble",
            node(|faults| faults.request.retry_on_may_have_run = true),
        ),
        (
            "no_repeat",
            "live-trouble",
            node(|faults| faults.request.send_before_claim = true),
        ),
        (
            "no_repeat",
            "live-trouble",
            replica(|faults| faults.claims.grant_taken = true),
        ),
        (
            "leaving",
            "server-leaving",
            node(|faults| faults.routing.ignore_draining = true),
        ),
        (
            "planned_stop",
            "planned-stops",
            node(|faults| faults.stop_at_once = true),
        ),
    ];
    for (number, (promise, name, faults)) in cases.into_iter().enumerate() {
        let first = first_catch(name, promise, faults);
        expect_that!(
            first,
            some(anything()),
            "case {number}: {promise} in {name}"
        );
    }
}

#[gtest]
fn the_same_seed_gives_the_same_history() {
    let scenario = scenario("data-mixed");
    let run = |seed| scenarios::run(&scenario, seed, SimFaults::default(), false);
    expect_that!(run(3), eq(&run(3)));
    expect_that!(run(3).history, not(eq(run(4).history)));
}
