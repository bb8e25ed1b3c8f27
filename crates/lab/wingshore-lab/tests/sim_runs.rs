//! The simulator: fixed seeds of all scenarios, and the same seed twice.

use googletest::prelude::*;
use std::ops::Range;
use wingshore_lab::sim::replica::ReplicaFaults;
use wingshore_lab::sim::runs::run_all;
use wingshore_lab::sim::scenarios::{self, Outcome};

/// Seeds of each scenario that are run at each change.
const SEEDS: Range<u64> = 0..30;

#[gtest]
fn no_promise_breaks_in_the_fixed_seeds() {
    let outcomes = run_all(&scenarios::all(), SEEDS, ReplicaFaults::default(), None);
    let broken: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| !outcome.violations.is_empty())
        .collect();
    expect_that!(broken, is_empty());
}

#[gtest]
fn the_same_seed_gives_the_same_history() {
    for scenario in scenarios::all() {
        let run = |seed| scenarios::run(&scenario, seed, ReplicaFaults::default(), false);
        let first = run(1);
        expect_that!(run(1), eq(&first));
        expect_that!(run(2).history, not(eq(first.history)));
    }
}

/// Seen: five of 300 seeds of this scenario said that a member which had been away never got the
/// newest entry. It had: the leader sent its state as a snapshot that ended with that entry, and
/// nothing was appended after. The check counted entries that were applied one by one only.
#[gtest]
fn a_member_that_got_the_newest_entry_in_a_snapshot_has_it() {
    let scenario = scenarios::all()
        .into_iter()
        .find(|scenario| scenario.name == "back-after-500-changes")
        .expect("the scenario");
    let outcome = scenarios::run(&scenario, 88_310_040, ReplicaFaults::default(), false);
    expect_that!(outcome.violations, is_empty());
}
