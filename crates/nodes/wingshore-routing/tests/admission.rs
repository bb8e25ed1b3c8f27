//! Tests of admission control: guarantees, borrowing and reclaiming of slots.

mod support;

use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;
use support::*;
use wingshore_routing::{Admitted, AttemptOutcome, Class, RefusalCode, RouterSettings};
use wingshore_types::configuration::Permille;

#[gtest]
fn single_class_takes_its_guarantee_and_borrowable_slots() {
    // (slots, live share, reserve, most live requests alone, most rollouts alone)
    let cases = [
        (16, 500, 250, 16, 14),
        (16, 500, 0, 16, 16),
        (16, 500, 1000, 16, 8),
        (16, 1000, 250, 16, 12),
        (16, 0, 250, 16, 16),
        (2, 1, 0, 2, 2),
        (2, 999, 1000, 2, 1),
        (1, 500, 0, 1, 1),
    ];
    for case in cases {
        let (slots, share, reserve, most_live, most_rollouts) = case;
        let settings = RouterSettings {
            live_reserve: Permille(reserve),
            ..RouterSettings::default()
        };
        let site = site(1, 1, slots, share);
        let mut router = router_with(settings.clone(), Default::default(), &site);
        let admitted = admit_all(&mut router, at(0), &live(), 100);
        expect_that!(admitted.len(), eq(most_live), "live of {case:?}");
        let mut router = router_with(settings, Default::default(), &site);
        let admitted = admit_all(&mut router, at(0), &rollout(), 100);
        expect_that!(admitted.len(), eq(most_rollouts), "rollouts of {case:?}");
    }
}

#[gtest]
fn reserve_admits_a_burst_and_further_live_requests_reclaim_slots() {
    let settings = RouterSettings {
        live_reserve: Permille(250),
        ..RouterSettings::default()
    };
    let mut router = router_with(settings, Default::default(), &site(1, 1, 16, 500));
    let rollouts = admit_all(&mut router, at(0), &rollout(), 100);
    expect_that!(rollouts.len(), eq(14));
    expect_that!(
        router.over_guarantee(at(1), Class::Rollout)[0].slots_to_reclaim,
        eq(0)
    );

    expect_that!(admit_all(&mut router, at(2), &live(), 2), len(eq(2)));
    for _ in 0..3 {
        let refusal = router.admit(at(3), &live()).expect_err("no slot is free");
        expect_that!(refusal.code, eq(RefusalCode::NoCapacity));
    }
    let over = router.over_guarantee(at(4), Class::Rollout);
    expect_that!((over[0].borrowed, over[0].slots_to_reclaim), eq((6, 3)));

    for one in &rollouts[..3] {
        router.on_finished(at(5), one.ticket, AttemptOutcome::Cancelled);
    }
    expect_that!(
        router.over_guarantee(at(5), Class::Rollout)[0].slots_to_reclaim,
        eq(0)
    );
    expect_that!(router.admit(at(6), &rollout()), err(anything()));
    expect_that!(admit_all(&mut router, at(7), &live(), 9), len(eq(3)));
}

#[gtest]
fn rollouts_leave_the_recent_live_peak_free() {
    // (live requests at the peak, time at which rollouts fill the slots in s, rollouts admitted):
    // 8 of 16 slots are guaranteed to each class, one slot is always left free, and a peak is kept
    // for one to two minutes.
    for (peak, seconds, expected) in [
        (1, 1, 15),
        (5, 1, 11),
        (8, 1, 8),
        (12, 1, 8),
        (5, 59, 11),
        (5, 121, 15),
    ] {
        let site = site(1, 1, 16, 500);
        let mut router = router(&site);
        for one in admit_all(&mut router, at(0), &live(), peak) {
            router.on_finished(at(100), one.ticket, success(100));
        }
        let later = at(seconds * 1000);
        report_versions(&mut router, later, &site);
        let rollouts = admit_all(&mut router, later, &rollout(), 100);
        expect_that!(
            rollouts.len(),
            eq(expected),
            "{peak} live, after {seconds} s"
        );
    }
}

#[gtest]
fn borrowing_resumes_after_the_reclaim_window() {
    let mut router = router(&site(1, 1, 16, 500));
    let lives = admit_all(&mut router, at(0), &live(), 100);
    expect_that!(router.admit(at(1), &rollout()), err(anything()));
    router.on_finished(at(2), lives[0].ticket, success(2));
    expect_that!(router.admit(at(1900), &live()), err(anything()));
    expect_that!(router.admit(at(2100), &live()), ok(anything()));
}

