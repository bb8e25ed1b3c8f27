//! For each promise of the control group a deliberate fault, and that the simulator catches it
//! within the seeds that are run at each change.

use googletest::prelude::*;
use std::ops::Range;
use wingshore_lab::sim::replica::ReplicaFaults;
use wingshore_lab::sim::scenarios;

/// Seeds of each scenario that are run at each change.
const SEEDS: Range<u64> = 0..30;

/// The first seed of the scenario in which `promise` is seen to be broken.
fn first_catch(scenario: &str, promise: &str, faults: ReplicaFaults) -> Option<u64> {
    let all = scenarios::all();
    let scenario = all.iter().find(|known| known.name == scenario)?;
    SEEDS.into_iter().find(|seed| {
        let outcome = scenarios::run(scenario, *seed, faults, false);
        let mut broken = outcome.violations.iter();
        broken.any(|(broken, _)| broken == promise)
    })
}

/// A fault's name, the scenario and the promise that shows it, and its switch.
type Case = (
    &'static str,
    &'static str,
    &'static str,
    fn(&mut ReplicaFaults),
);

const CASES: [Case; 10] = [
    (
        "acknowledge_without_persist",
        "power-lost",
        "acknowledged_kept",
        |faults| {
            faults.consensus.acknowledge_without_persist = true;
        },
    ),
    (
        "skip_lease_check",
        "frozen-without-members",
        "reads_fresh",
        |faults| {
            faults.consensus.skip_lease_check = true;
        },
    ),
    ("empty disk votes", "disk-lost", "logs_agree", |faults| {
        faults.format_again = true;
    }),
    (
        "commit_without_quorum",
        "one-way-cuts",
        "acknowledged_kept",
        |faults| {
            faults.consensus.commit_without_quorum = true;
        },
    ),
    (
        "commit_without_quorum",
        "storage-kills",
        "logs_agree",
        |faults| {
            faults.consensus.commit_without_quorum = true;
        },
    ),
    (
        "ignore_fence_order",
        "frozen-before-send",
        "orders_fenced",
        |faults| {
            faults.control.ignore_fence_order = true;
        },
    ),
    (
        "in_force_without_acknowledgement",
        "followers-in-trouble",
        "in_force_true",
        |faults| faults.control.in_force_without_acknowledgement = true,
    ),
    (
        "forget_intents",
        "killed-before-answer",
        "intents_once",
        |faults| {
            faults.control.forget_intents = true;
        },
    ),
    (
        "confirm_stale_plans",
        "racing-operators",
        "base_kept",
        |faults| {
            faults.control.confirm_stale_plans = true;
        },
    ),
    (
        "repeat_steps_after_leader_change",
        "killed-while-moving",
        "steps_once",
        |faults| faults.control.repeat_steps_after_leader_change = true,
    ),
];

#[gtest]
fn each_deliberate_fault_is_caught() {
    for (name, scenario, promise, set) in CASES {
        let mut faults = ReplicaFaults::default();
        set(&mut faults);
        let first = first_catch(scenario, promise, faults);
        println!("{name}: {promise} broken in {scenario}, seed {first:?}");
        expect_that!(first, some(anything()), "{name}, {scenario}");
    }
}
