//! How far ahead of its trainer a pool generates, depending on its weight of trainer idle time.

mod support;

use googletest::prelude::*;
use support::{
    MAX_OPEN, acknowledge, configure_weight, lease_samples, pull, submit, submit_and_score,
};
use wingshore_ledger::samples::Faults;
use wingshore_types::configuration::Permille;

const COUNT: u32 = 16;

/// Returns the number of samples that can be leased after the trainer has acknowledged one step.
fn count_granted(weight: u16) -> usize {
    let mut group = support::ledger(Faults::default());
    group.call(configure_weight(2, 2, MAX_OPEN * 4, Permille(weight)));
    submit_and_score(&mut group, 0..u64::from(COUNT), 1);
    group.call(pull(0, 1, COUNT, 0));
    group.call(acknowledge(0));
    group.call(submit(100..100 + u64::from(MAX_OPEN) * 2));
    let mut granted = 0;
    loop {
        match lease_samples(&mut group, "node", 1, 10).len() {
            0 => return granted,
            more => granted += more,
        }
    }
}

#[gtest]
fn the_idle_weight_limits_how_much_is_generated_ahead() {
    let rows = [
        (0, 16),
        (250, 19),
        (500, 28),
        (750, 43),
        (999, 63),
        (1000, 128),
    ];
    for (weight, expected) in rows {
        expect_that!(count_granted(weight), eq(expected), "weight {weight}");
    }
}

#[gtest]
fn acknowledged_samples_allow_new_leases() {
    let mut group = support::ledger(Faults::default());
    group.call(configure_weight(2, 2, MAX_OPEN * 4, Permille(0)));
    let mut next = 0;
    for step in 0..3 {
        let numbers = next..next + u64::from(COUNT);
        next = numbers.end;
        submit_and_score(&mut group, numbers, 1);
        expect_that!(group.call(pull(step, 1, COUNT, 0)), some(anything()));
        group.call(acknowledge(step));
    }
}
