//! The runner by hand, input by input.

mod hand;

use googletest::prelude::*;
use hand::{Hand, LEASE_MS, SLOTS, binding, granted, is_finish};
use std::time::Duration;
use wingshore_rollout::{RolloutInput, RolloutOutput, StreamEnd};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};
use wingshore_types::{Generation, LeaseId, Verdict, WeightVersion};

/// News by which a runner learns that tokens are too old.
type News = fn(&mut Hand);

#[gtest]
fn a_finish_is_sent_again_until_the_ledger_answers() {
    let mut hand = Hand::new(|_| {});
    hand.grant(vec![granted(1, 10, 0)]);
    let attempt = hand.streams()[0].0;
    hand.chunk(attempt, 5, &[7, 8]);
    hand.finished(attempt, 2);
    for _ in 0..3 {
        expect_that!(hand.finishes().len(), eq(1));
        let call = hand.call(is_finish).expect("sent");
        hand.take();
        let result = Err(Verdict::MayHaveRun);
        hand.input(RolloutInput::Ledger { call, result });
        hand.pass(Duration::from_secs(1));
    }
    hand.answer(is_finish, LedgerReply::First(true));
    hand.take();
    hand.pass(Duration::from_secs(2));
    expect_that!(hand.finishes(), is_empty());
    expect_that!(hand.runner.status().reports, eq(1)); // the pool's configuration
}

#[gtest]
fn leases_are_renewed_at_a_third_and_lost_ones_are_given_up() {
    let mut hand = Hand::new(|_| {});
    hand.grant(vec![granted(1, 10, 0), granted(2, 10, 0)]);
    let streams = hand.streams();
    let is_renewal = |request: &LedgerRequest| matches!(request, LedgerRequest::Renew { .. });
    hand.pass(Duration::from_millis(LEASE_MS / 3 - 100));
    for _ in 0..3 {
        expect_that!(hand.call(is_renewal), none());
        hand.pass(Duration::from_millis(200));
        hand.answer(is_renewal, LedgerReply::Lost(vec![]));
        hand.out
            .retain(|output| !matches!(output, RolloutOutput::Ledger { .. }));
        hand.pass(Duration::from_millis(LEASE_MS / 3 - 200));
    }
    hand.pass(Duration::from_millis(200));
    hand.answer(is_renewal, LedgerReply::Lost(vec![LeaseId(1)]));
    expect_that!(hand.cancelled(), eq(&vec![streams[0].0]));
    expect_that!(hand.runner.status().held, eq(1));
}

#[gtest]
fn a_cut_stream_is_resumed_from_its_tokens_and_keeps_its_segments() {
    let mut hand = Hand::new(|_| {});
    hand.grant(vec![granted(1, 10, 0)]);
    let (first, server, _) = hand.streams().remove(0);
    hand.chunk(first, 5, &[7, 8]);
    hand.take();
    let end = StreamEnd::Failed(Verdict::MayHaveRun);
    hand.input(RolloutInput::StreamEnded {
        attempt: first,
        end,
    });
    let (second, other, request) = hand.streams().remove(0);
    expect_that!(other, not(eq(&server)));
    expect_that!(request.resume, eq(&vec![7, 8]));
    hand.chunk(first, 4, &[99]);
    hand.finished(first, 3);
    hand.chunk(second, 6, &[9]);
    hand.finished(second, 3);
    let mut expected = Generation::default();
    expected.append(WeightVersion(5), &[7, 8]);
    expected.append(WeightVersion(6), &[9]);
    expect_that!(hand.finishes(), eq(&vec![(1, expected)]));
}

