//! The benchmark itself: same seed, same figures; nothing beats the lower bound.

use googletest::prelude::*;
use std::path::Path;
use std::time::Duration;
use wingshore_lab::bench::figures::RunFigures;
use wingshore_lab::bench::runs::{run_all, run_one};
use wingshore_lab::bench::scenario::{Policy, RunOptions, Scenario};

fn short(site: &str, policy: Policy) -> Scenario {
    let options = RunOptions {
        policy,
        weight: None,
        step_time_scale: 1.0,
        without_rollouts: false,
        flood: false,
    };
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../sites");
    let mut scenario = Scenario::read(&folder.join(site), options).expect("the site's files");
    scenario.bench.duration = Duration::from_secs(200);
    scenario.bench.warm_up = Duration::from_secs(40);
    scenario.bench.workload.batch = 96;
    scenario.bench.workload.training_time = Duration::from_secs(3);
    scenario
}

fn run(scenario: &Scenario, seed: u64) -> RunFigures {
    run_one(scenario, seed).expect("histograms")
}

#[gtest]
fn a_seed_gives_the_same_figures_however_many_threads_run() {
    for policy in [Policy::Baseline, Policy::Default] {
        let scenario = short("farewind", policy);
        let together = run_all(&scenario, 1..=2, 2).expect("histograms");
        expect_that!(together[0].steps, gt(5));
        expect_that!(together[1], eq(&run(&scenario, 2)));
        expect_that!(together[0], not(eq(&together[1])));
    }
}

#[gtest]
fn no_policy_beats_the_lower_bound() {
    for site in ["farewind", "roster"] {
        for policy in [Policy::Baseline, Policy::Default] {
            let figures = run(&short(site, policy), 3);
            // A sample that is delivered at the beginning may have been made before.
            expect_that!(
                figures.step_over_bound,
                gt(0.99),
                "{site} {policy}: {figures:?}"
            );
            expect_that!(figures.bound_work_seconds, gt(0.1));
            expect_that!(figures.staleness_max, le(3.0));
        }
    }
}
