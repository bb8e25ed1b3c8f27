//! Reports of the snapshots that a leader sends: each start and end, the progress once per second,
//! and each byte counted once.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordinator::{SendingPhase, SentStates};
use wingshore_group::SnapshotSending;
use wingshore_types::{Instant, LogIndex, ReplicaId};

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn sending(received: u64, sent: u64, sent_again: u64) -> SnapshotSending {
    SnapshotSending {
        to: ReplicaId(7),
        index: LogIndex(40),
        total: 1_000,
        received,
        sent,
        sent_again,
    }
}

fn phases(
    states: &mut SentStates,
    now: Instant,
    sendings: &[SnapshotSending],
) -> Vec<SendingPhase> {
    let update = states.update(now, sendings);
    update.reports.iter().map(|report| report.phase).collect()
}

#[gtest]
fn start_and_end_are_reported_and_the_progress_once_a_second() {
    let mut states = SentStates::default();
    let phases_at =
        |states: &mut SentStates, millis| phases(states, at(millis), &[sending(0, 100, 0)]);
    expect_that!(
        phases_at(&mut states, 0),
        elements_are![eq(&SendingPhase::Started)]
    );
    for millis in (100..1_000).step_by(100) {
        expect_that!(phases_at(&mut states, millis), is_empty());
    }
    expect_that!(
        phases_at(&mut states, 1_000),
        elements_are![eq(&SendingPhase::InProgress)]
    );
    expect_that!(phases_at(&mut states, 1_100), is_empty());
    expect_that!(states.receivers(), eq(1));
    expect_that!(states.bytes_left(), eq(1_000));
    expect_that!(
        phases(&mut states, at(1_200), &[]),
        elements_are![eq(&SendingPhase::Ended)]
    );
    expect_that!(states.receivers(), eq(0));
}

#[gtest]
fn each_byte_that_is_sent_counts_once() {
    let mut states = SentStates::default();
    let first = states.update(at(0), &[sending(0, 300, 0)]);
    expect_that!((first.sent, first.sent_again), eq((300, 0)));
    let second = states.update(at(100), &[sending(200, 700, 150)]);
    expect_that!((second.sent, second.sent_again), eq((400, 150)));
    let third = states.update(at(200), &[sending(200, 700, 150)]);
    expect_that!((third.sent, third.sent_again), eq((0, 0)));
}

/// A sending that restarts for the same member is another one: the bytes sent before are reported
/// with its end.
#[gtest]
fn a_restarted_sending_is_another_one() {
    let mut states = SentStates::default();
    states.update(at(0), &[sending(600, 900, 100)]);
    let update = states.update(at(100), &[sending(0, 100, 0)]);
    let reported: Vec<_> = update
        .reports
        .iter()
        .map(|report| (report.phase, report.sending.sent))
        .collect();
    expect_that!(
        reported,
        eq(&vec![
            (SendingPhase::Ended, 900),
            (SendingPhase::Started, 100)
        ])
    );
    expect_that!(update.sent, eq(100));
}
