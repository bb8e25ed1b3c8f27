//! Which machines were lost recently.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordinator::LostMachines;
use wingshore_types::Instant;

const WINDOW: Duration = Duration::from_secs(3);
const NOW: Instant = Instant::from_millis(60_000);

fn up(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[gtest]
fn a_machine_whose_connection_ended_is_lost_for_the_window() {
    let mut machines = LostMachines::default();
    machines.record_loss(NOW, "a");
    expect_that!(
        machines.lost_within(NOW + up(2_900), WINDOW),
        elements_are!["a"]
    );
    expect_that!(machines.lost_within(NOW + up(3_100), WINDOW), is_empty());
}

/// After a power failure of all machines none of them has seen a connection to another one end.
#[gtest]
fn a_machine_whose_process_has_just_started_was_lost_before() {
    let mut machines = LostMachines::default();
    expect_that!(machines.record_uptime(NOW, "a", up(400), WINDOW), eq(true));
    expect_that!(machines.lost_within(NOW, WINDOW), elements_are!["a"]);
    expect_that!(
        machines.record_uptime(NOW + up(300), "a", up(700), WINDOW),
        eq(false),
        "that loss is known"
    );
    expect_that!(
        machines.record_uptime(NOW + up(2_000), "a", up(100), WINDOW),
        eq(true),
        "it was lost again"
    );
}

#[gtest]
fn a_machine_whose_process_is_as_old_as_the_window_was_not_lost() {
    let mut machines = LostMachines::default();
    expect_that!(
        machines.record_uptime(NOW, "a", up(2_600), WINDOW),
        eq(false)
    );
    expect_that!(machines.lost_within(NOW, WINDOW), is_empty());
}
