//! Tests of the runner with individual inputs.

mod harness;

use googletest::prelude::*;
use harness::{Harness, LEASE_MS, SLOTS, binding, is_finish, sample_lease};
use std::time::Duration;
use wingshore_rollout::{RolloutInput, RolloutOutput, StreamEnd};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};
use wingshore_types::{Generation, LeaseId, Verdict, WeightVersion};

/// Input by which a runner learns that tokens are too old.
type StalenessTrigger = fn(&mut Harness);

#[gtest]
fn finish_report_is_retried_until_the_ledger_answers() {
    let mut harness = Harness::new(|_| {});
    harness.grant_leases(vec![sample_lease(1, 10, 0)]);
    let attempt = harness.streams()[0].0;
    harness.chunk(attempt, 5, &[7, 8]);
    harness.finished(attempt, 2);
    for _ in 0..3 {
        expect_that!(harness.finish_reports().len(), eq(1));
        let call = harness.find_call(is_finish).expect("the report was sent");
        harness.take_outputs();
        let result = Err(Verdict::MayHaveRun);
        harness.input(RolloutInput::Ledger { call, result });
        harness.advance(Duration::from_secs(1));
    }
    harness.answer_call(is_finish, LedgerReply::First(true));
    harness.take_outputs();
    harness.advance(Duration::from_secs(2));
    expect_that!(harness.finish_reports(), is_empty());
    expect_that!(harness.runner.status().reports, eq(1)); // the report of the pool's settings
}

#[gtest]
fn leases_are_renewed_after_a_third_of_their_duration_and_lost_ones_are_dropped() {
    let mut harness = Harness::new(|_| {});
    harness.grant_leases(vec![sample_lease(1, 10, 0), sample_lease(2, 10, 0)]);
    let streams = harness.streams();
    let is_renewal = |request: &LedgerRequest| matches!(request, LedgerRequest::Renew { .. });
    harness.advance(Duration::from_millis(LEASE_MS / 3 - 100));
    for _ in 0..3 {
        expect_that!(harness.find_call(is_renewal), none());
        harness.advance(Duration::from_millis(200));
        harness.answer_call(is_renewal, LedgerReply::Lost(vec![]));
        harness
            .out
            .retain(|output| !matches!(output, RolloutOutput::Ledger { .. }));
        harness.advance(Duration::from_millis(LEASE_MS / 3 - 200));
    }
    harness.advance(Duration::from_millis(200));
    harness.answer_call(is_renewal, LedgerReply::Lost(vec![LeaseId(1)]));
    expect_that!(harness.cancelled(), eq(&vec![streams[0].0]));
    expect_that!(harness.runner.status().leased, eq(1));
}

#[gtest]
fn interrupted_stream_is_resumed_from_its_tokens_and_keeps_its_segments() {
    let mut harness = Harness::new(|_| {});
    harness.grant_leases(vec![sample_lease(1, 10, 0)]);
    let (first, server, _) = harness.streams().remove(0);
    harness.chunk(first, 5, &[7, 8]);
    harness.take_outputs();
    let end = StreamEnd::Failed(Verdict::MayHaveRun);
    harness.input(RolloutInput::StreamEnded {
        attempt: first,
        end,
    });
    let (second, other, request) = harness.streams().remove(0);
    expect_that!(other, not(eq(&server)));
    expect_that!(request.resume, eq(&vec![7, 8]));
    harness.chunk(first, 4, &[99]);
    harness.finished(first, 3);
    harness.chunk(second, 6, &[9]);
    harness.finished(second, 3);
    let mut expected = Generation::default();
    expected.append(WeightVersion(5), &[7, 8]);
    expected.append(WeightVersion(6), &[9]);
    expect_that!(harness.finish_reports(), eq(&vec![(1, expected)]));
}

/// Failure: a sample under which engines crashed repeatedly would be put aside, or wait longer after
/// each crash, although engines have room. It is resumed each time, also on engines that crashed under
/// it, and is finished whatever crashed.
#[gtest]
fn a_sample_whose_engines_crash_repeatedly_is_resumed_each_time() {
    const CRASHES: usize = 12;
    const MAX_WAIT: Duration = Duration::from_millis(500);
    let mut harness = Harness::new(|_| {});
    harness.grant_leases(vec![sample_lease(1, 20, 0)]);
    for crash in 0..CRASHES {
        let (attempt, _, request) = harness.streams().remove(0);
        expect_that!(request.resume, len(eq(crash)));
        harness.chunk(attempt, 5, &[7]);
        harness.take_outputs();
        let end = StreamEnd::Failed(Verdict::MayHaveRun);
        harness.input(RolloutInput::StreamEnded { attempt, end });
        harness.report_states(5);
        harness.advance(MAX_WAIT);
        assert_that!(harness.streams(), len(eq(1)), "after crash {crash}");
    }
    let (attempt, _, _) = harness.streams().remove(0);
    harness.chunk(attempt, 5, &[7]);
    harness.finished(attempt, CRASHES as u32 + 1);
    expect_that!(harness.finish_reports(), len(eq(1)));
}

