//! Tests of the selection among open servers.

mod support;

use googletest::prelude::*;
use support::*;
use wingshore_routing::{RefusalCode, RouterSettings};
use wingshore_types::WeightVersion;

fn choices(choices: u32) -> RouterSettings {
    RouterSettings {
        choices,
        ..RouterSettings::default()
    }
}

/// Returns the largest number of requests on one of 40 servers after 800 requests, none of which
/// ends.
fn max_requests_per_server(settings: RouterSettings) -> usize {
    let mut router = router_with(settings, Default::default(), &site(40, 1, 1000, 1000));
    let admitted = admit_all(&mut router, at(0), &live(), 800);
    (0..40)
        .map(|number| count_on(&admitted, number))
        .max()
        .unwrap_or(0)
}

#[gtest]
fn two_choices_spread_load_far_better_than_one() {
    let random = max_requests_per_server(choices(1));
    let two = max_requests_per_server(choices(2));
    expect_that!(random, ge(28), "20 each would be even");
    expect_that!(two, le(23));
    expect_that!(max_requests_per_server(choices(3)), le(two));
}

#[gtest]
fn own_zone_is_preferred_up_to_the_zone_penalty() {
    let site = site(2, 2, 100, 1000);
    for penalty in [0, 2, 10] {
        let settings = RouterSettings {
            zone_penalty: penalty,
            ..RouterSettings::default()
        };
        let mut router = router_with(settings, Default::default(), &site);
        let admitted = admit_all(&mut router, at(0), &live(), 60);
        let own = count_on(&admitted, 0);
        let expected = (60 + penalty as usize) / 2;
        expect_that!(
            own,
            all!(ge(expected), le(expected + 1)),
            "penalty {penalty}"
        );
    }
}

/// A restarted server counts as a tenth of a server at first and as half a server after half of the
/// slow start.
#[gtest]
fn returned_server_starts_slowly() {
    let site = site(2, 1, 1000, 1000);
    for (waited, least, most) in [(0, 18, 19), (5_000, 66, 67), (10_000, 100, 100)] {
        let mut router = router(&site);
        router.on_engine_state(at(0), &server_id(1), &state(2, Some(VERSION), false));
        let admitted = admit_all(&mut router, at(waited), &live(), 200);
        let returned = count_on(&admitted, 1);
        expect_that!(returned, all!(ge(least), le(most)), "after {waited} ms");
    }
}

#[gtest]
fn external_load_counts_like_own_load() {
    let mut router = router(&site(2, 1, 1000, 1000));
    router.on_load(at(0), &server_id(0), &load(50, 10, 0));
    router.on_load(at(0), &server_id(1), &load(0, 0, 0));
    let admitted = admit_all(&mut router, at(1), &live(), 60);
    expect_that!(count_on(&admitted, 0), le(1));
}

#[gtest]
fn rollouts_need_a_known_and_recent_version() {
    let mut router = router(&site(30, 3, 100, 0));
    for number in 0..29 {
        let version = (number % 2 == 0).then_some(WeightVersion(4));
        router.on_engine_state(at(1), &server_id(number), &state(1, version, false));
    }
    let admitted = admit_all(&mut router, at(2), &rollout(), 50);
    expect_that!(count_on(&admitted, 29), eq(50));

    let mut newer = rollout();
    newer.oldest_useful = Some(WeightVersion(6));
    let refusal = router
        .admit(at(2), &newer)
        .expect_err("no engine serves the version");
    expect_that!(refusal.code, eq(RefusalCode::NoUsableVersion));
    expect_that!(router.admit(at(9_900), &rollout()), ok(anything()));
    let refusal = router
        .admit(at(10_001), &rollout())
        .expect_err("the reports have expired");
    expect_that!(refusal.code, eq(RefusalCode::NoUsableVersion));
}

#[gtest]
fn same_seed_and_calls_give_the_same_choices() {
    let site = site(100, 4, 16, 500);
    let run = || {
        let mut router = router(&site);
        let mut chosen = Vec::new();
        for step in 0..500 {
            let request = if step % 3 == 0 { rollout() } else { live() };
            if let Ok(one) = router.admit(at(step), &request) {
                chosen.push(one.server.clone());
                if step % 5 != 0 {
                    router.on_finished(at(step), one.ticket, success(1));
                }
            }
        }
        chosen
    };
    expect_that!(run(), eq(&run()));
}

#[gtest]
fn refusals_carry_the_reason() {
    let site = site(1, 1, 1, 1000);
    let mut router = router(&site);
    let code = |result: std::result::Result<_, wingshore_routing::Refusal>| {
        result
            .map(|_: wingshore_routing::Admitted| ())
            .map_err(|refusal| refusal.code)
    };
    let mut unknown = live();
    unknown.service = "another".into();
    let mut late = live();
    late.deadline = at(0);
    let mut excluded = live();
    excluded.excluded = vec![server_id(0)];
    let cases = [
        (unknown, Err(RefusalCode::UnknownService)),
        (late, Err(RefusalCode::DeadlinePassed)),
        (excluded, Err(RefusalCode::NoServer)),
        (live(), Ok(())),
        (live(), Err(RefusalCode::NoCapacity)),
    ];
    for (request, expected) in cases {
        expect_that!(code(router.admit(at(1), &request)), eq(expected));
    }
}
