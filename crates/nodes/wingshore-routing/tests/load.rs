//! Tests of the load estimate: delayed reports neither hide this node's own requests nor count them
//! twice.

mod support;

use googletest::prelude::*;
use proptest::prelude::*;
use std::collections::VecDeque;
use support::*;

fn external(router: &wingshore_routing::Router, now: u64) -> u32 {
    let view = router.server_view(at(now), &server_id(0));
    view.expect("the server is configured").external
}

#[gtest]
fn own_requests_are_subtracted_as_of_the_report_time() {
    // (own requests before the reading, own requests after it, reported requests, age in ms,
    // expected external requests)
    let cases = [
        (0, 0, 7, 0, 7),
        (3, 0, 3, 100, 0),
        (3, 0, 10, 100, 7),
        (3, 4, 3, 100, 0),
        (3, 4, 10, 100, 7),
        (0, 4, 0, 100, 0),
        (3, 0, 1, 100, 0),
    ];
    for case in cases {
        let (before, after, reported, age, expected) = case;
        let mut router = router(&site(1, 1, 100, 1000));
        admit_all(&mut router, at(0), &live(), before);
        admit_all(&mut router, at(500), &live(), after);
        router.on_load(at(550), &server_id(0), &load(reported, 0, 50 + age));
        expect_that!(external(&router, 550), eq(expected), "{case:?}");
    }
}

#[gtest]
fn requests_ended_since_the_reading_are_not_counted_as_external() {
    let mut router = router(&site(1, 1, 100, 1000));
    let admitted = admit_all(&mut router, at(0), &live(), 5);
    for one in admitted {
        router.on_finished(at(500), one.ticket, success(500));
    }
    router.on_load(at(600), &server_id(0), &load(5, 2, 300));
    expect_that!(external(&router, 600), eq(2));
}

#[gtest]
fn older_and_expired_reports_are_ignored() {
    let mut router = router(&site(1, 1, 100, 1000));
    router.on_load(at(1000), &server_id(0), &load(3, 0, 100));
    router.on_load(at(1010), &server_id(0), &load(9, 0, 500));
    expect_that!(external(&router, 1010), eq(3));
    expect_that!(external(&router, 5899), eq(3));
    expect_that!(external(&router, 5900), eq(0));
}

/// Applies 200 rounds of reports of two servers, and returns the estimated external requests on the
/// first server at the last report and one second later. The mean is 10.
fn estimates_after_reports(loads: impl Fn(u64) -> (u32, u32)) -> (u32, u32) {
    let mut router = router(&site(2, 1, 100, 1000));
    for round in 0..200 {
        let (first, second) = loads(round);
        router.on_load(at(round * 1000), &server_id(0), &load(first, 0, 0));
        router.on_load(at(round * 1000), &server_id(1), &load(second, 0, 0));
    }
    (external(&router, 199_000), external(&router, 200_000))
}

#[gtest]
fn differences_decay_at_the_observed_rate() {
    let lasting = estimates_after_reports(|_| (20, 0));
    expect_that!(lasting, eq((20, 20)));
    let changing = estimates_after_reports(|round| if round % 2 == 0 { (0, 20) } else { (20, 0) });
    expect_that!(changing.1, all!(ge(8), le(12)), "{changing:?}");
    let slowly = estimates_after_reports(|round| {
        if round / 10 % 2 == 0 {
            (0, 20)
        } else {
            (20, 0)
        }
    });
    expect_that!(slowly.1, all!(ge(14), le(19)), "{slowly:?}");
}

#[gtest]
fn server_without_a_report_counts_as_the_service_mean() {
    let mut router = router(&site(3, 1, 100, 1000));
    router.on_load(at(0), &server_id(1), &load(7, 0, 0));
    router.on_load(at(0), &server_id(2), &load(7, 0, 0));
    expect_that!(external(&router, 1), eq(7));
}

proptest! {
    #![proptest_config(property(256))]

    /// On a server that only this node uses, the estimated external requests never exceed the
    /// number of changes within one bucket of the history, whatever the requests and the delay of
    /// reports.
    #[test]
    fn no_external_load_is_estimated_without_other_nodes(
        steps in prop::collection::vec((0_u64..40, 0_u8..3, 0_u64..600), 1..200),
    ) {
        let mut router = router(&site(1, 1, 1000, 1000));
        let mut running = VecDeque::new();
        let mut history = vec![(0, 0_u32)];
        let mut newest = (0, 0);
        let mut now = 0;
        for (pause, kind, age) in steps {
            now += pause;
            match kind {
                0 => running.extend(router.admit(at(now), &live()).ok()),
                1 => {
                    if let Some(one) = running.pop_front() {
                        router.on_finished(at(now), one.ticket, success(1));
                    }
                }
                _ => {
                    let read_at = now.saturating_sub(age);
                    let true_count = count_at(&history, read_at);
                    router.on_load(at(now), &server_id(0), &load(true_count, 0, now - read_at));
                    if read_at >= newest.0 {
                        newest = (read_at, changes_near(&history, read_at));
                    }
                    prop_assert!(external(&router, now) <= newest.1);
                }
            }
            history.push((now, running.len() as u32));
        }
    }
}

fn count_at(history: &[(u64, u32)], time: u64) -> u32 {
    let known = history.iter().rev().find(|(at, _)| *at <= time);
    known.map_or(0, |(_, count)| *count)
}

/// Returns the number of changes within 16 ms (the width of a bucket) of `time`.
fn changes_near(history: &[(u64, u32)], time: u64) -> u32 {
    let near = |pair: &&[(u64, u32)]| pair[1].0.abs_diff(time) <= 16 && pair[0].1 != pair[1].1;
    history.windows(2).filter(near).count() as u32
}