#[gtest]
fn tokens_of_too_old_versions_are_discarded() {
    let cases: [(&str, StalenessTrigger); 2] = [
        ("a lease raises the oldest useful version", |harness| {
            harness.advance(Duration::from_millis(200));
            harness.grant_leases(vec![sample_lease(2, 10, 6)]);
        }),
        (
            "a version beyond the staleness bound is published",
            |harness| {
                let binding = binding(2, 8);
                harness.input(RolloutInput::Pool(Box::new(binding)));
            },
        ),
    ];
    for (name, trigger) in cases {
        let mut harness = Harness::new(|_| {});
        harness.grant_leases(vec![sample_lease(1, 10, 0), sample_lease(3, 10, 0)]);
        let first = harness.streams()[0].0;
        harness.chunk(first, 5, &[7, 8]);
        harness.report_states(8);
        trigger(&mut harness);
        expect_that!(harness.cancelled(), contains(eq(&first)), "{name}");
        harness.advance(Duration::from_secs(1));
        let restarted = harness
            .streams()
            .into_iter()
            .filter(|(_, _, r)| r.seed == 1);
        let last = restarted.last().expect("the sample is restarted");
        expect_that!(last.2.resume, is_empty(), "{name}");
    }
}

#[gtest]
fn window_shrinks_to_the_admitted_samples() {
    let mut harness = Harness::new(|_| {});
    let mut next = 0;
    for _ in 0..20 {
        let asked = harness
            .take_outputs()
            .into_iter()
            .find_map(|output| match output {
                RolloutOutput::Ledger {
                    call,
                    request: LedgerRequest::Lease { most, .. },
                } => Some((call, u64::from(most))),
                _ => None,
            });
        if let Some((call, most)) = asked {
            let leases = (next..next + most).map(|number| sample_lease(number, 10, 0));
            let result = Ok(LedgerReply::Leases(leases.collect()));
            next += most;
            harness.input(RolloutInput::Ledger { call, result });
        }
        harness.advance(Duration::from_millis(100));
    }
    let status = harness.runner.status();
    expect_that!(status.running, le(2 * SLOTS));
    expect_that!(status.running, ge(SLOTS));
    expect_that!(status.window, le(2 * SLOTS + 3));
    expect_that!(status.waiting, le(16));
}

#[gtest]
fn the_longest_sample_starts_first() {
    let mut harness = Harness::new(|_| {});
    harness.grant_leases(vec![
        sample_lease(1, 10, 0),
        sample_lease(2, 500, 0),
        sample_lease(3, 90, 0),
    ]);
    let order: Vec<u64> = harness.streams().iter().map(|(_, _, r)| r.seed).collect();
    expect_that!(order, eq(&vec![2, 3, 1]));
}

#[gtest]
fn inconsistent_final_events_are_not_reported_as_finished() {
    let cases: [(&str, &[u32], u32); 3] = [
        ("fewer tokens than declared", &[7], 2),
        ("more tokens than declared", &[7, 8], 1),
        ("no tokens", &[], 0),
    ];
    for (name, tokens, declared) in cases {
        let mut harness = Harness::new(|_| {});
        harness.grant_leases(vec![sample_lease(1, 10, 0)]);
        let attempt = harness.streams()[0].0;
        harness.chunk(attempt, 5, tokens);
        harness.finished(attempt, declared);
        expect_that!(harness.finish_reports(), is_empty(), "{name}");
        harness.advance(Duration::from_secs(1));
        let last = harness.streams().pop().expect("the sample is restarted");
        expect_that!(last.0, not(eq(attempt)), "{name}");
        expect_that!(last.2.resume, is_empty(), "{name}");
    }
}

#[gtest]
fn planned_stop_returns_leases_granted_after_it_began() {
    let mut harness = Harness::new(|_| {});
    let is_configure = |request: &LedgerRequest| matches!(request, LedgerRequest::Configure { .. });
    let is_return = |request: &LedgerRequest| matches!(request, LedgerRequest::Return { .. });
    harness.answer_call(is_configure, LedgerReply::Done);
    harness.input(RolloutInput::Stop);
    expect_that!(harness.out, not(contains(eq(&RolloutOutput::Stopped))));
    harness.grant_leases(vec![sample_lease(1, 10, 0)]);
    expect_that!(harness.streams(), is_empty());
    expect_that!(harness.out, not(contains(eq(&RolloutOutput::Stopped))));
    harness.answer_call(is_return, LedgerReply::Done);
    expect_that!(
        harness.out,
        contains(eq(&RolloutOutput::Stopped)).times(eq(1))
    );
}
