//! When a lost connection counts against the requests on it.

use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{FingerprintKey, InstanceId, RequestContent, RequestFingerprint};
use wingshore_gateway::CrashDetector;
use wingshore_types::Instant;

const NOW: Instant = Instant(1_000_000_000);

fn request(number: u8) -> RequestFingerprint {
    let content = RequestContent {
        method: "POST",
        host: "h",
        target: "/",
        caller: b"",
        body: &[number],
    };
    content.fingerprint(FingerprintKey::new([1; 16]))
}

fn address(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 80).into()
}

fn server() -> InstanceId {
    InstanceId::from("run-1")
}

/// A connection to the server was lost under request 1.
fn with_a_lost_connection() -> CrashDetector {
    let mut watch = CrashDetector::default();
    let seen = watch.connection_lost(NOW, &server(), address(1), request(1));
    assert!(seen.is_none(), "a lost connection alone is no evidence");
    watch
}

#[gtest]
fn a_refused_connection_afterwards_is_evidence() {
    let mut watch = with_a_lost_connection();
    let later = NOW + Duration::from_millis(40);
    let seen = watch.server_ended(later, &server());
    assert_that!(seen, len(eq(1)));
    expect_that!(seen[0].evidence.fingerprint, eq(request(1)));
    expect_that!(seen[0].ago, eq(Duration::from_millis(40)));
    // It is told once, and again to each new leader.
    expect_that!(watch.server_ended(later, &server()), is_empty());
    expect_that!(watch.to_report(later), len(eq(1)));
}

#[gtest]
fn another_run_at_its_address_is_evidence_and_one_elsewhere_is_none() {
    let mut watch = with_a_lost_connection();
    let other = InstanceId::from("run-2");
    expect_that!(watch.registered(NOW, &other, address(2)), is_empty());
    expect_that!(watch.registered(NOW, &server(), address(1)), is_empty());
    expect_that!(watch.registered(NOW, &other, address(1)), len(eq(1)));
}

#[gtest]
fn a_server_that_is_not_seen_to_have_ended_in_time_had_not() {
    let mut watch = with_a_lost_connection();
    let later = NOW + Duration::from_secs(9);
    watch.expire(later);
    expect_that!(watch.server_ended(later, &server()), is_empty());
}

#[gtest]
fn connections_that_are_lost_after_the_end_was_seen_count_at_once() {
    let mut watch = with_a_lost_connection();
    watch.server_ended(NOW, &server());
    let seen = watch.connection_lost(NOW, &server(), address(1), request(2));
    expect_that!(seen, some(anything()));
}

#[gtest]
fn a_few_connections_are_opened_to_find_out() {
    let mut watch = with_a_lost_connection();
    let looks = (0..10).filter_map(|_| watch.next_probe(&server()));
    expect_that!(looks.count(), eq(3));
    expect_that!(watch.next_probe(&InstanceId::from("another")), none());
}

#[gtest]
fn what_the_leader_has_told_or_cleared_is_not_told_again() {
    let mut watch = with_a_lost_connection();
    watch.server_ended(NOW, &server());
    watch.announced(request(1), &[InstanceId::from("another")]);
    expect_that!(watch.to_report(NOW), len(eq(1)));
    watch.announced(request(1), &[server()]);
    expect_that!(watch.to_report(NOW), is_empty());

    let mut watch = with_a_lost_connection();
    watch.server_ended(NOW, &server());
    watch.cleared(request(1));
    expect_that!(watch.to_report(NOW), is_empty());
}

#[gtest]
fn what_is_kept_is_bounded() {
    let mut watch = CrashDetector::default();
    for number in 0..2000_u32 {
        let instance = InstanceId::from(format!("run-{number}"));
        watch.connection_lost(NOW, &instance, address(1), request(number as u8));
        watch.server_ended(NOW, &instance);
    }
    expect_that!(watch.to_report(NOW), len(eq(512)));
    for number in 0..=255 {
        watch.connection_lost(NOW, &server(), address(1), request(number));
    }
    expect_that!(watch.server_ended(NOW, &server()), len(le(64)));
}
