//! Tests of retries: which attempts may be repeated, and how often.

mod support;

use googletest::prelude::*;
use support::*;
use wingshore_routing::{AttemptOutcome, RouteRequest};
use wingshore_types::Verdict;

#[gtest]
fn verdict_decides_whether_a_retry_is_allowed() {
    let cases = [
        (false, Verdict::NotRun, true),
        (false, Verdict::MayHaveRun, true),
        (false, Verdict::Ran, false),
        (true, Verdict::NotRun, true),
        (true, Verdict::MayHaveRun, false),
        (true, Verdict::Ran, false),
    ];
    let mut router = router(&site(1, 1, 8, 500));
    for (no_repeat, verdict, expected) in cases {
        let request = RouteRequest {
            no_repeat,
            ..live()
        };
        let answer = router.may_retry(at(0), &request, verdict);
        expect_that!(answer, eq(expected), "{no_repeat} {verdict:?}");
    }
}

#[gtest]
fn no_retry_after_the_deadline_or_for_an_unknown_service() {
    let mut router = router(&site(1, 1, 8, 500));
    let mut request = live();
    request.deadline = at(10);
    expect_that!(router.may_retry(at(9), &request, Verdict::NotRun), eq(true));
    expect_that!(
        router.may_retry(at(10), &request, Verdict::NotRun),
        eq(false)
    );
    request.deadline = at(1000);
    request.service = "another".into();
    expect_that!(
        router.may_retry(at(9), &request, Verdict::NotRun),
        eq(false)
    );
}

/// Every attempt fails for 20 s at 500 requests/s, and each is retried as long as the router allows
/// it. Without the retry budget, attempts would multiply during an outage.
#[gtest]
fn retry_budget_bounds_attempts_during_an_outage() {
    let mut router = router(&site(9, 1, 64, 500));
    let (mut requests, mut attempts) = (0_u32, 0_u32);
    for millisecond in (0..20_000).step_by(2) {
        let now = at(millisecond);
        requests += 1;
        while let Ok(admitted) = router.admit(now, &live()) {
            attempts += 1;
            let failed = AttemptOutcome::Failed(Verdict::MayHaveRun);
            router.on_finished(now, admitted.ticket, failed);
            if !router.may_retry(now, &live(), Verdict::MayHaveRun) {
                break;
            }
        }
    }
    let allowed = f64::from(requests) * 1.2 + 5.0 * 20.0 + 20.0;
    expect_that!(f64::from(attempts), le(allowed));
    expect_that!(attempts, gt(requests), "some requests are retried");
}
