//! Configuration leases through relays: no lease outlives the leader's record of it.

mod simulation;

use googletest::prelude::*;
use simulation::{Fault, LEASE, Parent, Simulation};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..60;
const NODES: usize = 8;

fn topologies() -> [(&'static str, Vec<Parent>); 3] {
    [
        ("one relay", vec![Parent::Leader]),
        ("three relays", vec![Parent::Leader; 3]),
        (
            "relays behind relays",
            vec![
                Parent::Leader,
                Parent::Leader,
                Parent::Relay(0),
                Parent::Relay(1),
            ],
        ),
    ]
}

#[gtest]
fn no_lease_outlives_the_leaders_record_and_all_nodes_catch_up() {
    for (name, parents) in topologies() {
        for seed in SEEDS {
            let mut simulation = Simulation::new(seed, &parents, NODES, Fault::None);
            simulation.run_with_faults(Duration::from_secs(60));
            expect_that!(simulation.violations, is_empty(), "{name}, seed {seed}");
            // Covers the longest freeze (12 s) and some watches.
            simulation.run_healed(Duration::from_secs(20));
            simulation.commit();
            simulation.run_until(simulation.now() + Duration::from_secs(3));
            expect_that!(simulation.violations, is_empty(), "{name}, seed {seed}");
            expect_that!(
                simulation.up_to_date_nodes(),
                eq(NODES),
                "{name}, seed {seed}"
            );
            let committed = simulation.committed();
            expect_that!(
                simulation.in_force_everywhere(),
                eq(committed),
                "{name}, seed {seed}"
            );
        }
    }
}

#[gtest]
fn each_deliberate_fault_is_caught() {
    for fault in [
        Fault::LeaseNotShortened,
        Fault::LeaseWithoutForwarding,
        Fault::LeaseCountedFromArrival,
    ] {
        let caught = SEEDS.clone().any(|seed| {
            let mut simulation = Simulation::new(seed, &[Parent::Leader; 3], NODES, fault);
            simulation.run_with_faults(Duration::from_secs(60));
            !simulation.violations.is_empty()
        });
        expect_true!(caught, "{fault:?}");
    }
}

#[gtest]
fn frozen_node_delays_in_force_by_at_most_its_lease() {
    let mut simulation = Simulation::new(1, &[Parent::Leader; 2], NODES, Fault::None);
    simulation.run_healed(Duration::from_secs(10));
    expect_that!(simulation.up_to_date_nodes(), eq(NODES));
    simulation.freeze_for(0, Duration::from_secs(60));
    simulation.commit();
    simulation.run_until(simulation.now() + Duration::from_secs(1));
    expect_that!(simulation.in_force_everywhere(), lt(simulation.committed()));
    expect_that!(simulation.up_to_date_nodes(), eq(NODES - 1));
    simulation.run_until(simulation.now() + LEASE);
    expect_that!(simulation.in_force_everywhere(), eq(simulation.committed()));
    expect_false!(simulation.holds_lease(0));
    expect_that!(simulation.violations, is_empty());
}