#[gtest]
fn tokens_that_have_become_too_old_are_thrown_away() {
    let cases: [(&str, News); 2] = [
        ("a lease says so", |hand| {
            hand.pass(Duration::from_millis(200));
            hand.grant(vec![granted(2, 10, 6)]);
        }),
        ("a far newer version is published", |hand| {
            let binding = binding(2, 8);
            hand.input(RolloutInput::Pool(Box::new(binding)));
        }),
    ];
    for (name, news) in cases {
        let mut hand = Hand::new(|_| {});
        hand.grant(vec![granted(1, 10, 0), granted(3, 10, 0)]);
        let first = hand.streams()[0].0;
        hand.chunk(first, 5, &[7, 8]);
        hand.report_states(8);
        news(&mut hand);
        expect_that!(hand.cancelled(), contains(eq(&first)), "{name}");
        hand.pass(Duration::from_secs(1));
        let again = hand.streams().into_iter().filter(|(_, _, r)| r.seed == 1);
        let last = again.last().expect("started again");
        expect_that!(last.2.resume, is_empty(), "{name}");
    }
}

#[gtest]
fn the_window_shrinks_to_what_the_router_admits() {
    let mut hand = Hand::new(|_| {});
    let mut next = 0;
    for _ in 0..20 {
        let asked = hand.take().into_iter().find_map(|output| match output {
            RolloutOutput::Ledger {
                call,
                request: LedgerRequest::Lease { most, .. },
            } => Some((call, u64::from(most))),
            _ => None,
        });
        if let Some((call, most)) = asked {
            let leases = (next..next + most).map(|number| granted(number, 10, 0));
            let result = Ok(LedgerReply::Leases(leases.collect()));
            next += most;
            hand.input(RolloutInput::Ledger { call, result });
        }
        hand.pass(Duration::from_millis(100));
    }
    let status = hand.runner.status();
    expect_that!(status.running, le(2 * SLOTS));
    expect_that!(status.running, ge(SLOTS));
    expect_that!(status.window, le(2 * SLOTS + 3));
    expect_that!(status.waiting, le(16));
}

#[gtest]
fn the_longest_sample_starts_first() {
    let mut hand = Hand::new(|_| {});
    hand.grant(vec![
        granted(1, 10, 0),
        granted(2, 500, 0),
        granted(3, 90, 0),
    ]);
    let order: Vec<u64> = hand.streams().iter().map(|(_, _, r)| r.seed).collect();
    expect_that!(order, eq(&vec![2, 3, 1]));
}

#[gtest]
fn answers_that_do_not_hold_together_are_not_finishes() {
    let cases: [(&str, &[u32], u32); 3] = [
        ("fewer tokens than declared", &[7], 2),
        ("more tokens than declared", &[7, 8], 1),
        ("no tokens", &[], 0),
    ];
    for (name, tokens, declared) in cases {
        let mut hand = Hand::new(|_| {});
        hand.grant(vec![granted(1, 10, 0)]);
        let attempt = hand.streams()[0].0;
        hand.chunk(attempt, 5, tokens);
        hand.finished(attempt, declared);
        expect_that!(hand.finishes(), is_empty(), "{name}");
        hand.pass(Duration::from_secs(1));
        let last = hand.streams().pop().expect("started again");
        expect_that!(last.0, not(eq(attempt)), "{name}");
        expect_that!(last.2.resume, is_empty(), "{name}");
    }
}

#[gtest]
fn a_stop_gives_back_what_a_late_lease_answer_brings() {
    let mut hand = Hand::new(|_| {});
    let is_configure = |request: &LedgerRequest| matches!(request, LedgerRequest::Configure { .. });
    let is_return = |request: &LedgerRequest| matches!(request, LedgerRequest::Return { .. });
    hand.answer(is_configure, LedgerReply::Done);
    hand.input(RolloutInput::Stop);
    expect_that!(hand.out, not(contains(eq(&RolloutOutput::Stopped))));
    hand.grant(vec![granted(1, 10, 0)]);
    expect_that!(hand.streams(), is_empty());
    expect_that!(hand.out, not(contains(eq(&RolloutOutput::Stopped))));
    hand.answer(is_return, LedgerReply::Done);
    expect_that!(hand.out, contains(eq(&RolloutOutput::Stopped)).times(eq(1)));
}
