//! Tests of the ejection of servers whose requests fail.

mod support;

use googletest::prelude::*;
use proptest::prelude::*;
use support::*;
use wingshore_routing::{AttemptOutcome, Router};
use wingshore_types::Verdict;

/// Fails one request to a server; returns whether the server was selected for it.
fn fail_request(router: &mut Router, now: u64, number: usize, servers: usize) -> bool {
    let mut request = live();
    request.excluded = (0..servers)
        .filter(|other| *other != number)
        .map(server_id)
        .collect();
    let Ok(admitted) = router.admit(at(now), &request) else {
        return false;
    };
    let failed = AttemptOutcome::Failed(Verdict::MayHaveRun);
    router.on_finished(at(now), admitted.ticket, failed);
    true
}

fn ejected(router: &Router, now: u64, servers: usize) -> usize {
    let views = (0..servers).filter_map(|number| router.server_view(at(now), &server_id(number)));
    views.filter(|view| view.ejected).count()
}

#[gtest]
fn ejections_double_and_expire() {
    let mut router = router(&site(4, 1, 8, 500));
    let mut now = 0;
    for seconds in [5, 10, 20, 40, 80, 120, 120] {
        for _ in 0..5 {
            expect_that!(fail_request(&mut router, now, 0, 4), eq(true));
        }
        expect_that!(ejected(&router, now, 4), eq(1));
        expect_that!(
            fail_request(&mut router, now + seconds * 1000 - 1, 0, 4),
            eq(false)
        );
        now += seconds * 1000;
    }
}

#[gtest]
fn success_resets_the_failure_count() {
    let mut router = router(&site(2, 1, 8, 500));
    let mut request = live();
    request.excluded = vec![server_id(1)];
    for _ in 0..20 {
        for _ in 0..4 {
            expect_that!(fail_request(&mut router, 0, 0, 2), eq(true));
        }
        let admitted = router.admit(at(0), &request).expect("the server is open");
        router.on_finished(at(0), admitted.ticket, success(1));
    }
    expect_that!(ejected(&router, 0, 2), eq(0));
}

#[gtest]
fn at_most_half_of_the_servers_are_ejected() {
    // (servers, maximum number of ejected servers at the default share of one half)
    for (servers, most) in [(1, 0), (2, 1), (3, 1), (9, 4), (11, 5), (40, 20)] {
        let mut router = router(&site(servers, 1, 8, 500));
        for _ in 0..20 {
            for number in 0..servers {
                fail_request(&mut router, 0, number, servers);
            }
        }
        expect_that!(ejected(&router, 0, servers), eq(most), "{servers} servers");
        expect_that!(router.admit(at(1), &live()), ok(anything()));
    }
}

proptest! {
    #![proptest_config(property(100))]

    /// Whatever fails when, at most half of the servers are ejected and at least one is open.
    #[test]
    fn ejection_limit_holds(
        failures in prop::collection::vec((0_usize..8, 0_u64..3000), 0..400),
        servers in 1_usize..8,
    ) {
        let mut router = router(&site(servers, 2, 8, 500));
        let mut now = 0;
        for (number, pause) in failures {
            now += pause;
            fail_request(&mut router, now, number % servers, servers);
            prop_assert!(ejected(&router, now, servers) <= servers / 2);
            let admitted = router.admit(at(now), &live());
            prop_assert!(admitted.is_ok(), "at least one server is open");
            if let Ok(one) = admitted {
                router.on_finished(at(now), one.ticket, AttemptOutcome::Cancelled);
            }
        }
    }
}
