//! Tests of engines dedicated to live requests and of engines that load weights.

mod support;

use googletest::prelude::*;
use support::*;
use wingshore_types::WeightVersion;

const SERVERS: usize = 12;
const SLOTS: u32 = 8;

/// Returns the number of rollouts admitted to each server after a peak of `live_requests`
/// concurrent live requests.
fn rollouts_after_live_peak(live_requests: usize) -> Vec<usize> {
    let site = site(SERVERS, 3, SLOTS, 250);
    let mut router = router(&site);
    report_versions(&mut router, at(0), &site);
    for one in admit_all(&mut router, at(0), &live(), live_requests) {
        router.on_finished(at(5), one.ticket, success(5));
    }
    let rollouts = admit_all(&mut router, at(10), &rollout(), SERVERS * SLOTS as usize);
    (0..SERVERS)
        .map(|number| count_on(&rollouts, number))
        .collect()
}

#[gtest]
fn dedicated_engines_follow_live_demand() {
    for (live_requests, kept) in [(0, 0), (1, 1), (4, 1), (5, 2), (9, 3), (20, 3)] {
        let rollouts = rollouts_after_live_peak(live_requests);
        let without = rollouts.iter().filter(|count| **count == 0).count();
        expect_that!(without, eq(kept), "{live_requests} live: {rollouts:?}");
        // Three quarters of all slots are guaranteed to rollouts, minus at most one per server if
        // the live share is not a whole number of engines.
        let rounding = SERVERS - kept;
        expect_that!(rollouts.iter().sum::<usize>(), ge(SERVERS * 6 - rounding));
    }
}

#[gtest]
fn live_requests_avoid_engines_that_load_weights() {
    let site = site(SERVERS, 3, SLOTS, 250);
    let mut router = router(&site);
    report_versions(&mut router, at(0), &site);
    let loading = [0, 4, 8];
    for number in loading {
        let mut report = state(1, Some(WeightVersion(7)), false);
        report.loading = Some(WeightVersion(8));
        router.on_engine_state(at(1), &server_id(number), &report);
    }
    let admitted = admit_all(&mut router, at(2), &live(), 30);
    let on_loading: usize = loading.iter().map(|n| count_on(&admitted, *n)).sum();
    expect_that!(admitted, len(eq(30)));
    expect_that!(on_loading, eq(0));
}