#[gtest]
fn external_requests_limit_borrowing_before_the_guarantee() {
    // (external requests, most requests admitted of either class), with 16 slots, 8 of them
    // guaranteed to each class, and no reserve
    let settings = RouterSettings {
        live_reserve: Permille(0),
        ..RouterSettings::default()
    };
    for (others, most) in [(0, 16), (4, 12), (8, 8), (16, 8), (20, 4), (24, 0)] {
        for request in [live(), rollout()] {
            let mut router =
                router_with(settings.clone(), Default::default(), &site(1, 1, 16, 500));
            router.on_load(at(0), &server_id(0), &load(others, 0, 0));
            let admitted = admit_all(&mut router, at(1), &request, 100);
            expect_that!(
                admitted.len(),
                eq(most),
                "{others} others, {:?}",
                request.class
            );
        }
    }
}

#[gtest]
fn retry_after_follows_observed_service_times() {
    let mut router = router(&site(1, 1, 10, 1000));
    let mut lives = admit_all(&mut router, at(0), &live(), 10);
    let first = router.admit(at(1), &live()).expect_err("full");
    expect_that!(first.retry_after, some(eq(Duration::from_millis(50))));
    let done = lives.pop().expect("ten requests were admitted");
    router.on_finished(at(2000), done.ticket, success(2000));
    admit_all(&mut router, at(2001), &live(), 1);
    for asked in 1..=3 {
        let refusal = router.admit(at(2002), &live()).expect_err("full");
        let expected = Duration::from_millis(200 * asked);
        expect_that!(refusal.retry_after, some(eq(expected)));
    }
}

/// One step of a random load: requests to admit and running requests to finish per class.
#[derive(Clone, Debug)]
struct Step {
    live: usize,
    rollouts: usize,
    live_ends: usize,
    rollouts_end: usize,
}

fn step() -> impl Strategy<Value = Step> {
    (0_usize..40, 0_usize..40, 0_usize..20, 0_usize..20).prop_map(
        |(live, rollouts, live_ends, rollouts_end)| Step {
            live,
            rollouts,
            live_ends,
            rollouts_end,
        },
    )
}

fn finish_oldest(
    router: &mut wingshore_routing::Router,
    now: u64,
    running: &mut Vec<Admitted>,
    most: usize,
) {
    for one in running.drain(..most.min(running.len())) {
        router.on_finished(at(now), one.ticket, success(100));
    }
}

proptest! {
    #![proptest_config(property(200))]

    /// Own requests never exceed the slots. When both classes saturate the servers after any
    /// history, each class has its guarantee on every server once the borrowed slots are free.
    #[test]
    fn slots_and_guarantees_hold(
        steps in prop::collection::vec(step(), 0..30),
        servers in 1_usize..6,
        slots in 2_u32..20,
        share in 1_u16..1000,
    ) {
        let mut router = router(&site(servers, 2, slots, share));
        let mut running = [Vec::new(), Vec::new()];
        let mut now = 0;
        for step in steps {
            now += 37;
            running[0].extend(admit_all(&mut router, at(now), &live(), step.live));
            running[1].extend(admit_all(&mut router, at(now), &rollout(), step.rollouts));
            check_slots(&router, now, servers, slots)?;
            finish_oldest(&mut router, now, &mut running[0], step.live_ends);
            finish_oldest(&mut router, now, &mut running[1], step.rollouts_end);
        }
        report_versions(&mut router, at(now), &site(servers, 2, slots, share));
        saturate(&mut router, now, &mut running);
        check_slots(&router, now, servers, slots)?;
        check_guarantees(&router, now, servers, slots, share)?;
    }
}

/// Requests slots for both classes continuously while the oldest requests end one by one.
fn saturate(router: &mut wingshore_routing::Router, now: u64, running: &mut [Vec<Admitted>; 2]) {
    let rounds = 3 * (running[0].len() + running[1].len()) + 400;
    for _ in 0..rounds {
        for (class, request) in [live(), rollout()].iter().enumerate() {
            running[class].extend(admit_all(router, at(now), request, 200));
            finish_oldest(router, now, &mut running[class], 1);
            running[class].extend(admit_all(router, at(now), request, 200));
        }
    }
}

fn check_slots(
    router: &wingshore_routing::Router,
    now: u64,
    servers: usize,
    slots: u32,
) -> std::result::Result<(), TestCaseError> {
    for number in 0..servers {
        let view = router.server_view(at(now), &server_id(number));
        let view = view.expect("the server is configured");
        prop_assert!(view.live + view.rollouts <= slots, "{view:?}");
    }
    Ok(())
}

fn check_guarantees(
    router: &wingshore_routing::Router,
    now: u64,
    servers: usize,
    slots: u32,
    share: u16,
) -> std::result::Result<(), TestCaseError> {
    let live = (f64::from(slots) * f64::from(share) / 1000.0).round() as u32;
    let live = live.clamp(1, slots - 1);
    for number in 0..servers {
        let view = router.server_view(at(now), &server_id(number));
        let view = view.expect("the server is configured");
        prop_assert!(
            view.live >= live && view.rollouts >= slots - live,
            "{view:?}, {live}"
        );
    }
    Ok(())
}
