//! Who starts the scoring of a finished text, and what a gateway reports about scoring services.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordination::{ScoringLoad, ServiceName};
use wingshore_gateway::{
    LoadSignal, ScoringLeader, ScoringLoads, ScoringStart, is_leaderless_start_due,
    may_start_without_leader, scoring_start,
};
use wingshore_types::Instant;

fn report(service: &str, live: u32, in_time: u32, overloaded: u32) -> ScoringLoad {
    ScoringLoad {
        service: ServiceName::from(service),
        live_in_flight: live,
        in_time,
        overloaded,
    }
}

#[gtest]
fn a_gateway_waits_for_the_grant_of_a_leader_that_gives_them() {
    let start = scoring_start(true, ScoringLeader::Grants);
    expect_that!(start, eq(ScoringStart::Granted));
}

#[gtest]
fn a_gateway_under_a_leader_of_an_earlier_build_starts_at_once() {
    let start = scoring_start(true, ScoringLeader::StartsNone);
    expect_that!(start, eq(ScoringStart::Own));
}

#[gtest]
fn a_gateway_without_the_shared_limit_starts_at_once() {
    for leader in [
        ScoringLeader::Unknown,
        ScoringLeader::StartsNone,
        ScoringLeader::Grants,
    ] {
        expect_that!(scoring_start(false, leader), eq(ScoringStart::Own));
    }
}

#[gtest]
fn a_gateway_without_a_leader_starts_after_the_handover_time() {
    let start = scoring_start(true, ScoringLeader::Unknown);
    expect_that!(start, eq(ScoringStart::Deferred));
    let lost_at = Instant::from_millis(10_000);
    let finished_at = Instant::from_millis(10_200);
    let after = |milliseconds| finished_at + Duration::from_millis(milliseconds);
    // The election takes up to 0.9 s, and the new leader grants nothing for 0.3 s.
    expect_that!(
        is_leaderless_start_due(after(1200), lost_at, finished_at),
        is_false()
    );
    expect_that!(
        is_leaderless_start_due(after(1500), lost_at, finished_at),
        is_true()
    );
    expect_that!(may_start_without_leader(after(1200), lost_at), is_false());
    expect_that!(may_start_without_leader(after(1300), lost_at), is_true());
}

#[gtest]
fn a_text_that_was_finished_long_before_the_leader_was_lost_waits_as_long() {
    let lost_at = Instant::from_millis(10_000);
    let finished_at = Instant::from_millis(1000);
    let soon = Instant::from_millis(10_500);
    expect_that!(
        is_leaderless_start_due(soon, lost_at, finished_at),
        is_false()
    );
}

#[gtest]
fn answers_are_reported_once() {
    let mut loads = ScoringLoads::default();
    let service = ServiceName::from("scores");
    for signal in [LoadSignal::InTime, LoadSignal::InTime, LoadSignal::Overload] {
        loads.record(&service, signal);
    }
    loads.record(&service, LoadSignal::None);
    let first = loads.take_report(|_| 0);
    expect_that!(first, eq(&vec![report("scores", 0, 2, 1)]));
    expect_that!(loads.take_report(|_| 0), is_empty());
}

#[gtest]
fn live_requests_are_reported_until_there_are_none() {
    let mut loads = ScoringLoads::default();
    loads.add_service(&ServiceName::from("scores"));
    expect_that!(loads.take_report(|_| 0), is_empty());
    let busy = vec![report("scores", 3, 0, 0)];
    expect_that!(loads.take_report(|_| 3), eq(&busy));
    expect_that!(loads.take_report(|_| 3), eq(&busy));
    let idle = vec![report("scores", 0, 0, 0)];
    expect_that!(loads.take_report(|_| 0), eq(&idle));
    expect_that!(loads.take_report(|_| 0), is_empty());
}

#[gtest]
fn a_gateway_that_knows_no_scoring_service_reports_nothing() {
    expect_that!(ScoringLoads::default().take_report(|_| 9), is_empty());
}
